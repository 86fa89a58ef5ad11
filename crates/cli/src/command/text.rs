//! `basilrack text`: prints the configuration in force.

use crate::client::Client;
use crate::command::diff;
use crate::error::Error;
use crate::options::Format;
use crate::output::Output;
use crate::status::Status;

/// Prints the configuration in force, as it was written.
///
/// # Errors
///
/// No entry VM answers, or one refuses.
pub async fn run(format: Format, client: &Client, output: &mut Output) -> Result<Status, Error> {
    let answer = diff::fetch_active(client).await?;
    match format {
        Format::Json => output.json(&answer),
        Format::Table => output.raw(&answer.text),
    }
    output.flush()?;
    if !answer.current {
        // Standard output carries the text alone, so that it can be kept in a file.
        eprintln!(
            "basilrack: the entry VM cannot vouch that revision {} is the latest",
            answer.revision
        );
    }
    Ok(Status::Success)
}
