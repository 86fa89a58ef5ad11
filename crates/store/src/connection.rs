//! Pool of HTTP/1.1 connections to the store, each carrying one call at a time.
//!
//! A connection is reused only if the store responded on it recently. When a call gets no
//! response, its connection and all idle connections without a response since the call was sent
//! are closed, since the cause may have broken them too.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::counters::AtomicCounters;
use crate::error::Error;
use crate::gateway;
use crate::gateway::DecodeError;

/// Maximum size of one response, and of one line of a watch.
pub(crate) const MAX_ANSWER_BYTES: usize = 96 << 20;
/// Maximum idle time of a connection that is reused for a retryable call.
const MAX_READ_IDLE: Duration = Duration::from_secs(5);
/// Maximum idle time of a connection that is reused for a call that must not be retried.
const MAX_WRITE_IDLE: Duration = Duration::from_secs(1);
/// Multiple of the smoothed latency after which a call is retried on another connection.
const HEDGE_LATENCY_FACTOR: u32 = 4;
/// gRPC status codes of requests that certainly had no effect: invalid argument, not found,
/// already exists, permission denied, resource exhausted, failed precondition, out of range,
/// unimplemented, unauthenticated.
const NO_EFFECT_CODES: [u32; 9] = [3, 5, 6, 7, 8, 9, 11, 12, 16];

/// One HTTP request to the gateway.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) path: &'static str,
    pub(crate) body: Bytes,
    /// Whether the request may be sent again when its outcome is unknown.
    pub(crate) retryable: bool,
}

/// A connection without a call in progress.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// When the last response was received, or when the connection was established.
    last_answer: Instant,
}

/// Idle connections of a client and its latency estimate.
#[derive(Debug)]
pub(crate) struct Pool {
    address: String,
    idle: Mutex<Vec<Connection>>,
    /// Exponentially weighted moving average of the response time, in microseconds.
    latency_us: AtomicU64,
    /// Lower bound of [`Pool::hedge_delay`].
    min_delay: Duration,
    counters: Arc<AtomicCounters>,
}

impl Pool {
    pub(crate) fn new(address: &str, min_delay: Duration, counters: Arc<AtomicCounters>) -> Pool {
        Pool {
            address: address.to_owned(),
            idle: Mutex::new(Vec::new()),
            latency_us: AtomicU64::new(0),
            min_delay,
            counters,
        }
    }

    /// Sends a call on a new connection and reads the complete response.
    pub(crate) async fn call_on_new(&self, call: &Call, deadline: Instant) -> Result<Bytes, Error> {
        let connection = self.connect(deadline).await?;
        self.call_on(connection, call, deadline).await
    }

    /// Sends a call on a connection and reads the complete response. The connection returns to
    /// the pool if the store responded.
    pub(crate) async fn call_on(
        &self,
        mut connection: Connection,
        call: &Call,
        deadline: Instant,
    ) -> Result<Bytes, Error> {
        let sent = Instant::now();
        let answer = timeout_at(deadline, self.exchange(&mut connection, call)).await;
        let answer = answer.unwrap_or_else(|_| Err(self.timeout_error()));
        match &answer {
            Ok(_) | Err(Error::Rejected { .. } | Error::Failed { .. }) => {
                self.record_latency(sent.elapsed());
                self.lock().push(connection);
            }
            Err(Error::Timeout { .. }) => self.drop_stale(sent),
            Err(_) => {}
        }
        answer
    }

    /// Time after which a call on a reused connection is also sent on a new one. `None` if the
    /// call is not retryable, or if the delay exceeds half of the remaining time: the store is
    /// then slow, and a retry would only add load.
    pub(crate) fn hedge_delay(&self, call: &Call, deadline: Instant) -> Option<Duration> {
        let left = deadline.saturating_duration_since(Instant::now());
        let latency = Duration::from_micros(self.latency_us.load(Ordering::Relaxed));
        let hedge_delay = (latency * HEDGE_LATENCY_FACTOR).max(self.min_delay);
        Some(hedge_delay).filter(|hedge_delay| call.retryable && *hedge_delay <= left / 2)
    }

