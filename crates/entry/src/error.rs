//! Errors of starting and running an entry VM.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use text::Fault;

/// Error of starting or running an entry VM.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("settings file {path} cannot be read: {source}", path = path.display())]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings are invalid; lists all faults.
    #[error("{}", lines(.0))]
    Settings(Vec<Fault>),
    /// A listen address of the settings cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The web server cannot start.
    #[error("web server cannot start: {0}")]
    Web(io::Error),
    /// The store client cannot be created, such as for an invalid address.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The tokio runtime or its signal handlers cannot be started.
    #[error("runtime or its signal handlers cannot start: {0}")]
    Runtime(io::Error),
    /// The other entry VMs declared this process gone and fenced it.
    #[error("the other entry VMs hold this process for gone; start it again")]
    Fenced,
    /// An entry VM in host mode cannot be started or run.
    #[error(transparent)]
    Host(node::Error),
    /// A metric cannot be registered, which is a bug.
    #[error("metric cannot be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
