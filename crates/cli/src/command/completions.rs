//! `basilrack completions`: prints shell completions.

use clap_complete::Shell;

use crate::app;
use crate::error::Error;
use crate::output::Output;
use crate::status::Status;

/// Prints the completion script for a shell.
///
/// # Errors
///
/// Standard output cannot be written.
pub fn run(shell: Shell, output: &mut Output) -> Result<Status, Error> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut app::build(), "basilrack", &mut script);
    output.raw(&String::from_utf8_lossy(&script));
    output.flush()?;
    Ok(Status::Success)
}
