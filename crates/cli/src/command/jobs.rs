//! `basilrack jobs show` and `basilrack jobs cancel`.

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

/// Terminal state of a job. The verdict may become final earlier, while the terminal state is still
/// being stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum JobOutcome {
    /// It completed.
    Done,
    /// It failed and would fail on other workers too.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// No set of workers is large enough for it.
    Impossible,
    /// It may have run, and will not be run again.
    Unknown,
}

impl JobOutcome {
    /// Parses the state of a job; `None` if it is not a terminal one.
    pub fn from_status(status: &border::JobStatus) -> Option<JobOutcome> {
        status.state.parse().ok()
    }

    /// Exit code for this outcome.
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
/// No entry VM responds, or none knows the job.
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
/// No entry VM responds, or none knows the job. It is safe to cancel a job repeatedly.
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

/// Reads the status of a job.
///
/// # Errors
///
/// No entry VM responds, or none knows the job.
pub async fn read(client: &Client, id: &str) -> Result<border::JobStatus, CallError> {
    client.read(&format!("/v1/jobs/{id}")).await
}

/// Prints the status of a job.
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
    let finality = if status.final_ { "final" } else { "may change" };
    output.line(LineKind::Plain, format!("  verdict: {} ({finality})", status.verdict));
    output.line(LineKind::Plain, format!("  reason: {}", status.reason));
    let fields = [("waits for", &status.waits), ("shard", &status.shard)];
    for (name, value) in fields {
        if let Some(value) = value {
            output.line(LineKind::Plain, format!("  {name}: {value}"));
        }
    }
}
