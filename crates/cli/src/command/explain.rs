//! `basilrack explain`: shows the path of one request or job.

use crate::client::Client;
use crate::error::Error;
use crate::options::Format;
use crate::options::IdOptions;
use crate::output::LineKind;
use crate::output::Output;
use crate::output::Row;
use crate::output::format_time;
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
    output: &mut Output,
) -> Result<Status, Error> {
    let known: border::Explanation = client.read(&format!("/v1/explain/{}", options.id)).await?;
    show("request", &known, options.format, output)
}

/// Shows the path of a job.
///
/// # Errors
///
/// No entry VM answers, or the id is not valid.
pub async fn job(
    options: &IdOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
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
    show("job", &known, options.format, output)
}

fn show(
    kind: &str,
    known: &border::Explanation,
    format: Format,
    output: &mut Output,
) -> Result<Status, Error> {
    match format {
        Format::Json => output.json(known),
        Format::Table => write(kind, known, output),
    }
    output.flush()?;
    Ok(if known.unknown.is_empty() { Status::Success } else { Status::Unknown })
}

fn write(kind: &str, known: &border::Explanation, output: &mut Output) {
    let verdict = known.verdict;
    output.line(
        LineKind::Heading,
        format!("{kind} {}: {}, verdict {verdict}", known.id, known.state),
    );
    let rows: Vec<Row> = known
        .steps
        .iter()
        .map(|step| {
            Row::new(
                LineKind::Plain,
                [format_time(step.at_ms), step.state.clone(), step.reason.clone()],
            )
        })
        .collect();
    output.table(&["time", "state", "reason"], &rows);
    output.unknowns(&known.unknown);
}
