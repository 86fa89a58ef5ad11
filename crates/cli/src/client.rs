//! HTTP client for the operators' API of entry VMs.
//!
//! The entry VMs are tried in turn. A read fails over to the next entry VM whenever there is no
//! complete response, a write only if no connection was made, since it has then certainly not
//! arrived. [`Client::write_idempotent`] repeats a write that carries an id until an entry VM can
//! report its outcome.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::http::header::AUTHORIZATION;
use hyper::http::header::CONTENT_TYPE;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::error::Error;
use crate::files;
use crate::options::Connection;
use model::Verdict;
use wire::border;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a read, connecting included.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a write, which may wait until all entry VMs have applied a configuration.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum length of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Attempts after which the outcome of a write is reported as unknown.
const MAX_WRITE_ATTEMPTS: usize = 6;
/// Delay between two attempts of a write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Failure of a call to an entry VM.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CallError {
    /// No entry VM could be connected to.
    #[error("cannot connect to {url}: {reason}; set --url to an entry VM that is running")]
    Connect {
        /// URL of the entry VM.
        url: String,
        /// Error of the HTTP client.
        reason: String,
    },
    /// The call may have been sent, but no complete response arrived.
    #[error("{url} gave no answer to {method} {path}: {reason}")]
    NoResponse {
        /// URL of the entry VM.
        url: String,
        /// HTTP method.
        method: Method,
        /// Path and query.
        path: String,
        /// Error of the connection, or that the call timed out.
        reason: String,
    },
    /// The entry VM responded with an error status and a problem document.
    #[error("{}", describe_problem(url, problem))]
    Problem {
        /// URL of the entry VM.
        url: String,
        /// Problem document of the response.
        problem: Box<border::Problem>,
    },
    /// The response is not the JSON that was expected.
    #[error("unexpected response to {method} {path} with status {status} from {url}: {reason}")]
    UnexpectedResponse {
        /// URL of the entry VM.
        url: String,
        /// HTTP method.
        method: Method,
        /// Path and query.
        path: String,
        /// HTTP status of the response.
        status: u16,
        /// Why the response could not be read.
        reason: String,
    },
    /// All attempts of a write ended without a definite outcome.
    #[error("it is unknown whether the call took effect: {last}")]
    OutcomeUnknown {
        /// Error of the last attempt.
        last: Box<CallError>,
    },
}

impl CallError {
    /// Whether the call ran, as far as is known. A read without a usable response counts as not
    /// run.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Connect { .. } => Verdict::NotRun,
            CallError::NoResponse { method, .. } | CallError::UnexpectedResponse { method, .. } => {
                if *method == Method::GET {
                    Verdict::NotRun
                } else {
                    Verdict::Unknown
                }
            }
            CallError::Problem { problem, .. } => convert_verdict(problem.verdict),
            CallError::OutcomeUnknown { .. } => Verdict::Unknown,
        }
    }

    /// Problem document of the response, or of the last attempt; `None` if there was none.
    pub fn problem(&self) -> Option<&border::Problem> {
        match self {
            CallError::Problem { problem, .. } => Some(problem),
            CallError::OutcomeUnknown { last } => last.problem(),
            _ => None,
        }
    }

    /// Whether a read may be sent to another entry VM after this error.
    fn allows_read_failover(&self) -> bool {
        matches!(self, CallError::Connect { .. } | CallError::NoResponse { .. })
    }

    /// Whether repeating the call under the same id would give the same response.
    fn is_definitive(&self) -> bool {
        self.problem().is_some_and(|problem| !problem.retry && problem.status < 500)
    }
}

/// Converts the verdict of a response to that of the model.
pub fn convert_verdict(verdict: border::Verdict) -> Verdict {
    match verdict {
        border::Verdict::NotRun => Verdict::NotRun,
        border::Verdict::Ran => Verdict::Ran,
        border::Verdict::Unknown => Verdict::Unknown,
    }
}

fn describe_problem(url: &str, problem: &border::Problem) -> String {
    if problem.status == 401 {
        return format!(
            "{url} does not accept the operator token: set BASILRACK_TOKEN or --token-file to the \
             token of its settings"
        );
    }
    format!("{url}: {}: {}", problem.title, problem.detail)
}

/// One HTTP call; `timeout` covers the whole exchange.
#[derive(Clone, Debug)]
struct Call {
    method: Method,
    path: String,
    body: Bytes,
    timeout: Duration,
}

/// Client of one or more entry VMs.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    urls: Vec<String>,
    token: Option<String>,
}

impl Client {
    /// Creates a client of the given entry VMs.
    ///
    /// # Errors
    ///
    /// A URL is not valid, or the token file cannot be read.
    pub fn new(connection: &Connection) -> Result<Client, Error> {
        let urls: Result<Vec<String>, Error> =
            connection.urls.iter().map(|url| check_url(url)).collect();
        let token = match &connection.token_file {
            Some(file) => Some(files::read(file)?.trim().to_owned()),
            None => connection.token.clone(),
        };
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // An idle connection may be dead without notice, so each call opens a new one.
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build(connector);
        Ok(Client { http, urls: urls?, token })
    }

