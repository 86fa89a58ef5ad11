//! Exit codes.

use std::process::ExitCode;

use strum::EnumMessage;
use strum::VariantArray;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumMessage, VariantArray)]
pub enum Status {
    /// The command succeeded.
    #[strum(message = "the command succeeded")]
    Success = 0,
    /// The command failed, and nothing was changed.
    #[strum(message = "the command failed, and nothing was changed")]
    Failure = 1,
    /// The command line is not valid.
    #[strum(message = "the command line is not valid")]
    Usage = 2,
    /// The configuration or another input file has faults.
    #[strum(message = "the configuration or another input file has faults")]
    Faults = 3,
    /// Another change was stored first, and nothing was changed.
    #[strum(message = "another change was stored first, and nothing was changed")]
    Conflict = 4,
    /// The requested state is unknown, or the command may have taken effect.
    #[strum(message = "the requested state is unknown, or the command may have taken effect")]
    Unknown = 5,
    /// A check of the answers and executions failed.
    #[strum(message = "a check of the answers and executions failed (dev)")]
    Broken = 6,
    /// The job ended without success.
    #[strum(message = "the job ended without success (jobs submit --wait)")]
    Unsuccessful = 7,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Help text that lists the exit codes, one per line.
pub fn help() -> String {
    let lines = Status::VARIANTS.iter().map(|status| {
        let code = *status as u8;
        format!("  {code}  {}", status.get_message().unwrap_or_default())
    });
    let lines: Vec<String> = lines.collect();
    format!("Exit codes:\n{}", lines.join("\n"))
}
