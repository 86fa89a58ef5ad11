//! `basilrack diff`: shows the changes between two configurations.

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

/// Compares a configuration with an older one, or with the one in force.
///
/// # Errors
///
/// A file cannot be read or has faults, or no entry VM responds.
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

/// Reads the configuration in force from an entry VM.
///
/// # Errors
///
/// No entry VM responds, or one responds with an error.
pub async fn fetch_active(client: &Client) -> Result<border::TextAnswer, CallError> {
    client.read("/v1/text").await
}

/// Parses the configuration in force; it is empty at revision 0, before the first one is stored.
///
/// # Errors
///
/// The configuration has fields that this program does not know, because it is older than the entry
/// VM.
pub fn parse_active(answer: &border::TextAnswer) -> Result<Text, Error> {
    if answer.revision == 0 {
        return Ok(Text::default());
    }
    let name = format!("revision {}", answer.revision);
    text::parse(&name, &answer.text).map_err(Error::Faults)
}

/// Writes changes to `output`, one per line.
pub fn write(output: &mut Output, changes: &[Change]) {
    if changes.is_empty() {
        output.line(LineKind::Plain, "no change");
    }
    for change in changes {
        let kind = match (&change.old, &change.new) {
            (Some(_), Some(_)) => LineKind::Warning,
            (None, _) => LineKind::Success,
            (Some(_), None) => LineKind::Error,
        };
        output.line(kind, change);
    }
}
