//! Bodies of answers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::http::Hangup;

/// Body of an answer.
pub(crate) enum Body {
    /// All at once.
    Whole(Bytes),
    /// Piece by piece, until the sender goes away.
    Stream(mpsc::Receiver<Bytes>),
    /// A part of what the length promised, then the end of the connection.
    Cut {
        /// The part.
        part: Bytes,
        /// The length.
        length: u64,
    },
    /// Nothing more, followed by the end of the connection.
    Broken,
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Hangup;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        match &mut *self {
            Body::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Body::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Body::Stream(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
            }
            Body::Cut { part, .. } => {
                let part = std::mem::take(part);
                *self = Body::Broken;
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            Body::Broken => Poll::Ready(Some(Err(Hangup))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Body::Cut { length, .. } => SizeHint::with_exact(*length),
            Body::Stream(_) | Body::Broken => SizeHint::default(),
        }
    }
}

/// Reads a whole request.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Hangup> {
    Ok(body.collect().await.map_err(|_| Hangup)?.to_bytes())
}

/// An answer of JSON.
pub(crate) fn json<T: Serialize>(code: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("answers of stand-ins are valid json");
    let mut response = Response::new(Body::Whole(Bytes::from(bytes)));
    *response.status_mut() = code;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// An answer without a body.
pub(crate) fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Bytes::new()));
    *response.status_mut() = code;
    response
}
