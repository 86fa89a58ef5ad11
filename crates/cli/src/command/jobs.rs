//! `basilrack jobs show` and `jobs cancel`.

use hyper::Method;
use strum::EnumString;

use crate::client::CallError;
use crate::client::Client;
use crate::error::Error;
use crate::options::Format;
use crate::options::IdOptions;
use crate::output::LineKind;
use crate::output::Output;
use crate::status::Status;
use wire::border;

/// State of a job that has ended. A verdict may be final before that, while the end is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum JobOutcome {
    /// It ran to its end.
    Done,
    /// It fails wherever it runs.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// No set of workers can hold it.
    Impossible,
    /// It may have run and will not run again.
    Unknown,
}

impl JobOutcome {
    /// How a job has ended, if it has.
    pub fn from_status(status: &border::JobStatus) -> Option<JobOutcome> {
        status.state.parse().ok()
    }

    /// The exit code.
    pub fn status(self) -> Status {
        match self {
            JobOutcome::Done => Status::Success,
            JobOutcome::Unknown => Status::Unknown,
            JobOutcome::Failed | JobOutcome::Cancelled | JobOutcome::Impossible => {
                Status::Unsuccessful
            }
        }
    }
}

/// Shows a job.
///
/// # Errors
///
/// No entry VM answers, or none knows the job.
pub async fn show(
    options: &IdOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
    let status = read(client, &options.id).await?;
    print(&status, options.format, output)?;
    Ok(if JobOutcome::from_status(&status) == Some(JobOutcome::Unknown) {
        Status::Unknown
    } else {
        Status::Success
    })
}

/// Cancels a job.
///
/// # Errors
///
/// No entry VM answers, or none knows the job. A cancellation may be repeated.
pub async fn cancel(
    options: &IdOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
    let path = format!("/v1/jobs/{}", options.id);
    let status = client.write_idempotent(Method::DELETE, &path, None::<&()>).await?;
    print(&status, options.format, output)?;
    Ok(Status::Success)
}

/// Asks for the state of a job.
///
/// # Errors
///
/// No entry VM answers, or none knows the job.
pub async fn read(client: &Client, id: &str) -> Result<border::JobStatus, CallError> {
    client.read(&format!("/v1/jobs/{id}")).await
}

/// Prints the state of a job.
///
/// # Errors
///
/// Standard output cannot be written.
pub fn print(status: &border::JobStatus, format: Format, output: &mut Output) -> Result<(), Error> {
    match format {
        Format::Json => output.json(status),
        Format::Table => write(status, output),
    }
    output.flush()
}

fn write(status: &border::JobStatus, output: &mut Output) {
    output.line(LineKind::Heading, format!("job {}: {}", status.id, status.state));
    let last = if status.final_ { "final" } else { "may change" };
    output.line(LineKind::Plain, format!("  verdict: {} ({last})", status.verdict));
    output.line(LineKind::Plain, format!("  reason: {}", status.reason));
    let parts = [("waits for", &status.waits), ("shard", &status.shard)];
    for (name, value) in parts {
        if let Some(value) = value {
            output.line(LineKind::Plain, format!("  {name}: {value}"));
        }
    }
}
