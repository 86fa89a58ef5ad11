//! JSON client over HTTP for the platform's interfaces.
//!
//! One time limit per call covers connecting, sending and receiving the whole response. An error
//! tells whether the call may have taken effect. No request is sent twice.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::http::HeaderValue;
use hyper::http::header::ACCEPT;
use hyper::http::header::CONTENT_TYPE;
use hyper::http::header::ETAG;
use hyper::http::header::IF_NONE_MATCH;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

use model::Verdict;

/// Maximum number of idle connections to one host.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of an error response's body that is kept, in bytes.
const MAX_ERROR_TEXT_LEN: usize = 4 << 10;

/// Time and size limits of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time limit on establishing a connection.
    pub connect_timeout: Duration,
    /// Time limit on the whole call.
    pub deadline: Duration,
    /// Maximum length of a response body, in bytes.
    pub answer_len: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            connect_timeout: Duration::from_millis(1_000),
            deadline: Duration::from_millis(3_000),
            answer_len: 16 << 20,
        }
    }
}

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestError {
    /// No connection could be established.
    #[error("{method} {uri}: cannot connect: {reason}")]
    Connect {
        /// HTTP method of the call.
        method: Method,
        /// URI of the call.
        uri: Uri,
        /// Error message of the HTTP library.
        reason: String,
    },
    /// No complete response arrived within the time limit.
    #[error("{method} {uri}: no response within {limit:?}")]
    Deadline {
        /// HTTP method of the call.
        method: Method,
        /// URI of the call.
        uri: Uri,
        /// Time limit of the call.
        limit: Duration,
    },
    /// The connection failed during the call.
    #[error("{method} {uri}: connection failed: {reason}")]
    Broken {
        /// HTTP method of the call.
        method: Method,
        /// URI of the call.
        uri: Uri,
        /// Error message of the HTTP library.
        reason: String,
    },
    /// The response has an error status.
    #[error("{method} {uri}: status {status}: {text}")]
    Status {
        /// HTTP method of the call.
        method: Method,
        /// URI of the call.
        uri: Uri,
        /// HTTP status.
        status: u16,
        /// Verdict in the response, if any.
        verdict: Option<Verdict>,
        /// Start of the response body.
        text: String,
    },
    /// The response body is too long.
    #[error("{method} {uri}: response is longer than {limit} bytes")]
    TooLong {
        /// HTTP method of the call.
        method: Method,
        /// URI of the call.
        uri: Uri,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The response is not the expected JSON.
    #[error("{method} {uri}: response does not parse: {reason}")]
    Answer {
        /// HTTP method of the call.
        method: Method,
        /// URI of the call.
        uri: Uri,
        /// Error message of the JSON parser.
        reason: String,
    },
    /// The request body cannot be represented in JSON.
    #[error("{method} {uri}: body cannot be encoded: {reason}")]
    Body {
        /// HTTP method of the call.
        method: Method,
        /// URI of the call.
        uri: Uri,
        /// Error message of the JSON encoder.
        reason: String,
    },
}

impl RestError {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            RestError::Connect { .. } | RestError::Body { .. } => Verdict::NotRun,
            RestError::Status { verdict: Some(verdict), .. } => *verdict,
            RestError::Status { status, .. } => status_verdict(*status),
            RestError::Answer { .. } | RestError::TooLong { .. } => Verdict::Ran,
            RestError::Deadline { .. } | RestError::Broken { .. } => Verdict::Unknown,
        }
    }
}

/// Returns the verdict on a call whose response has an error status and states no verdict.
///
/// Client errors (4xx) mean that it was refused, except 408: the server gave up waiting for it.
fn status_verdict(status: u16) -> Verdict {
    match status {
        408 => Verdict::Unknown,
        400..500 => Verdict::NotRun,
        _ => Verdict::Unknown,
    }
}

/// Field of a problem document that the client reads.
#[derive(Deserialize)]
struct Problem {
    verdict: Verdict,
}

/// JSON client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Rest {
    client: Client<HttpConnector, Full<Bytes>>,
    config: Config,
}

impl Rest {
    /// Creates a client with the limits of `config`.
    pub fn new(config: Config) -> Rest {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(config.connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Rest { client, config }
    }

    /// Fetches a value.
    ///
    /// # Errors
    ///
    /// See [`RestError`].
    pub async fn get_json<A: DeserializeOwned>(&self, uri: &Uri) -> Result<A, RestError> {
        self.call(Method::GET, uri, Bytes::new()).await
    }

    /// Fetches a value, or returns `None` if it still has the entity tag `etag`.
    ///
    /// # Errors
    ///
    /// See [`RestError`].
    pub async fn get_json_if_changed<A: DeserializeOwned>(
        &self,
        uri: &Uri,
        etag: Option<&HeaderValue>,
    ) -> Result<Option<Tagged<A>>, RestError> {
        let call = Call { method: &Method::GET, uri, config: &self.config, etag };
        let response = self.run_with_timeout(&call, Bytes::new()).await?;
        if response.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let value = response.parse().map_err(|error| call.answer_error(error.to_string()))?;
        Ok(Some(Tagged { value, tag: response.tag }))
    }

    /// Posts a value and returns the response.
    ///
    /// # Errors
    ///
    /// See [`RestError`].
    pub async fn post_json<B: Serialize, A: DeserializeOwned>(
        &self,
        uri: &Uri,
        body: &B,
    ) -> Result<A, RestError> {
        self.send_json(Method::POST, uri, body).await
    }

    /// Sends a value with `method` and returns the response; an empty body counts as `null`.
    ///
    /// # Errors
    ///
    /// See [`RestError`].
    pub async fn send_json<B: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        uri: &Uri,
        body: &B,
    ) -> Result<A, RestError> {
        match serde_json::to_vec(body) {
            Ok(body) => self.call(method, uri, body.into()).await,
            Err(error) => {
                Err(RestError::Body { method, uri: uri.clone(), reason: error.to_string() })
            }
        }
    }

