//! Outcome of a dispatched request.

use bytes::Bytes;
use hyper::http::HeaderValue;
use thiserror::Error;

use model::RequestId;
use model::Verdict;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Verdict of the backend server on a request that it refused, if any.
    pub verdict: Option<Verdict>,
    /// Content type of the body, if given.
    pub content: Option<HeaderValue>,
    /// Body of the response.
    pub body: Bytes,
    /// Request id that the response carries, if any.
    pub(super) request: Option<HeaderValue>,
}

impl Answer {
    /// Returns whether the response carries the id of this request or no id.
    pub(super) fn matches(&self, id: RequestId) -> bool {
        match &self.request {
            Some(found) => found.to_str().is_ok_and(|found| found.parse() == Ok(id)),
            None => true,
        }
    }

    /// Returns the request id that the response carries, escaped as ASCII; empty if none.
    pub(super) fn request_text(&self) -> String {
        let found = self.request.as_ref().map(|found| found.as_bytes().escape_ascii().to_string());
        found.unwrap_or_default()
    }
}

/// Outcome of one attempt to send a request.
#[derive(Debug)]
pub enum Outcome {
    /// A complete response arrived.
    Answered(Answer),
    /// No byte of the request was sent.
    NotSent {
        /// Why the request was not sent.
        cause: Cause,
    },
    /// The request was sent, at least in part, and no complete response arrived.
    Broken {
        /// Why there is no complete response.
        cause: Cause,
    },
    /// No complete response arrived in time.
    TimedOut {
        /// Whether any byte of the request was sent.
        sent: bool,
    },
}

impl Outcome {
    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Answered(answer) => answer.verdict.unwrap_or(Verdict::Ran),
            Outcome::NotSent { .. } | Outcome::TimedOut { sent: false } => Verdict::NotRun,
            Outcome::Broken { .. } | Outcome::TimedOut { sent: true } => Verdict::Unknown,
        }
    }
}

/// Why a request was not sent or got no complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Cause {
    /// The backend server refused the connection.
    #[error("connection refused")]
    Refused,
    /// The backend server could not be reached.
    #[error("cannot connect: {reason}")]
    Unreachable {
        /// Error message of the operating system.
        reason: String,
    },
    /// All connections to the backend server that the pool may open are in use.
    #[error("all {limit} connections are in use")]
    Busy {
        /// Maximum number of connections.
        limit: usize,
    },
    /// The backend server is retired; see [`Pool::retire`](super::Pool::retire).
    #[error("backend server is retired")]
    Retired,
    /// The connection was closed before a complete response arrived.
    #[error("connection closed: {reason}")]
    Closed {
        /// Error message of the HTTP library.
        reason: String,
    },
    /// The response is not valid HTTP.
    #[error("response is malformed: {reason}")]
    Malformed {
        /// Error message of the HTTP library.
        reason: String,
    },
    /// The response body is too long.
    #[error("response is longer than {limit} bytes")]
    TooLong {
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The response carries the id of another request.
    #[error("response to request {expected} carries the id of request {found:?}")]
    Mismatched {
        /// Id of the request that was sent.
        expected: RequestId,
        /// Request id in the response.
        found: String,
    },
}
