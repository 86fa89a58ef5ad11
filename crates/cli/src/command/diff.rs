//! `basilrack diff`: shows what a configuration changes.

use crate::client::CallError;
use crate::client::Client;
use crate::error::Error;
use crate::files;
use crate::options::DiffOptions;
use crate::options::Format;
use crate::output::LineKind;
use crate::output::Output;
use crate::status::Status;
use text::Change;
use text::Text;
use wire::border;

/// Compares a configuration with another one, or with the one in force.
///
/// # Errors
///
/// A file cannot be read or has faults, or no entry VM answers.
pub async fn run(
    options: &DiffOptions,
    client: impl FnOnce() -> Result<Client, Error>,
    output: &mut Output,
) -> Result<Status, Error> {
    let new = files::read_config(&options.new)?;
    let old = match &options.old {
        Some(path) => files::read_config(path)?.text,
        None => parse_active(&fetch_active(&client()?).await?)?,
    };
    let changes = text::diff(&old, &new.text);
    match options.format {
        Format::Json => output.json(&changes),
        Format::Table => write(output, &changes),
    }
    output.flush()?;
    Ok(Status::Success)
}

/// Asks for the configuration in force.
///
/// # Errors
///
/// No entry VM answers, or one refuses.
pub async fn fetch_active(client: &Client) -> Result<border::TextAnswer, CallError> {
    client.read("/v1/text").await
}

/// Reads the configuration in force.
///
/// # Errors
///
/// This program is older than the entry VM, and does not know all of its fields.
pub fn parse_active(answer: &border::TextAnswer) -> Result<Text, Error> {
    if answer.revision == 0 {
        return Ok(Text::default());
    }
    let name = format!("revision {}", answer.revision);
    text::parse(&name, &answer.text).map_err(Error::Faults)
}

/// Adds changes, one a line.
pub fn write(output: &mut Output, changes: &[Change]) {
    if changes.is_empty() {
        output.line(LineKind::Plain, "no change");
    }
    for change in changes {
        let tone = match (&change.old, &change.new) {
            (Some(_), Some(_)) => LineKind::Warning,
            (None, _) => LineKind::Success,
            (Some(_), None) => LineKind::Error,
        };
        output.line(tone, change);
    }
}
