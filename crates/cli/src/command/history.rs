//! `basilrack history`: lists the kept revisions.

use crate::client::Client;
use crate::error::Error;
use crate::options::Format;
use crate::page::Page;
use crate::page::Tone;
use crate::page::time;
use crate::status::Status;
use wire::border;

/// Lists the kept revisions, newest first, each with what it changed.
///
/// # Errors
///
/// No entry VM answers, or the store does not answer it.
pub async fn run(format: Format, client: &Client, page: &mut Page) -> Result<Status, Error> {
    let history: border::History = client.read("/v1/history").await?;
    match format {
        Format::Json => page.json(&history),
        Format::Table => write(page, &history),
    }
    page.show()?;
    Ok(Status::Success)
}

fn write(page: &mut Page, history: &border::History) {
    if history.entries.is_empty() {
        page.line(Tone::Plain, "no configuration is stored");
    }
    for entry in &history.entries {
        let head = format!("revision {}  {}  {}", entry.revision, time(entry.at_ms), entry.author);
        page.line(Tone::Head, head);
        for change in &entry.changes {
            page.line(Tone::Plain, format!("  {change}"));
        }
    }
}
