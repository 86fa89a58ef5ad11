//! `basilrack history`: lists the retained revisions of the configuration.

use crate::client::Client;
use crate::error::Error;
use crate::options::Format;
use crate::output::LineKind;
use crate::output::Output;
use crate::output::format_time;
use crate::status::Status;
use wire::border;

/// Lists the retained revisions, newest first, each with its changes.
///
/// # Errors
///
/// No entry VM responds, or the store does not respond to it.
pub async fn run(format: Format, client: &Client, output: &mut Output) -> Result<Status, Error> {
    let history: border::History = client.read("/v1/history").await?;
    match format {
        Format::Json => output.json(&history),
        Format::Table => write(output, &history),
    }
    output.flush()?;
    Ok(Status::Success)
}

fn write(output: &mut Output, history: &border::History) {
    if history.entries.is_empty() {
        output.line(LineKind::Plain, "no configuration is stored");
    }
    for entry in &history.entries {
        let head =
            format!("revision {}  {}  {}", entry.revision, format_time(entry.at_ms), entry.author);
        output.line(LineKind::Heading, head);
        for change in &entry.changes {
            output.line(LineKind::Plain, format!("  {change}"));
        }
    }
}
