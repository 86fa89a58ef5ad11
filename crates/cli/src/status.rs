//! Exit codes.

use std::process::ExitCode;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// All went well.
    Success = 0,
    /// The command failed, and nothing was changed.
    Failure = 1,
    /// The command line is not valid.
    Usage = 2,
    /// What was checked has faults.
    Faults = 3,
    /// Another change came first.
    Conflict = 4,
    /// What was asked is not known, or may have been carried out.
    Unknown = 5,
    /// A promise was broken.
    Broken = 6,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> ExitCode {
        ExitCode::from(status as u8)
    }
}
