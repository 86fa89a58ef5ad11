//! Single HTTP calls on keep-alive connections, with the raw response.
//!
//! A connection carries its next call only after a complete response to the last one. The time
//! limit of a call applies until its response begins; a long response over a slow link may take
//! longer, as long as it does not stall. A call that exceeds a limit closes its connection and all
//! idle ones to the same address, so a network path that drops packets without a reset costs only
//! one call. A reused connection that turns out to be closed before anything was sent is replaced
//! once.

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

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Error of a call without a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing was sent, so the call had no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No complete response arrived: the call may have taken effect, or may still take effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body of the response.
    pub body: Bytes,
}

/// Request of one call.
#[derive(Clone, Debug)]
pub struct Call<'c> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'c str,
    /// Headers in addition to `Host` and `Content-Type`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// JSON body, or empty for none.
    pub body: Bytes,
    /// Time limit until the response begins, including connecting.
    pub limit: Duration,
}

/// Time and size limits of a [`Caller`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time limit on establishing a connection.
    pub connect_timeout: Duration,
    /// Maximum pause between two parts of a response.
    pub stall_timeout: Duration,
    /// Time limit on receiving a response, from its beginning to its end.
    pub answer_timeout: Duration,
    /// Maximum length of a response body, in bytes.
    pub answer_len: usize,
}

/// HTTP client with keep-alive connections; clones share the connections.
#[derive(Clone, Debug)]
pub struct Caller {
    limits: Limits,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Connection>>>>,
}

/// A connection and the task that drives it; dropping the connection ends the task.
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
    /// Creates a client with these limits and no connections.
    pub fn new(limits: Limits) -> Caller {
        Caller { limits, idle: Arc::default() }
    }

    /// Sends a call to `address` and waits for the complete response.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(&self, address: SocketAddr, call: Call<'_>) -> Result<Reply, CallError> {
        let limit = call.limit;
        let Ok(started) = timeout(limit, self.send(address, &call)).await else {
            self.drop_idle(address);
            let reason = format!("{} {}: no response within {limit:?}", call.method, call.path);
            return Err(CallError::NoAnswer(reason));
        };
        let (connection, response) = started?;
        let received = timeout(self.limits.answer_timeout, self.receive_body(response)).await;
        match received.unwrap_or_else(|_| Err("took too long".to_owned())) {
            Ok(reply) => {
                self.put_idle(address, connection);
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

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&address)?;
        while let Some(connection) = list.pop() {
            if !connection.sender.is_closed() && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let list = idle.entry(address).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push(connection);
        }
    }

    /// Sends a call and waits for the beginning of its response.
    async fn send(
        &self,
        address: SocketAddr,
        call: &Call<'_>,
    ) -> Result<(Connection, Response<Incoming>), CallError> {
        let mut request = build_request(address, call)?;
        if let Some(mut connection) = self.take_idle(address) {
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

    /// Reads the body of a response; the error says what is wrong with it.
    async fn receive_body(&self, response: Response<Incoming>) -> Result<Reply, String> {
        let status = response.status().as_u16();
        let mut body = Limited::new(response.into_body(), self.limits.answer_len);
        let mut read = BytesMut::new();
        loop {
            match timeout(self.limits.stall_timeout, body.frame()).await {
                Err(_) => return Err(format!("stalled after {} bytes", read.len())),
                Ok(None) => return Ok(Reply { status, body: read.freeze() }),
                Ok(Some(Err(error))) => return Err(format!("broke off: {error}")),
                Ok(Some(Ok(frame))) => {
                    // Trailers are ignored.
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
            .map_err(|_| unsent("timed out".to_owned()))?
            .map_err(|error| unsent(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| unsent(error.to_string()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        // An error of the driver is also returned to the call that waits for the response.
        let driver = tokio::spawn(async move { drop(driver.await) }).abort_handle();
        Ok(Connection { sender, driver })
    }
}

fn build_request(address: SocketAddr, call: &Call<'_>) -> Result<Request<Full<Bytes>>, CallError> {
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
