//! Why a call failed, and whether it may have taken effect.

use std::io;

use thiserror::Error;

use crate::api::Purpose;
use crate::gateway::DecodeError;
use model::Verdict;

/// A call to the store failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The address of the store is not of a form that the client understands.
    #[error("store url {url:?} is not valid: expected http://<address>:<port>")]
    Url {
        /// The address as configured.
        url: String,
    },
    /// Too many calls of the same or a higher priority wait already.
    #[error("store call for {purpose} was not sent: the queue is full")]
    Full {
        /// What the call was for.
        purpose: Purpose,
    },
    /// The deadline passed while the call waited for its turn.
    #[error("store call for {purpose} was not sent: its deadline passed in the queue")]
    Expired {
        /// What the call was for.
        purpose: Purpose,
    },
    /// The last calls failed, and the next trial is not due yet.
    #[error("store call for {purpose} was not sent: the store has been failing")]
    Down {
        /// What the call was for.
        purpose: Purpose,
    },
    /// No connection could be made.
    #[error("no connection to the store at {address}: {source}")]
    Connect {
        /// The store's address.
        address: String,
        /// What the system said.
        source: io::Error,
    },
    /// The connection ended before the call left.
    #[error("connection to the store at {address} ended before the call was sent")]
    Unsent {
        /// The store's address.
        address: String,
    },
    /// The connection ended after the call left and before its answer came.
    #[error("connection to the store at {address} ended before the answer came")]
    Closed {
        /// The store's address.
        address: String,
    },
    /// The deadline passed after the call left and before its answer came.
    #[error("store at {address} did not answer before the deadline")]
    Timeout {
        /// The store's address.
        address: String,
    },
    /// The store refused the call, so it had no effect.
    #[error("store refused the call with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// What the store said.
        message: String,
    },
    /// The store failed in the middle of the call.
    #[error("store failed with status {status}: {message}")]
    Failed {
        /// HTTP status.
        status: u16,
        /// What the store said.
        message: String,
    },
    /// The answer is not what the gateway defines.
    #[error("store gave an answer that cannot be read: {0}")]
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

    /// Whether another connection may do better.
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
