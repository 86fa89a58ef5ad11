//! Exit codes.

use std::process::ExitCode;

use strum::EnumMessage;
use strum::VariantArray;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumMessage, VariantArray)]
pub enum Status {
    /// All went well.
    #[strum(message = "all went well")]
    Success = 0,
    /// The command failed, and nothing was changed.
    #[strum(message = "the command failed, and nothing was changed")]
    Failure = 1,
    /// The command line is not valid.
    #[strum(message = "the command line is not valid")]
    Usage = 2,
    /// What was checked has faults.
    #[strum(message = "what was checked has faults")]
    Faults = 3,
    /// Another change came first.
    #[strum(message = "another change came first, and nothing was changed")]
    Conflict = 4,
    /// What was asked is not known, or may have been carried out.
    #[strum(message = "what was asked is not known, or may have been carried out")]
    Unknown = 5,
    /// A promise was broken.
    #[strum(message = "a promise was broken (dev)")]
    Broken = 6,
    /// A job ended without success.
    #[strum(message = "the job ended without success (jobs submit --wait)")]
    Unsuccessful = 7,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// The exit codes and what they mean, one a line.
pub fn help() -> String {
    let lines = Status::VARIANTS.iter().map(|status| {
        let code = *status as u8;
        format!("  {code}  {}", status.get_message().unwrap_or_default())
    });
    let lines: Vec<String> = lines.collect();
    format!("Exit codes:\n{}", lines.join("\n"))
}
