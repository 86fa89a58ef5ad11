//! Calls entry VMs over HTTP.
//!
//! A list of entry VMs is tried in turn: a read goes on after every call without an answer, a write
//! only if it certainly did not arrive. [`Client::write_idempotent`] repeats a write that carries an id, so
//! that its outcome becomes known whenever an entry VM knows it.

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

/// Time for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(3);
/// Time for a read.
const READ_TIME: Duration = Duration::from_secs(20);
/// Time for a write, which may wait for all entry VMs.
const WRITE_TIME: Duration = Duration::from_secs(60);
/// Longest answer, in bytes.
const ANSWER_LEN: usize = 64 << 20;
/// Calls after which a write is left unsettled.
const MAX_WRITES: usize = 6;
/// Pause between two calls of one write.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// A call was not answered as asked.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CallError {
    /// No entry VM could be connected to.
    #[error("cannot connect to {url}: {reason}; name an entry VM that runs with --url")]
    Connect {
        /// Where to.
        url: String,
        /// What the system said.
        reason: String,
    },
    /// The call was sent, and no whole answer came.
    #[error("{url} gave no answer to {method} {path}: {reason}")]
    NoResponse {
        /// Where it went.
        url: String,
        /// Its method.
        method: Method,
        /// Its path.
        path: String,
        /// What happened instead.
        reason: String,
    },
    /// The entry VM refused the call.
    #[error("{}", refusal(url, problem))]
    Problem {
        /// Where it went.
        url: String,
        /// What the entry VM said.
        problem: Box<border::Problem>,
    },
    /// The answer has another form than expected.
    #[error(
        "{url} answered {method} {path} with status {status} and something else than expected: {reason}"
    )]
    UnexpectedResponse {
        /// Where it went.
        url: String,
        /// Its method.
        method: Method,
        /// Its path.
        path: String,
        /// Status of the answer.
        status: u16,
        /// What is wrong with it.
        reason: String,
    },
    /// A repeated write stayed without a clear answer.
    #[error("whether this was carried out is unknown: {last}")]
    OutcomeUnknown {
        /// Why the last call did not tell.
        last: Box<CallError>,
    },
}

impl CallError {
    /// Whether the call may have taken effect.
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

    /// What the entry VM said, if it refused the call.
    pub fn problem(&self) -> Option<&border::Problem> {
        match self {
            CallError::Problem { problem, .. } => Some(problem),
            CallError::OutcomeUnknown { last } => last.problem(),
            _ => None,
        }
    }

    /// Whether another entry VM may answer a read.
    fn is_silent(&self) -> bool {
        matches!(self, CallError::Connect { .. } | CallError::NoResponse { .. })
    }

    /// Whether asking again under the same id would bring the same answer.
    fn is_settled(&self) -> bool {
        self.problem().is_some_and(|problem| !problem.retry && problem.status < 500)
    }
}

/// The verdict of an answer.
pub fn convert_verdict(verdict: border::Verdict) -> Verdict {
    match verdict {
        border::Verdict::NotRun => Verdict::NotRun,
        border::Verdict::Ran => Verdict::Ran,
        border::Verdict::Unknown => Verdict::Unknown,
    }
}

fn refusal(url: &str, problem: &border::Problem) -> String {
    if problem.status == 401 {
        return format!(
            "{url} does not accept the operator token: set BASILRACK_TOKEN or --token-file to the \
             token of its settings"
        );
    }
    format!("{url}: {}: {}", problem.title, problem.detail)
}

/// One call.
#[derive(Clone, Debug)]
struct Call {
    method: Method,
    path: String,
    body: Bytes,
    limit: Duration,
}

/// Calls entry VMs.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    urls: Vec<String>,
    token: Option<String>,
}

