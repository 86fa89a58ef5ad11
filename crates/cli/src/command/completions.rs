//! `basilrack completions`: prints shell completions.

use clap_complete::Shell;

use crate::app;
use crate::error::Error;
use crate::page::Page;
use crate::status::Status;

/// Prints the completions of a shell.
///
/// # Errors
///
/// Standard output cannot be written.
pub fn run(shell: Shell, page: &mut Page) -> Result<Status, Error> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut app::build(), "basilrack", &mut script);
    page.raw(&String::from_utf8_lossy(&script));
    page.show()?;
    Ok(Status::Success)
}
