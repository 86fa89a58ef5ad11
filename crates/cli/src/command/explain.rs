//! `basilrack explain`: shows the state changes of one request or job.

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

/// Shows the state changes of a request.
///
/// # Errors
///
/// No entry VM responds, or the id is not valid.
pub async fn request(
    options: &IdOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
    let explanation: border::Explanation =
        client.read(&format!("/v1/explain/{}", options.id)).await?;
    show("request", &explanation, options.format, output)
}

/// Shows the state changes of a job.
///
/// # Errors
///
/// No entry VM responds, or the id is not valid.
pub async fn job(
    options: &IdOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
    // Fails for a job that no shard knows, as opposed to one without recorded state changes.
    let status: border::JobStatus = client.read(&format!("/v1/jobs/{}", options.id)).await?;
    let mut explanation: border::Explanation =
        client.read(&format!("/v1/explain/{}", options.id)).await?;
    if explanation.steps.is_empty() {
        explanation.state = status.state;
        explanation.verdict = status.verdict;
        explanation.unknown = vec![border::Doubt {
            subject: format!("the state changes of job {}", options.id),
            why: status.reason,
        }];
    }
    show("job", &explanation, options.format, output)
}

fn show(
    kind: &str,
    explanation: &border::Explanation,
    format: Format,
    output: &mut Output,
) -> Result<Status, Error> {
    match format {
        Format::Json => output.json(explanation),
        Format::Table => write(kind, explanation, output),
    }
    output.flush()?;
    Ok(if explanation.unknown.is_empty() { Status::Success } else { Status::Unknown })
}

fn write(kind: &str, explanation: &border::Explanation, output: &mut Output) {
    let verdict = explanation.verdict;
    output.line(
        LineKind::Heading,
        format!("{kind} {}: {}, verdict {verdict}", explanation.id, explanation.state),
    );
    let rows: Vec<Row> = explanation
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
    output.unknowns(&explanation.unknown);
}