impl Client {
    /// A client of the entry VMs that the options name.
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
        connector.set_connect_timeout(Some(CONNECT_TIME));
        // A connection that has been idle may have gone silent, so each call makes its own.
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build(connector);
        Ok(Client { http, urls: urls?, token })
    }

    /// Reads, from the first entry VM that answers.
    ///
    /// # Errors
    ///
    /// No entry VM answers, or one refuses.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let call = Call {
            method: Method::GET,
            path: path.to_owned(),
            body: Bytes::new(),
            limit: READ_TIME,
        };
        self.in_turn(&call, CallError::is_silent, 0).await
    }

    /// A fresh id, from the first entry VM that answers. A lost answer costs an unused id.
    ///
    /// # Errors
    ///
    /// No entry VM answers, or one has no id to give out.
    pub async fn fresh_id(&self) -> Result<String, CallError> {
        let call = Call {
            method: Method::POST,
            path: "/v1/ids?count=1".to_owned(),
            body: Bytes::new(),
            limit: READ_TIME,
        };
        let ids: border::Ids = self.in_turn(&call, CallError::is_silent, 0).await?;
        let id = ids.ids.into_iter().next();
        id.ok_or_else(|| unexpected(&call, &self.urls[0], 200, "it holds no id"))
    }

    /// Writes what carries an id, again and again until the outcome is known. Without a body, none
    /// is sent.
    ///
    /// # Errors
    ///
    /// [`CallError::OutcomeUnknown`] if a call may have taken effect and none told whether it did.
    pub async fn write_idempotent<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, CallError> {
        let body = body.map(serde_json::to_vec).and_then(Result::ok).unwrap_or_default();
        let call = Call { method, path: path.to_owned(), body: body.into(), limit: WRITE_TIME };
        let mut last = None;
        for first in 0..MAX_WRITES {
            let error = match self.in_turn(&call, is_connect, first).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if last.is_none() && error.verdict() != Verdict::Unknown {
                return Err(error);
            }
            let settled = error.is_settled();
            last = Some(error);
            if settled {
                break;
            }
            sleep(WRITE_PAUSE).await;
        }
        let last = last.unwrap_or_else(|| unreachable!("at least one call was made"));
        Err(CallError::OutcomeUnknown { last: Box::new(last) })
    }

    async fn in_turn<T: DeserializeOwned>(
        &self,
        call: &Call,
        goes_on: fn(&CallError) -> bool,
        first: usize,
    ) -> Result<T, CallError> {
        let count = self.urls.len();
        let mut turns = (0..count).map(|turn| &self.urls[(first + turn) % count]);
        let mut result = self.once(call, turns.next().map_or("", String::as_str)).await;
        for url in turns {
            match &result {
                Err(error) if goes_on(error) => result = self.once(call, url).await,
                _ => break,
            }
        }
        result
    }

    async fn once<T: DeserializeOwned>(&self, call: &Call, url: &str) -> Result<T, CallError> {
        let lost = |reason: String| CallError::NoResponse {
            url: url.to_owned(),
            method: call.method.clone(),
            path: call.path.clone(),
            reason,
        };
        match timeout(call.limit, self.exchange(call, url, &lost)).await {
            Ok(result) => result,
            Err(_) => Err(lost(format!("it did not come within {} s", call.limit.as_secs()))),
        }
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        call: &Call,
        url: &str,
        lost: impl Fn(String) -> CallError,
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
            Err(error) if error.is_connect() => return Err(connect(causes(&error))),
            Err(error) => return Err(lost(causes(&error))),
        };
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_LEN).collect().await;
        let body = body.map_err(|error| lost(error.to_string()))?.to_bytes();
        decode(call, url, status, &body)
    }
}

fn is_connect(error: &CallError) -> bool {
    matches!(error, CallError::Connect { .. })
}

fn unexpected(call: &Call, url: &str, status: u16, reason: impl ToString) -> CallError {
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
        return serde_json::from_slice(body).map_err(|error| unexpected(call, url, status, error));
    }
    match serde_json::from_slice(body) {
        Ok(problem) => Err(CallError::Problem { url: url.to_owned(), problem: Box::new(problem) }),
        Err(error) => Err(unexpected(call, url, status, error)),
    }
}

/// An error and what caused it.
fn causes(error: &dyn std::error::Error) -> String {
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
