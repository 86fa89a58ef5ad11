//! Why a command failed.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::status::Status;
use text::Fault;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{path} cannot be read: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A configuration has faults.
    #[error("{}", lines(.0))]
    Faults(Vec<Fault>),
    /// A stand-in or the runtime cannot start.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// An entry VM cannot start.
    #[error(transparent)]
    Entry(#[from] entry::Error),
    /// The entry VMs did not become ready.
    #[error("the entry VMs did not become ready: {reason}")]
    NotReady {
        /// What was still missing.
        reason: String,
    },
}

impl Error {
    /// The exit code.
    pub fn status(&self) -> Status {
        match self {
            Error::Faults(_) => Status::Faults,
            _ => Status::Failure,
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