    /// Reads from the first entry VM that responds.
    ///
    /// # Errors
    ///
    /// No entry VM responds, or one responds with an error.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let call = Call {
            method: Method::GET,
            path: path.to_owned(),
            body: Bytes::new(),
            timeout: READ_TIMEOUT,
        };
        self.call_with_failover(&call, CallError::allows_read_failover, 0).await
    }

    /// Reserves an id at the first entry VM that responds. The id of a lost response stays unused.
    ///
    /// # Errors
    ///
    /// No entry VM responds, or the one that does has no id available.
    pub async fn fresh_id(&self) -> Result<String, CallError> {
        let call = Call {
            method: Method::POST,
            path: "/v1/ids?count=1".to_owned(),
            body: Bytes::new(),
            timeout: READ_TIMEOUT,
        };
        let ids: border::Ids =
            self.call_with_failover(&call, CallError::allows_read_failover, 0).await?;
        let id = ids.ids.into_iter().next();
        id.ok_or_else(|| {
            unexpected_response(&call, &self.urls[0], 200, "the response contains no id")
        })
    }

    /// Sends a write that carries an id and repeats it until its outcome is known. Each attempt
    /// starts with the next entry VM. The request body is empty if `body` is `None`.
    ///
    /// # Errors
    ///
    /// [`CallError::OutcomeUnknown`] if an attempt may have taken effect and no entry VM reported
    /// whether it did. If the first attempt certainly had no effect, its error is returned as it
    /// is.
    pub async fn write_idempotent<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, CallError> {
        let body = body.map(serde_json::to_vec).and_then(Result::ok).unwrap_or_default();
        let call =
            Call { method, path: path.to_owned(), body: body.into(), timeout: WRITE_TIMEOUT };
        let mut last = None;
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            let error = match self.call_with_failover(&call, is_connect_error, attempt).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if last.is_none() && error.verdict() != Verdict::Unknown {
                return Err(error);
            }
            let definitive = error.is_definitive();
            last = Some(error);
            if definitive {
                break;
            }
            sleep(WRITE_RETRY_DELAY).await;
        }
        let last = last.unwrap_or_else(|| unreachable!("at least one attempt was made"));
        Err(CallError::OutcomeUnknown { last: Box::new(last) })
    }

    async fn call_with_failover<T: DeserializeOwned>(
        &self,
        call: &Call,
        may_fail_over: fn(&CallError) -> bool,
        offset: usize,
    ) -> Result<T, CallError> {
        let count = self.urls.len();
        let mut turns = (0..count).map(|turn| &self.urls[(offset + turn) % count]);
        let mut result = self.call_once(call, turns.next().map_or("", String::as_str)).await;
        for url in turns {
            match &result {
                Err(error) if may_fail_over(error) => result = self.call_once(call, url).await,
                _ => break,
            }
        }
        result
    }

    async fn call_once<T: DeserializeOwned>(&self, call: &Call, url: &str) -> Result<T, CallError> {
        let no_response = |reason: String| CallError::NoResponse {
            url: url.to_owned(),
            method: call.method.clone(),
            path: call.path.clone(),
            reason,
        };
        match timeout(call.timeout, self.exchange(call, url, &no_response)).await {
            Ok(result) => result,
            Err(_) => Err(no_response(format!("timed out after {} s", call.timeout.as_secs()))),
        }
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        call: &Call,
        url: &str,
        no_response: impl Fn(String) -> CallError,
    ) -> Result<T, CallError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("{url}{}", call.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let connect = |reason: String| CallError::Connect { url: url.to_owned(), reason };
        let request =
            request.body(Full::new(call.body.clone())).map_err(|e| connect(e.to_string()))?;
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Err(connect(format_chain(&error))),
            Err(error) => return Err(no_response(format_chain(&error))),
        };
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| no_response(error.to_string()))?.to_bytes();
        decode(call, url, status, &body)
    }
}

fn is_connect_error(error: &CallError) -> bool {
    matches!(error, CallError::Connect { .. })
}

fn unexpected_response(call: &Call, url: &str, status: u16, reason: impl ToString) -> CallError {
    CallError::UnexpectedResponse {
        url: url.to_owned(),
        method: call.method.clone(),
        path: call.path.clone(),
        status,
        reason: reason.to_string(),
    }
}

fn decode<T: DeserializeOwned>(
    call: &Call,
    url: &str,
    status: u16,
    body: &[u8],
) -> Result<T, CallError> {
    if (200..300).contains(&status) {
        return serde_json::from_slice(body)
            .map_err(|error| unexpected_response(call, url, status, error));
    }
    match serde_json::from_slice(body) {
        Ok(problem) => Err(CallError::Problem { url: url.to_owned(), problem: Box::new(problem) }),
        Err(error) => Err(unexpected_response(call, url, status, error)),
    }
}

/// Formats an error followed by its causes.
fn format_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

fn check_url(url: &str) -> Result<String, Error> {
    let trimmed = url.trim_end_matches('/');
    let valid = trimmed.parse::<Uri>().is_ok_and(|uri| {
        uri.scheme_str() == Some("http") && uri.authority().is_some() && uri.query().is_none()
    });
    if valid { Ok(trimmed.to_owned()) } else { Err(Error::Url { url: url.to_owned() }) }
}
