//! Response bodies, including truncated and broken ones.

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

use crate::http::CloseConnection;

/// Body of a response.
pub(crate) enum Body {
    /// A complete body.
    Whole(Bytes),
    /// Chunks, until the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
    /// Fewer bytes than the announced length, then the connection is closed.
    Cut {
        /// The bytes that are sent.
        part: Bytes,
        /// The announced length, in bytes.
        length: u64,
    },
    /// No more data; the connection is closed. Follows `Cut`.
    Broken,
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = CloseConnection;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseConnection>>> {
        match &mut *self {
            Body::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Body::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Body::Stream(chunks) => {
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            Body::Cut { part, .. } => {
                let part = std::mem::take(part);
                *self = Body::Broken;
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            Body::Broken => Poll::Ready(Some(Err(CloseConnection))),
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

/// Reads the whole body of a request.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, CloseConnection> {
    Ok(body.collect().await.map_err(|_| CloseConnection)?.to_bytes())
}

/// Builds a response with a JSON body.
pub(crate) fn json<T: Serialize>(code: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("answers can be serialized as JSON");
    let mut response = Response::new(Body::Whole(Bytes::from(bytes)));
    *response.status_mut() = code;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds a response without a body.
pub(crate) fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Bytes::new()));
    *response.status_mut() = code;
    response
}
