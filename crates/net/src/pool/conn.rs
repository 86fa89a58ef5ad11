//! One HTTP/1 connection, driven by whoever uses it.
//!
//! A connection has no task of its own. While a request runs, its future drives the connection, so
//! that no step crosses tasks and dropping the future closes the socket. While it is idle, the
//! pool's waker learns when the other side closes it.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::http::HeaderName;
use hyper::http::HeaderValue;
use hyper::http::header::CONTENT_TYPE;
use hyper::http::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::counted::Counted;
use crate::counted::Traffic;
use crate::pool::ATTEMPT_HEADER;
use crate::pool::Answer;
use crate::pool::Cause;
use crate::pool::DEADLINE_HEADER;
use crate::pool::Dispatch;
use crate::pool::REQUEST_HEADER;
use crate::pool::VERDICT_HEADER;
use crate::pool::backend::Permit;

static REQUEST: HeaderName = HeaderName::from_static(REQUEST_HEADER);
static ATTEMPT: HeaderName = HeaderName::from_static(ATTEMPT_HEADER);
static DEADLINE: HeaderName = HeaderName::from_static(DEADLINE_HEADER);
static VERDICT: HeaderName = HeaderName::from_static(VERDICT_HEADER);

type Driver = http1::Connection<TokioIo<Counted<TcpStream>>, Full<Bytes>>;

/// An open connection.
#[derive(Debug)]
pub(super) struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    ended: bool,
    traffic: Arc<Traffic>,
    start: u64,
    address: SocketAddr,
    host: HeaderValue,
    answered: Instant,
    // Counts the connection against the limit until the socket is closed: keep it last.
    _permit: Permit,
}

impl Conn {
    /// Connects to `address` within `limit`.
    pub(super) async fn open(
        address: SocketAddr,
        limit: Duration,
        permit: Permit,
    ) -> Result<Conn, Cause> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(connect_cause)?,
            Err(_) => return Err(Cause::Unreachable { reason: "timed out".to_owned() }),
        };
        stream.set_nodelay(true).map_err(connect_cause)?;
        let stream = Counted::new(stream);
        let traffic = stream.traffic();
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(http_cause)?;
        let host = HeaderValue::try_from(address.to_string())
            .map_err(|error| Cause::Unreachable { reason: error.to_string() })?;
        Ok(Conn {
            sender,
            driver,
            ended: false,
            traffic,
            start: 0,
            address,
            host,
            answered: Instant::now(),
            _permit: permit,
        })
    }

    /// Value of the host header.
    pub(super) fn host(&self) -> &HeaderValue {
        &self.host
    }

    /// The backend server's address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// When the last whole answer came.
    pub(super) fn answered(&self) -> Instant {
        self.answered
    }

    /// Whether any byte of the current request was sent.
    pub(super) fn sent(&self) -> bool {
        self.traffic.written() > self.start
    }

    /// Sends `request` and receives its whole answer, of at most `limit` bytes.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Answer, Cause> {
        self.start = self.traffic.written();
        let Conn { sender, driver, ended, .. } = self;
        let mut reply = pin!(receive(sender, request, limit));
        let answer = poll_fn(|cx| {
            if let Poll::Ready(answer) = reply.as_mut().poll(cx) {
                return Poll::Ready(answer);
            }
            if !*ended {
                *ended = Pin::new(&mut *driver).poll(cx).is_ready();
            }
            match reply.as_mut().poll(cx) {
                Poll::Pending if *ended => Poll::Ready(Err(ended_early())),
                answer => answer,
            }
        })
        .await?;
        self.answered = Instant::now();
        Ok(answer)
    }

    /// Whether the connection can carry another request; `waker` hears when that changes.
    pub(super) fn usable(&mut self, waker: &Waker) -> bool {
        if !self.ended {
            let mut cx = Context::from_waker(waker);
            self.ended = Pin::new(&mut self.driver).poll(&mut cx).is_ready();
        }
        !self.ended && self.sender.is_ready()
    }
}

/// The HTTP request of `dispatch`, with `left` until its deadline.
pub(super) fn request(
    dispatch: &Dispatch,
    host: &HeaderValue,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(dispatch.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from(dispatch.path.clone());
    let headers = request.headers_mut();
    headers.insert(HOST, host.clone());
    if let Some(content) = &dispatch.content {
        headers.insert(CONTENT_TYPE, content.clone());
    }
    if let Ok(id) = HeaderValue::try_from(dispatch.id.to_string()) {
        headers.insert(REQUEST.clone(), id);
    }
    headers.insert(ATTEMPT.clone(), HeaderValue::from(dispatch.attempt));
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE.clone(), HeaderValue::from(left));
    request
}

async fn receive(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Answer, Cause> {
    let sent = sender.try_send_request(request).await;
    let response = sent.map_err(|error| http_cause(error.into_error()))?;
    let (head, body) = Response::into_parts(response);
    let verdict = head.headers.get(&VERDICT).and_then(|value| value.to_str().ok());
    Ok(Answer {
        status: head.status.as_u16(),
        verdict: verdict.and_then(|text| text.parse().ok()),
        content: head.headers.get(CONTENT_TYPE).cloned(),
        request: head.headers.get(&REQUEST).cloned(),
        body: collect(body, limit).await?,
    })
}

async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, Cause> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Cause::TooLong { limit });
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(http_cause)?.into_data() else { continue };
        if first.len() + rest.len() + data.len() > limit {
            return Err(Cause::TooLong { limit });
        }
        if first.is_empty() {
            first = data;
        } else {
            rest.extend_from_slice(&data);
        }
    }
    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&rest);
    Ok(whole.freeze())
}

fn ended_early() -> Cause {
    Cause::Closed { reason: "connection ended before the answer".to_owned() }
}

fn connect_cause(error: io::Error) -> Cause {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Cause::Refused,
        _ => Cause::Unreachable { reason: error.to_string() },
    }
}

fn http_cause(error: hyper::Error) -> Cause {
    let reason = error.to_string();
    if error.is_parse() { Cause::Malformed { reason } } else { Cause::Closed { reason } }
}
