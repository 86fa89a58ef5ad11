//! Errors of commands and their exit codes.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::client::CallError;
use crate::status::Status;
use model::Verdict;
use text::Fault;

/// Failure of a command.
#[derive(Debug, Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{path} cannot be read: {source}", path = path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file cannot be written.
    #[error("{path} cannot be written: {source}", path = path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A JSON file is malformed or does not have the expected structure.
    #[error("{path}:{line}:{column}: {reason}", path = path.display())]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// Line of the fault, starting at 1.
        line: usize,
        /// Column of the fault, starting at 1.
        column: usize,
        /// Description of the fault.
        reason: String,
    },
    /// A configuration has faults.
    #[error("the configuration has faults\n{}", join_faults(.0))]
    Faults(Vec<Fault>),
    /// A URL is not the address of an entry VM.
    #[error("{url:?} is not the address of an entry VM; use one such as http://10.0.0.4:8080")]
    Url {
        /// URL as given.
        url: String,
    },
    /// A call to an entry VM failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Another change of the configuration was stored first.
    #[error(
        "nothing was changed: {detail}\nReview `basilrack diff {file}`, then apply the file again"
    )]
    Conflict {
        /// Author and content of the other change, as the entry VM reports them.
        detail: String,
        /// Configuration file.
        file: String,
    },
    /// The entry VM has not yet loaded the configuration that is in the store.
    #[error(
        "the entry VM does not have revision {revision} of the configuration yet; nothing was \
         changed, try again in a few seconds"
    )]
    StaleEntryVm {
        /// Latest revision in the store.
        revision: u64,
    },
    /// It is unknown whether a change of the configuration was stored.
    #[error(
        "{source}\nRepeat it safely with `basilrack apply {file} --expect {expect} --write \
         {write}`, or look for it in `basilrack history`"
    )]
    ApplyUnknown {
        /// Error of the last call.
        source: Box<CallError>,
        /// Configuration file.
        file: String,
        /// Revision that the change is based on.
        expect: u64,
        /// Id of the write, under which it can be repeated.
        write: String,
    },
    /// It is unknown whether a job was accepted.
    #[error("{source}\nCheck for job {id} with `basilrack jobs show {id}`")]
    SubmitUnknown {
        /// Error of the last call.
        source: Box<CallError>,
        /// Id of the job.
        id: String,
    },
    /// A job was accepted, but its state can no longer be read.
    #[error("{source}\nJob {id} was accepted; check its state with `basilrack jobs show {id}`")]
    JobOutcomeUnknown {
        /// Error of the last call.
        source: Box<CallError>,
        /// Id of the job.
        id: String,
    },
    /// No availability zone can be chosen for a job, since no placement shard has an owner.
    #[error("no placement shard has an owner, so no zone can be chosen; try again, or set --zone")]
    NoZone,
    /// The burn report cannot be drawn.
    #[error("the burn report cannot be drawn: {reason}")]
    Draw {
        /// Error of the drawing library.
        reason: String,
    },
    /// Standard output cannot be written.
    #[error("cannot write to standard output: {0}")]
    Print(io::Error),
    /// A simulated service or the async runtime cannot start.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// An entry VM cannot start.
    #[error(transparent)]
    Entry(#[from] entry::Error),
    /// The entry VMs of `dev` did not become ready in time.
    #[error("the entry VMs did not become ready: {reason}")]
    NotReady {
        /// Condition that was not met.
        reason: String,
    },
}

impl Error {
    /// Exit code for this error.
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

fn join_faults(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
