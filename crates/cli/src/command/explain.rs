//! `basilrack explain`: shows the path of one request or job.

use crate::client::Client;
use crate::error::Error;
use crate::options::Format;
use crate::options::IdOptions;
use crate::page::Page;
use crate::page::Row;
use crate::page::Tone;
use crate::page::time;
use crate::status::Status;
use wire::border;

/// Shows the path of a request.
///
/// # Errors
///
/// No entry VM answers, or the id is not valid.
pub async fn request(
    options: &IdOptions,
    client: &Client,
    page: &mut Page,
) -> Result<Status, Error> {
    let known: border::Explanation = client.read(&format!("/v1/explain/{}", options.id)).await?;
    show("request", &known, options.format, page)
}

/// Shows the path of a job.
///
/// # Errors
///
/// No entry VM answers, or the id is not valid.
pub async fn job(options: &IdOptions, client: &Client, page: &mut Page) -> Result<Status, Error> {
    // Tells a job that no shard knows from one that has no path yet.
    let status: border::JobStatus = client.read(&format!("/v1/jobs/{}", options.id)).await?;
    let mut known: border::Explanation =
        client.read(&format!("/v1/explain/{}", options.id)).await?;
    if known.steps.is_empty() {
        known.state = status.state;
        known.verdict = status.verdict;
        known.unknown = vec![border::Doubt {
            subject: format!("the path of job {}", options.id),
            why: status.reason,
        }];
    }
    show("job", &known, options.format, page)
}

fn show(
    kind: &str,
    known: &border::Explanation,
    format: Format,
    page: &mut Page,
) -> Result<Status, Error> {
    match format {
        Format::Json => page.json(known),
        Format::Table => write(kind, known, page),
    }
    page.show()?;
    Ok(if known.unknown.is_empty() { Status::Success } else { Status::Unknown })
}

fn write(kind: &str, known: &border::Explanation, page: &mut Page) {
    let verdict = known.verdict;
    page.line(Tone::Head, format!("{kind} {}: {}, verdict {verdict}", known.id, known.state));
    let rows: Vec<Row> = known
        .steps
        .iter()
        .map(|step| {
            Row::new(Tone::Plain, [time(step.at_ms), step.state.clone(), step.reason.clone()])
        })
        .collect();
    page.table(&["time", "state", "reason"], &rows);
    page.doubts(&known.unknown);
}
