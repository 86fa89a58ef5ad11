//! Why an entry VM cannot start.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why an entry VM cannot start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address of the settings cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A metric cannot be registered, which is a defect.
    #[error("metric cannot be registered: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The runtime cannot start.
    #[error("runtime cannot start: {0}")]
    Runtime(io::Error),
}
