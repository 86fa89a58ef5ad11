//! Minimal HTTP client for tests, without connection pool, retries or timeouts.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::http::Address;

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Reply {
    /// Deserializes the body from JSON.
    ///
    /// # Panics
    /// The body is not valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("body is the expected JSON")
    }
}

/// An HTTP/1 connection.
#[derive(Debug)]
pub struct Connection(SendRequest<Full<Bytes>>);

impl Connection {
    /// Connects to a service; `None` if the connection is refused or the handshake fails.
    pub async fn open(address: Address) -> Option<Connection> {
        let stream = TcpStream::connect(address.0).await.ok()?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        Some(Connection(sender))
    }

    /// Sends a request; `None` if the connection ends before the response is complete.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<Reply> {
        let response = self.0.send_request(request).await.ok()?;
        let (parts, body): (_, Incoming) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Reply { status: parts.status, headers: parts.headers, body })
    }
}

/// Sends a request on a new connection; `None` if there is no complete response.
pub async fn send(address: Address, request: Request<Full<Bytes>>) -> Option<Reply> {
    Connection::open(address).await?.send(request).await
}

/// Builds a GET request without a body.
///
/// # Panics
/// The path is not valid in a URL.
pub fn get(path: &str) -> Request<Full<Bytes>> {
    request(Method::GET, path, Bytes::new())
}

/// Builds a POST request with a JSON body.
///
/// # Panics
/// The path is not valid in a URL, or the value cannot be serialized as JSON.
pub fn post<T: Serialize>(path: &str, value: &T) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("value can be serialized as JSON");
    request(Method::POST, path, Bytes::from(body))
}

fn request(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("path is valid");
    request.headers_mut().insert(HOST, HeaderValue::from_static("stand-in"));
    request
}