    async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        uri: &Uri,
        body: Bytes,
    ) -> Result<A, RestError> {
        let call = Call { method: &method, uri, config: &self.config, etag: None };
        let response = self.run_with_timeout(&call, body).await?;
        response.parse().map_err(|error| call.answer_error(error.to_string()))
    }

    async fn run_with_timeout(
        &self,
        call: &Call<'_>,
        body: Bytes,
    ) -> Result<RawResponse, RestError> {
        let limit = self.config.deadline;
        match timeout(limit, call.run(&self.client, body)).await {
            Ok(result) => result,
            Err(_) => {
                let (method, uri) = (call.method.clone(), call.uri.clone());
                Err(RestError::Deadline { method, uri, limit })
            }
        }
    }
}

/// A value and the entity tag that it was served with, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tagged<A> {
    /// The value.
    pub value: A,
    /// Entity tag of the value; `None` if the server gave none.
    pub tag: Option<HeaderValue>,
}

/// A complete response.
struct RawResponse {
    status: StatusCode,
    tag: Option<HeaderValue>,
    bytes: Bytes,
}

impl RawResponse {
    /// Parses the body; an empty one counts as `null`.
    fn parse<A: DeserializeOwned>(&self) -> serde_json::Result<A> {
        let text: &[u8] = if self.bytes.is_empty() { b"null" } else { &self.bytes };
        serde_json::from_slice(text)
    }
}

/// Parameters of one call.
struct Call<'a> {
    method: &'a Method,
    uri: &'a Uri,
    config: &'a Config,
    etag: Option<&'a HeaderValue>,
}

impl Call<'_> {
    async fn run(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        body: Bytes,
    ) -> Result<RawResponse, RestError> {
        let response = client.request(self.build_request(body)).await.map_err(|error| {
            let reason = with_source(&error);
            if error.is_connect() { self.connect_error(reason) } else { self.broken_error(reason) }
        })?;
        let status = response.status();
        let tag = response.headers().get(ETAG).cloned();
        let body = Limited::new(response.into_body(), self.config.answer_len);
        let bytes = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => return Err(self.too_long_error()),
            Err(error) => return Err(self.broken_error(error.to_string())),
        };
        if !status.is_success() && status != StatusCode::NOT_MODIFIED {
            return Err(self.status_error(status, &bytes));
        }
        Ok(RawResponse { status, tag, bytes })
    }

    fn answer_error(&self, reason: String) -> RestError {
        RestError::Answer { method: self.method.clone(), uri: self.uri.clone(), reason }
    }

    fn build_request(&self, body: Bytes) -> Request<Full<Bytes>> {
        let json = HeaderValue::from_static("application/json");
        let has_body = !body.is_empty();
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        request.headers_mut().insert(ACCEPT, json.clone());
        if let Some(etag) = self.etag {
            request.headers_mut().insert(IF_NONE_MATCH, etag.clone());
        }
        if has_body {
            request.headers_mut().insert(CONTENT_TYPE, json);
        }
        request
    }

    fn connect_error(&self, reason: String) -> RestError {
        RestError::Connect { method: self.method.clone(), uri: self.uri.clone(), reason }
    }

    fn broken_error(&self, reason: String) -> RestError {
        RestError::Broken { method: self.method.clone(), uri: self.uri.clone(), reason }
    }

    fn too_long_error(&self) -> RestError {
        let limit = self.config.answer_len;
        RestError::TooLong { method: self.method.clone(), uri: self.uri.clone(), limit }
    }

    fn status_error(&self, status: StatusCode, body: &[u8]) -> RestError {
        let verdict = serde_json::from_slice(body).ok().map(|problem: Problem| problem.verdict);
        let start = &body[..body.len().min(MAX_ERROR_TEXT_LEN)];
        RestError::Status {
            method: self.method.clone(),
            uri: self.uri.clone(),
            status: status.as_u16(),
            verdict,
            text: String::from_utf8_lossy(start).into_owned(),
        }
    }
}

/// Formats an error together with its source.
fn with_source(error: &hyper_util::client::legacy::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
