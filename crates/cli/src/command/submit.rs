//! `basilrack jobs submit`: submits a job.
//!
//! The id is fetched first and the job put under it, so that a submission whose answer is lost can
//! be repeated and starts one job only.

use std::time::Duration;

use hyper::Method;
use tokio::time::sleep;

use crate::client::CallError;
use crate::client::Client;
use crate::command::jobs;
use crate::command::jobs::JobOutcome;
use crate::error::Error;
use crate::files;
use crate::options::JobSource;
use crate::options::SubmitOptions;
use crate::output::Output;
use crate::status::Status;
use model::Verdict;
use wire::border;

/// Pause between two looks at a job.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Looks in a row that may fail.
const MAX_FAILURES: u32 = 40;

/// Submits a job, and waits for its end if that is wanted.
///
/// # Errors
///
/// The job is refused, or whether it was accepted is unknown.
pub async fn run(
    options: &SubmitOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
    let mut spec = match &options.source {
        JobSource::File(path) => files::read_json(path)?,
        JobSource::Flags(spec) => border::JobSpec::clone(spec),
    };
    if let Some(zone) = &options.zone {
        spec.zone = Some(zone.clone());
    }
    let id = client.fresh_id().await?;
    let status = match &spec.zone {
        Some(_) => put(client, &id, &spec).await?,
        None => put_anywhere(client, &id, spec).await?,
    };
    if !options.wait {
        jobs::print(&status, options.format, output)?;
        return Ok(Status::Success);
    }
    eprintln!("basilrack: job {id} is {}", status.state);
    let watched = watch(client, status).await?;
    jobs::print(&watched.status, options.format, output)?;
    Ok(watched.end.status())
}

async fn put(
    client: &Client,
    id: &str,
    spec: &border::JobSpec,
) -> Result<border::JobStatus, Error> {
    let path = format!("/v1/jobs/{id}");
    client.write_idempotent(Method::PUT, &path, Some(spec)).await.map_err(|error| {
        if error.verdict() == Verdict::Unknown {
            Error::SubmitUnknown { source: Box::new(error), id: id.to_owned() }
        } else {
            Error::Call(error)
        }
    })
}

/// A job that has ended.
#[derive(Clone, Debug)]
struct Watched {
    status: border::JobStatus,
    end: JobOutcome,
}

/// Looks at a job until it has ended, through times in which no entry VM can tell.
async fn watch(client: &Client, mut status: border::JobStatus) -> Result<Watched, Error> {
    let mut failures = 0;
    loop {
        if let Some(end) = JobOutcome::from_status(&status) {
            return Ok(Watched { status, end });
        }
        sleep(WATCH_PAUSE).await;
        match jobs::read(client, &status.id).await {
            Ok(later) => {
                status = later;
                failures = 0;
            }
            Err(source) if failures >= MAX_FAILURES => {
                return Err(Error::JobOutcomeUnknown { source: Box::new(source), id: status.id });
            }
            Err(_) => failures += 1,
        }
    }
}

/// Tries one zone after another, as long as each certainly refused the job.
async fn put_anywhere(
    client: &Client,
    id: &str,
    mut spec: border::JobSpec,
) -> Result<border::JobStatus, Error> {
    let mut last = Error::NoZone;
    for zone in zones(client).await? {
        spec.zone = Some(zone);
        last = match put(client, id, &spec).await {
            Err(Error::Call(error @ CallError::Problem { .. })) => Error::Call(error),
            result => return result,
        };
    }
    Err(last)
}

/// Zones whose shard has an owner, that of the entry VM first.
async fn zones(client: &Client) -> Result<Vec<String>, Error> {
    let status: border::Status = client.read("/v1/status").await?;
    let owned = status.shards.into_iter().filter(|shard| shard.owner.is_some());
    let mut zones: Vec<String> = owned.map(|shard| shard.shard).collect();
    zones.sort_by_key(|zone| *zone != status.zone);
    Ok(zones)
}
