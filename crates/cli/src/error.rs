//! Why a command failed.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::client::CallError;
use crate::status::Status;
use model::Verdict;
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
    /// A file cannot be written.
    #[error("{path} cannot be written: {source}", path = path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A JSON file has another form than expected.
    #[error("{path}:{line}:{column}: {reason}", path = path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What is wrong.
        reason: String,
    },
    /// A configuration has faults.
    #[error("the configuration has faults\n{}", lines(.0))]
    Faults(Vec<Fault>),
    /// A URL cannot be used.
    #[error("{url:?} is not the address of an entry VM; write one such as http://10.0.0.4:8080")]
    Url {
        /// The URL.
        url: String,
    },
    /// A call was not answered as asked.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Another change of the configuration came first.
    #[error("nothing was changed: {detail}\nLook at `basilrack diff {file}`, then apply it again")]
    Conflict {
        /// Who changed what.
        detail: String,
        /// The file that was to be applied.
        file: String,
    },
    /// An entry VM does not have the configuration that the store holds.
    #[error(
        "the entry VM does not have revision {revision} of the configuration yet; nothing was \
         changed, try again in a few seconds"
    )]
    StaleEntryVm {
        /// The revision in the store.
        revision: u64,
    },
    /// Whether a change of the configuration is stored is not known.
    #[error(
        "{source}\nSettle it with `basilrack apply {file} --expect {expect} --write {write}`, or \
         look for it in `basilrack history`"
    )]
    ApplyUnknown {
        /// Why.
        source: Box<CallError>,
        /// The file that was to be applied.
        file: String,
        /// The expected revision.
        expect: u64,
        /// The write id.
        write: String,
    },
    /// Whether a job was accepted is not known.
    #[error("{source}\nLook for job {id} with `basilrack jobs show {id}`")]
    SubmitUnknown {
        /// Why.
        source: Box<CallError>,
        /// The job.
        id: String,
    },
    /// What becomes of a job that was accepted is not known.
    #[error("{source}\nJob {id} was accepted; look for it with `basilrack jobs show {id}`")]
    JobOutcomeUnknown {
        /// Why.
        source: Box<CallError>,
        /// The job.
        id: String,
    },
    /// No availability zone can be chosen for a job.
    #[error("no placement shard has an owner, so no zone can be chosen; try again, or set --zone")]
    NoZone,
    /// The report cannot be drawn.
    #[error("the report cannot be drawn: {reason}")]
    Draw {
        /// What the library said.
        reason: String,
    },
    /// The output cannot be printed.
    #[error("cannot print: {0}")]
    Print(io::Error),
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
            Error::Faults(_) | Error::Json { .. } => Status::Faults,
            Error::Conflict { .. } => Status::Conflict,
            Error::ApplyUnknown { .. }
            | Error::SubmitUnknown { .. }
            | Error::JobOutcomeUnknown { .. } => Status::Unknown,
            Error::Call(error) if error.verdict() == Verdict::Unknown => Status::Unknown,
            _ => Status::Failure,
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
