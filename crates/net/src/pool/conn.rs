//! One HTTP/1 connection without a task of its own.
//!
//! The future of a request drives the connection, so that no step is handed over between tasks and
//! dropping the future closes the socket. While the connection is idle, the pool's waker is
//! notified when the backend server closes it.

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

use crate::counted::ByteCounters;
use crate::counted::CountingStream;
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

type Driver = http1::Connection<TokioIo<CountingStream<TcpStream>>, Full<Bytes>>;

/// Open connection to a backend server.
#[derive(Debug)]
pub(super) struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    closed: bool,
    counters: Arc<ByteCounters>,
    written_before: u64,
    address: SocketAddr,
    host: HeaderValue,
    last_answer: Instant,
    // Must stay the last field: it is dropped last, so the connection counts against the limit
    // until the socket is closed.
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
        let stream = CountingStream::new(stream);
        let counters = stream.counters();
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(http_cause)?;
        let host = HeaderValue::try_from(address.to_string())
            .map_err(|error| Cause::Unreachable { reason: error.to_string() })?;
        Ok(Conn {
            sender,
            driver,
            closed: false,
            counters,
            written_before: 0,
            address,
            host,
            last_answer: Instant::now(),
            _permit: permit,
        })
    }

    /// Returns the value of the `Host` header.
    pub(super) fn host(&self) -> &HeaderValue {
        &self.host
    }

    /// Returns the address of the backend server.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns when the last complete response arrived, or when the connection opened.
    pub(super) fn last_answer(&self) -> Instant {
        self.last_answer
    }

    /// Returns whether any byte of the current request was sent.
    pub(super) fn has_sent_bytes(&self) -> bool {
        self.counters.written() > self.written_before
    }

    /// Sends `request` and receives the complete response, with a body of at most `limit` bytes.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Answer, Cause> {
        self.written_before = self.counters.written();
        let Conn { sender, driver, closed, .. } = self;
        let mut exchange = pin!(receive_answer(sender, request, limit));
        let answer = poll_fn(|cx| {
            if let Poll::Ready(answer) = exchange.as_mut().poll(cx) {
                return Poll::Ready(answer);
            }
            if !*closed {
                *closed = Pin::new(&mut *driver).poll(cx).is_ready();
            }
            match exchange.as_mut().poll(cx) {
                Poll::Pending if *closed => Poll::Ready(Err(closed_early())),
                answer => answer,
            }
        })
        .await?;
        self.last_answer = Instant::now();
        Ok(answer)
    }

    /// Returns whether the connection can carry another request; `waker` is woken when the backend
    /// server closes it.
    pub(super) fn is_reusable(&mut self, waker: &Waker) -> bool {
        if !self.closed {
            let mut cx = Context::from_waker(waker);
            self.closed = Pin::new(&mut self.driver).poll(&mut cx).is_ready();
        }
        !self.closed && self.sender.is_ready()
    }
}

/// Builds the HTTP request of `dispatch`, with `left` until its deadline.
pub(super) fn build_request(
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

async fn receive_answer(
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
        body: collect_body(body, limit).await?,
    })
}

async fn collect_body(mut body: Incoming, limit: usize) -> Result<Bytes, Cause> {
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

fn closed_early() -> Cause {
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
