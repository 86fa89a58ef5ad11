//! `basilrack text`: prints the configuration in force.

use crate::client::Client;
use crate::command::diff;
use crate::error::Error;
use crate::options::Format;
use crate::output::Output;
use crate::status::Status;

/// Prints the configuration in force as it was applied, comments included.
///
/// # Errors
///
/// No entry VM responds, or one responds with an error.
pub async fn run(format: Format, client: &Client, output: &mut Output) -> Result<Status, Error> {
    let answer = diff::fetch_active(client).await?;
    match format {
        Format::Json => output.json(&answer),
        Format::Table => output.raw(&answer.text),
    }
    output.flush()?;
    if !answer.current {
        // The warning goes to standard error, so that standard output can be redirected to a file.
        eprintln!(
            "basilrack: the entry VM cannot confirm that revision {} is the latest",
            answer.revision
        );
    }
    Ok(Status::Success)
}
