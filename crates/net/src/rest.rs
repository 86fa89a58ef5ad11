//! JSON over HTTP, for the platform's interfaces.
//!
//! Each call has one deadline for connecting, sending and the whole answer. An error says whether
//! the call may have taken effect. Nothing is sent twice.

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

/// Idle connections kept to one address.
const IDLE_CONNECTIONS: usize = 4;
/// How long an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Longest text of a refusal that is kept, in bytes.
const REFUSAL_LEN: usize = 4 << 10;

/// Limits of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Limit on connecting.
    pub connect_timeout: Duration,
    /// Limit on the whole call.
    pub deadline: Duration,
    /// Longest answer, in bytes.
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

/// A call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestError {
    /// No connection could be made.
    #[error("{method} {uri}: cannot connect: {reason}")]
    Connect {
        /// Method of the call.
        method: Method,
        /// Address of the call.
        uri: Uri,
        /// What the HTTP library said.
        reason: String,
    },
    /// The answer did not come in time.
    #[error("{method} {uri}: no answer within {limit:?}")]
    Deadline {
        /// Method of the call.
        method: Method,
        /// Address of the call.
        uri: Uri,
        /// The limit.
        limit: Duration,
    },
    /// The connection failed during the call.
    #[error("{method} {uri}: connection failed: {reason}")]
    Broken {
        /// Method of the call.
        method: Method,
        /// Address of the call.
        uri: Uri,
        /// What the HTTP library said.
        reason: String,
    },
    /// The server refused the call.
    #[error("{method} {uri}: status {status}: {text}")]
    Status {
        /// Method of the call.
        method: Method,
        /// Address of the call.
        uri: Uri,
        /// The status.
        status: u16,
        /// Verdict that the answer names, if any.
        verdict: Option<Verdict>,
        /// Start of the answer's body.
        text: String,
    },
    /// The answer is too long.
    #[error("{method} {uri}: answer is longer than {limit} bytes")]
    TooLong {
        /// Method of the call.
        method: Method,
        /// Address of the call.
        uri: Uri,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The answer is not the expected JSON.
    #[error("{method} {uri}: answer does not parse: {reason}")]
    Answer {
        /// Method of the call.
        method: Method,
        /// Address of the call.
        uri: Uri,
        /// What the parser said.
        reason: String,
    },
    /// The body has no JSON form.
    #[error("{method} {uri}: body cannot be encoded: {reason}")]
    Body {
        /// Method of the call.
        method: Method,
        /// Address of the call.
        uri: Uri,
        /// What the encoder said.
        reason: String,
    },
}

impl RestError {
    /// Whether the call may have taken effect.
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

/// Client errors refuse the call, but for the one that says that the server gave up waiting.
fn status_verdict(status: u16) -> Verdict {
    match status {
        408 => Verdict::Unknown,
        400..500 => Verdict::NotRun,
        _ => Verdict::Unknown,
    }
}

/// The part of a problem document that is read.
#[derive(Deserialize)]
struct Problem {
    verdict: Verdict,
}

/// A client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Rest {
    client: Client<HttpConnector, Full<Bytes>>,
    config: Config,
}

impl Rest {
    /// A client with these limits.
    pub fn new(config: Config) -> Rest {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(config.connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIME)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
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

    /// Fetches a value unless it is still the one that was served under `known`.
    ///
    /// # Errors
    ///
    /// See [`RestError`].
    pub async fn get_json_if_changed<A: DeserializeOwned>(
        &self,
        uri: &Uri,
        known: Option<&HeaderValue>,
    ) -> Result<Option<Tagged<A>>, RestError> {
        let call = Call { method: &Method::GET, uri, config: &self.config, known };
        let fetched = self.limited(&call, Bytes::new()).await?;
        if fetched.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let value = fetched.parse().map_err(|error| call.answer(error.to_string()))?;
        Ok(Some(Tagged { value, tag: fetched.tag }))
    }

    /// Posts a value and returns the answer.
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

    /// Sends a value by `method` and returns the answer; an empty answer counts as `null`.
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
        let call = Call { method: &method, uri, config: &self.config, known: None };
        let fetched = self.limited(&call, body).await?;
        fetched.parse().map_err(|error| call.answer(error.to_string()))
    }

    async fn limited(&self, call: &Call<'_>, body: Bytes) -> Result<Fetched, RestError> {
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

/// A value with the tag that it was served under, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tagged<A> {
    /// The value.
    pub value: A,
    /// Its entity tag.
    pub tag: Option<HeaderValue>,
}

/// A whole HTTP answer.
struct Fetched {
    status: StatusCode,
    tag: Option<HeaderValue>,
    bytes: Bytes,
}

impl Fetched {
    /// The answer's value; an empty answer counts as `null`.
    fn parse<A: DeserializeOwned>(&self) -> serde_json::Result<A> {
        let text: &[u8] = if self.bytes.is_empty() { b"null" } else { &self.bytes };
        serde_json::from_slice(text)
    }
}

struct Call<'a> {
    method: &'a Method,
    uri: &'a Uri,
    config: &'a Config,
    known: Option<&'a HeaderValue>,
}

impl Call<'_> {
    async fn run(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        body: Bytes,
    ) -> Result<Fetched, RestError> {
        let response = client.request(self.request(body)).await.map_err(|error| {
            let reason = chain(&error);
            if error.is_connect() { self.connect(reason) } else { self.broken(reason) }
        })?;
        let status = response.status();
        let tag = response.headers().get(ETAG).cloned();
        let body = Limited::new(response.into_body(), self.config.answer_len);
        let bytes = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => return Err(self.too_long()),
            Err(error) => return Err(self.broken(error.to_string())),
        };
        if !status.is_success() && status != StatusCode::NOT_MODIFIED {
            return Err(self.status(status, &bytes));
        }
        Ok(Fetched { status, tag, bytes })
    }

    fn answer(&self, reason: String) -> RestError {
        RestError::Answer { method: self.method.clone(), uri: self.uri.clone(), reason }
    }

    fn request(&self, body: Bytes) -> Request<Full<Bytes>> {
        let json = HeaderValue::from_static("application/json");
        let filled = !body.is_empty();
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        request.headers_mut().insert(ACCEPT, json.clone());
        if let Some(known) = self.known {
            request.headers_mut().insert(IF_NONE_MATCH, known.clone());
        }
        if filled {
            request.headers_mut().insert(CONTENT_TYPE, json);
        }
        request
    }

    fn connect(&self, reason: String) -> RestError {
        RestError::Connect { method: self.method.clone(), uri: self.uri.clone(), reason }
    }

    fn broken(&self, reason: String) -> RestError {
        RestError::Broken { method: self.method.clone(), uri: self.uri.clone(), reason }
    }

    fn too_long(&self) -> RestError {
        let limit = self.config.answer_len;
        RestError::TooLong { method: self.method.clone(), uri: self.uri.clone(), limit }
    }

    fn status(&self, status: StatusCode, body: &[u8]) -> RestError {
        let verdict = serde_json::from_slice(body).ok().map(|problem: Problem| problem.verdict);
        let start = &body[..body.len().min(REFUSAL_LEN)];
        RestError::Status {
            method: self.method.clone(),
            uri: self.uri.clone(),
            status: status.as_u16(),
            verdict,
            text: String::from_utf8_lossy(start).into_owned(),
        }
    }
}

fn chain(error: &hyper_util::client::legacy::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
