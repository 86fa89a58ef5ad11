//! What is certain about a request that was dispatched.

use bytes::Bytes;
use hyper::http::HeaderValue;
use thiserror::Error;

use model::RequestId;
use model::Verdict;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Verdict that the backend server gave, if any.
    pub verdict: Option<Verdict>,
    /// Content type of the body.
    pub content: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
    /// Request that the answer names, if any.
    pub(super) request: Option<HeaderValue>,
}

impl Answer {
    /// Whether the answer names this request or none.
    pub(super) fn belongs_to(&self, id: RequestId) -> bool {
        match &self.request {
            Some(found) => found.to_str().is_ok_and(|found| found.parse() == Ok(id)),
            None => true,
        }
    }

    /// The request that the answer names.
    pub(super) fn found(&self) -> String {
        let found = self.request.as_ref().map(|found| found.as_bytes().escape_ascii().to_string());
        found.unwrap_or_default()
    }
}

/// What is certain about a request.
#[derive(Debug)]
pub enum Outcome {
    /// Its whole answer came.
    Answered(Answer),
    /// Nothing of it was sent.
    NotSent {
        /// Why.
        cause: Cause,
    },
    /// It was sent, in part at least, and no whole answer came.
    Broken {
        /// Why.
        cause: Cause,
    },
    /// No whole answer came in time.
    TimedOut {
        /// Whether any of it was sent.
        sent: bool,
    },
}

impl Outcome {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Answered(answer) => answer.verdict.unwrap_or(Verdict::Ran),
            Outcome::NotSent { .. } | Outcome::TimedOut { sent: false } => Verdict::NotRun,
            Outcome::Broken { .. } | Outcome::TimedOut { sent: true } => Verdict::Unknown,
        }
    }
}

/// Why a request was not sent or not answered.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Cause {
    /// The backend server refused the connection.
    #[error("connection refused")]
    Refused,
    /// The backend server could not be reached.
    #[error("cannot connect: {reason}")]
    Unreachable {
        /// What the system said.
        reason: String,
    },
    /// Every connection that this process may have is in use.
    #[error("all {limit} connections are in use")]
    Busy {
        /// How many there may be.
        limit: usize,
    },
    /// The backend server is retired.
    #[error("backend server is retired")]
    Retired,
    /// The connection was closed without a whole answer.
    #[error("connection closed: {reason}")]
    Closed {
        /// What the HTTP library said.
        reason: String,
    },
    /// The answer is not HTTP.
    #[error("answer is malformed: {reason}")]
    Malformed {
        /// What the HTTP library said.
        reason: String,
    },
    /// The answer is too long.
    #[error("answer is longer than {limit} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The answer names another request.
    #[error("answer to request {expected} names request {found:?}")]
    Mismatched {
        /// The request that was sent.
        expected: RequestId,
        /// The request that the answer names.
        found: String,
    },
}
