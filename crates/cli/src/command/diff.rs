//! `basilrack diff`: shows what a configuration changes.

use crate::client::CallError;
use crate::client::Client;
use crate::error::Error;
use crate::files;
use crate::options::DiffOptions;
use crate::options::Format;
use crate::page::Page;
use crate::page::Tone;
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
    page: &mut Page,
) -> Result<Status, Error> {
    let new = files::read_text(&options.new)?;
    let old = match &options.old {
        Some(path) => files::read_text(path)?.text,
        None => parse_answer(&in_force(&client()?).await?)?,
    };
    let changes = text::diff(&old, &new.text);
    match options.format {
        Format::Json => page.json(&changes),
        Format::Table => write(page, &changes),
    }
    page.show()?;
    Ok(Status::Success)
}

/// Asks for the configuration in force.
///
/// # Errors
///
/// No entry VM answers, or one refuses.
pub async fn in_force(client: &Client) -> Result<border::TextAnswer, CallError> {
    client.read("/v1/text").await
}

/// Reads the configuration in force.
///
/// # Errors
///
/// This program is older than the entry VM, and does not know all of its fields.
pub fn parse_answer(answer: &border::TextAnswer) -> Result<Text, Error> {
    if answer.revision == 0 {
        return Ok(Text::default());
    }
    let name = format!("revision {}", answer.revision);
    text::parse(&name, &answer.text).map_err(Error::Faults)
}

/// Adds changes, one a line.
pub fn write(page: &mut Page, changes: &[Change]) {
    if changes.is_empty() {
        page.line(Tone::Plain, "no change");
    }
    for change in changes {
        let tone = match (&change.old, &change.new) {
            (Some(_), Some(_)) => Tone::Doubt,
            (None, _) => Tone::Good,
            (Some(_), None) => Tone::Bad,
        };
        page.line(tone, change);
    }
}
