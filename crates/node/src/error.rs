//! Errors at the start of an entry VM.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Reason why an entry VM cannot start.
#[derive(Debug, Error)]
pub enum Error {
    /// Cannot listen on an address of the settings.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Limits on clients contradict the memory of the VM or each other.
    #[error("settings: {0}")]
    Intake(String),
    /// A metric cannot be registered, which is a bug.
    #[error("cannot register metric: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The async runtime or a signal handler cannot be set up.
    #[error("cannot set up the async runtime or a signal handler: {0}")]
    Runtime(io::Error),
}
