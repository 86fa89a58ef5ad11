//! Why an entry VM cannot start or stop.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use text::Fault;

/// Why an entry VM cannot start or stop.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("settings file {path} cannot be read: {source}", path = path.display())]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The settings are not valid.
    #[error("{}", lines(.0))]
    Settings(Vec<Fault>),
    /// An address of the settings cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The web server cannot start.
    #[error("web server cannot start: {0}")]
    Web(io::Error),
    /// The store's address is not valid.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The runtime cannot start.
    #[error("runtime cannot start: {0}")]
    Runtime(io::Error),
    /// The other entry VMs hold this process for gone.
    #[error("the other entry VMs hold this process for gone; start it again")]
    Fenced,
    /// An entry VM on the platform's store cannot start.
    #[error(transparent)]
    Host(node::Error),
    /// A metric cannot be registered, which is a defect.
    #[error("metric cannot be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
