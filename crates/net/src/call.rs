//! Single HTTP calls on kept connections, with the raw answer.
//!
//! A connection carries its next call only after a whole answer to the last one. The limit of a
//! call is the time until its answer begins; a long answer over a slow link may take longer, as
//! long as it goes on. A call that outlives its limit closes its connection and all idle ones to the same address: a path that
//! went silent without a reset is thus left after one call. A kept connection that turns out
//! closed before anything was sent is replaced once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::http::HeaderName;
use hyper::http::HeaderValue;
use hyper::http::header::CONTENT_TYPE;
use hyper::http::header::HOST;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Idle connections kept to one address.
const IDLE_CONNECTIONS: usize = 3;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing was sent: the call had no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No whole answer came: the call may have had its effect, or may still have it.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call<'c> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'c str,
    /// Headers beside the usual ones.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body, JSON unless empty.
    pub body: Bytes,
    /// Limit on the time until the answer begins.
    pub limit: Duration,
}

/// Limits of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Limit on connecting.
    pub connect_timeout: Duration,
    /// Longest pause within an answer.
    pub stall_timeout: Duration,
    /// Limit on an answer from its beginning to its end.
    pub answer_timeout: Duration,
    /// Longest answer, in bytes.
    pub answer_len: usize,
}

/// Calls addresses on kept connections; clones share them.
#[derive(Clone, Debug)]
pub struct Caller {
    limits: Limits,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Connection>>>>,
}

#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Caller {
    /// A caller with these limits.
    pub fn new(limits: Limits) -> Caller {
        Caller { limits, idle: Arc::default() }
    }

    /// Sends a call to `address` and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(&self, address: SocketAddr, call: Call<'_>) -> Result<Reply, CallError> {
        let limit = call.limit;
        let Ok(begun) = timeout(limit, self.attempt(address, &call)).await else {
            self.drop_idle(address);
            let reason = format!("{} {}: none within {limit:?}", call.method, call.path);
            return Err(CallError::NoAnswer(reason));
        };
        let (connection, response) = begun?;
        let received = timeout(self.limits.answer_timeout, self.receive(response)).await;
        match received.unwrap_or_else(|_| Err("took too long".to_owned())) {
            Ok(reply) => {
                self.keep(address, connection);
                Ok(reply)
            }
            Err(reason) => {
                self.drop_idle(address);
                let reason = format!("{} {}: answer {reason}", call.method, call.path);
                Err(CallError::NoAnswer(reason))
            }
        }
    }

    /// Closes the idle connections to `address`.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&address)?;
        while let Some(connection) = list.pop() {
            if !connection.sender.is_closed() && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let list = idle.entry(address).or_default();
        if list.len() < IDLE_CONNECTIONS {
            list.push(connection);
        }
    }

    /// Sends a call and waits for the beginning of its answer.
    async fn attempt(
        &self,
        address: SocketAddr,
        call: &Call<'_>,
    ) -> Result<(Connection, Response<Incoming>), CallError> {
        let mut request = request(address, call)?;
        if let Some(mut connection) = self.take(address) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::NoAnswer(error.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((connection, response)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if unsent { CallError::NotSent(reason) } else { CallError::NoAnswer(reason) })
            }
        }
    }

    /// Reads the rest of an answer; the error says what is wrong with it.
    async fn receive(&self, response: Response<Incoming>) -> Result<Reply, String> {
        let status = response.status().as_u16();
        let mut body = Limited::new(response.into_body(), self.limits.answer_len);
        let mut read = BytesMut::new();
        loop {
            match timeout(self.limits.stall_timeout, body.frame()).await {
                Err(_) => return Err(format!("stalled after {} bytes", read.len())),
                Ok(None) => return Ok(Reply { status, body: read.freeze() }),
                Ok(Some(Err(error))) => return Err(format!("broke off: {error}")),
                Ok(Some(Ok(frame))) => {
                    // Trailers say nothing that is needed.
                    if let Ok(data) = frame.into_data() {
                        read.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, CallError> {
        let unsent = |reason: String| CallError::NotSent(format!("connect to {address}: {reason}"));
        let stream = timeout(self.limits.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| unsent("no answer".to_owned()))?
            .map_err(|error| unsent(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| unsent(error.to_string()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        // The driver's error also reaches whoever waits for the answer.
        let driver = tokio::spawn(async move { drop(driver.await) }).abort_handle();
        Ok(Connection { sender, driver })
    }
}

fn request(address: SocketAddr, call: &Call<'_>) -> Result<Request<Full<Bytes>>, CallError> {
    let mut request = Request::builder()
        .method(&call.method)
        .uri(call.path)
        .header(HOST, address.to_string())
        .body(Full::new(call.body.clone()))
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    let headers = request.headers_mut();
    if !call.body.is_empty() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    for (name, value) in &call.headers {
        headers.insert(name.clone(), value.clone());
    }
    Ok(request)
}
