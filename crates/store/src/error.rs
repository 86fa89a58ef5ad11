//! Errors of store calls.

use std::io;

use thiserror::Error;

use crate::api::Purpose;
use crate::gateway::DecodeError;
use model::Verdict;

/// Reason why a call to the store failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The configured URL does not have the form `http://<address>:<port>`.
    #[error("store url {url:?} is not valid: expected http://<address>:<port>")]
    Url {
        /// URL from the configuration.
        url: String,
    },
    /// The queue is full of calls with the same or a higher priority.
    #[error("store call for {purpose} was not sent: the queue is full")]
    Full {
        /// Purpose of the call.
        purpose: Purpose,
    },
    /// The deadline passed while the call was queued.
    #[error("store call for {purpose} was not sent: its deadline passed while it was queued")]
    Expired {
        /// Purpose of the call.
        purpose: Purpose,
    },
    /// The circuit breaker is open after consecutive failures, and no probe is due yet.
    #[error("store call for {purpose} was not sent: recent calls to the store failed")]
    Down {
        /// Purpose of the call.
        purpose: Purpose,
    },
    /// The connection could not be established.
    #[error("cannot connect to the store at {address}: {source}")]
    Connect {
        /// Address and port of the store.
        address: String,
        /// Error of the operating system or the HTTP handshake.
        source: io::Error,
    },
    /// The connection closed before the request was sent.
    #[error("connection to the store at {address} closed before the request was sent")]
    Unsent {
        /// Address and port of the store.
        address: String,
    },
    /// The connection closed after the request was sent and before the response was complete.
    #[error("connection to the store at {address} closed before the response arrived")]
    Closed {
        /// Address and port of the store.
        address: String,
    },
    /// The deadline passed after the request was sent and before the response was complete.
    #[error("store at {address} did not respond before the deadline")]
    Timeout {
        /// Address and port of the store.
        address: String,
    },
    /// The store rejected the request, which had no effect.
    #[error("store rejected the request with status {status}: {message}")]
    Rejected {
        /// HTTP status code.
        status: u16,
        /// Error message of the store.
        message: String,
    },
    /// The store reported an error that leaves open whether the request took effect.
    #[error("store failed with status {status}: {message}")]
    Failed {
        /// HTTP status code.
        status: u16,
        /// Error message of the store.
        message: String,
    },
    /// The response does not follow the gateway's schema.
    #[error("invalid response from the store: {0}")]
    Malformed(#[from] DecodeError),
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Url { .. }
            | Error::Full { .. }
            | Error::Expired { .. }
            | Error::Down { .. }
            | Error::Connect { .. }
            | Error::Unsent { .. }
            | Error::Rejected { .. } => Verdict::NotRun,
            Error::Closed { .. }
            | Error::Timeout { .. }
            | Error::Failed { .. }
            | Error::Malformed(_) => Verdict::Unknown,
        }
    }

    /// Whether the connection failed rather than the store, so that a retry on a new one may
    /// succeed.
    pub(crate) fn is_transport(&self) -> bool {
        matches!(
            self,
            Error::Connect { .. }
                | Error::Unsent { .. }
                | Error::Closed { .. }
                | Error::Timeout { .. }
        )
    }
}
