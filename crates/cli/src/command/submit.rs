//! `basilrack jobs submit`: submits a job.
//!
//! The job id is reserved first and the job is submitted under it with PUT, so that a submission
//! whose response is lost can be repeated without starting a second job.

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

/// Interval between two reads of the job's status.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive reads that may fail.
const MAX_POLL_FAILURES: u32 = 40;

/// Submits a job, and waits until it has ended if `--wait` is given.
///
/// # Errors
///
/// The job is refused, it is unknown whether it was accepted, or its state can no longer be read.
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
        Some(_) => put_job(client, &id, &spec).await?,
        None => put_in_any_zone(client, &id, spec).await?,
    };
    if !options.wait {
        jobs::print(&status, options.format, output)?;
        return Ok(Status::Success);
    }
    eprintln!("basilrack: job {id} is {}", status.state);
    let ended = wait_for_end(client, status).await?;
    jobs::print(&ended.status, options.format, output)?;
    Ok(ended.outcome.status())
}

async fn put_job(
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
struct EndedJob {
    status: border::JobStatus,
    outcome: JobOutcome,
}

/// Polls a job until it has ended, and tolerates up to [`MAX_POLL_FAILURES`] failures in a row.
async fn wait_for_end(client: &Client, mut status: border::JobStatus) -> Result<EndedJob, Error> {
    let mut failures = 0;
    loop {
        if let Some(outcome) = JobOutcome::from_status(&status) {
            return Ok(EndedJob { status, outcome });
        }
        sleep(POLL_INTERVAL).await;
        match jobs::read(client, &status.id).await {
            Ok(latest) => {
                status = latest;
                failures = 0;
            }
            Err(source) if failures >= MAX_POLL_FAILURES => {
                return Err(Error::JobOutcomeUnknown { source: Box::new(source), id: status.id });
            }
            Err(_) => failures += 1,
        }
    }
}

/// Tries one zone after another, as long as each definitely refused the job.
async fn put_in_any_zone(
    client: &Client,
    id: &str,
    mut spec: border::JobSpec,
) -> Result<border::JobStatus, Error> {
    let mut last = Error::NoZone;
    for zone in candidate_zones(client).await? {
        spec.zone = Some(zone);
        last = match put_job(client, id, &spec).await {
            Err(Error::Call(error @ CallError::Problem { .. })) => Error::Call(error),
            result => return result,
        };
    }
    Err(last)
}

/// Zones whose shard has an owner, with the zone of the entry VM first.
async fn candidate_zones(client: &Client) -> Result<Vec<String>, Error> {
    let status: border::Status = client.read("/v1/status").await?;
    let owned = status.shards.into_iter().filter(|shard| shard.owner.is_some());
    let mut zones: Vec<String> = owned.map(|shard| shard.shard).collect();
    zones.sort_by_key(|zone| *zone != status.zone);
    Ok(zones)
}