    /// Closes the idle connections without a response since `since`, when a call that got no
    /// response was sent.
    pub(crate) fn drop_stale(&self, since: Instant) {
        self.lock().retain(|connection| connection.last_answer > since);
    }

    /// Sends a call on a dedicated connection and returns the response body as a stream.
    pub(crate) async fn stream(&self, call: &Call, deadline: Instant) -> Result<Stream, Error> {
        let mut connection = self.connect(deadline).await?;
        let answer = timeout_at(deadline, self.send(&mut connection, call)).await;
        let body = answer.unwrap_or_else(|_| Err(self.timeout_error()))?;
        Ok(Stream { body, _sender: connection.sender })
    }

    pub(crate) fn closed_error(&self) -> Error {
        Error::Closed { address: self.address.clone() }
    }

    pub(crate) fn timeout_error(&self) -> Error {
        Error::Timeout { address: self.address.clone() }
    }

    /// Takes the idle connection with the most recent response, if that is recent enough for the
    /// call. Drops connections that are closed or idle for too long.
    pub(crate) fn take_idle(&self, call: &Call) -> Option<Connection> {
        let max_idle = if call.retryable { MAX_READ_IDLE } else { MAX_WRITE_IDLE };
        let mut idle = self.lock();
        idle.retain(|connection| {
            connection.last_answer.elapsed() < MAX_READ_IDLE && connection.sender.is_ready()
        });
        let newest = idle.iter().enumerate().max_by_key(|(_, connection)| connection.last_answer);
        let (index, _) =
            newest.filter(|(_, connection)| connection.last_answer.elapsed() < max_idle)?;
        Some(idle.swap_remove(index))
    }

    /// Updates the moving average of the response time, with weight 1/8 for the new sample.
    fn record_latency(&self, latency: Duration) {
        let latency = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let smooth = |old: u64| Some(old - old / 8 + latency / 8);
        // The closure never returns `None`, so the update cannot fail.
        let _ = self.latency_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, smooth);
    }

    async fn connect(&self, deadline: Instant) -> Result<Connection, Error> {
        let failed = |source| Error::Connect { address: self.address.clone(), source };
        let stream = timeout_at(deadline, TcpStream::connect(self.address.as_str()))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|source| failed(io::Error::other(source)))?;
        tokio::spawn(driver);
        self.counters.connections.fetch_add(1, Ordering::Relaxed);
        Ok(Connection { sender, last_answer: Instant::now() })
    }

    async fn exchange(&self, connection: &mut Connection, call: &Call) -> Result<Bytes, Error> {
        let body = self.send(connection, call).await?;
        let bytes = self.read_body(body).await?;
        connection.last_answer = Instant::now();
        Ok(bytes)
    }

    async fn send(&self, connection: &mut Connection, call: &Call) -> Result<Incoming, Error> {
        let request = Request::post(call.path)
            .header(HOST, &self.address)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(call.body.clone()))
            .map_err(|source| Error::Connect {
                address: self.address.clone(),
                source: io::Error::other(source),
            })?;
        let sent = connection.sender.try_send_request(request).await;
        let answer = sent.map_err(|mut error| match error.take_message() {
            Some(_) => Error::Unsent { address: self.address.clone() },
            None => self.closed_error(),
        })?;
        let status = answer.status();
        if status == StatusCode::OK {
            return Ok(answer.into_body());
        }
        let body = self.read_body(answer.into_body()).await?;
        connection.last_answer = Instant::now();
        Err(status_error(status, &body))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Error> {
        let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        match collected {
            Ok(whole) => Ok(whole.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                Err(DecodeError::TooLong { limit: MAX_ANSWER_BYTES }.into())
            }
            Err(_) => Err(self.closed_error()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn status_error(status: StatusCode, body: &[u8]) -> Error {
    let error = gateway::parse_error_body(body);
    let refused = match error.code {
        0 => status.is_client_error(),
        code => NO_EFFECT_CODES.contains(&code),
    };
    let (status, message) = (status.as_u16(), error.message);
    if refused { Error::Rejected { status, message } } else { Error::Failed { status, message } }
}

/// Streamed response of a watch. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) body: Incoming,
    _sender: SendRequest<Full<Bytes>>,
}
