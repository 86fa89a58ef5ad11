//! Handlers of jobs.

use std::time::Duration;

use xitca_web::WebContext;
use xitca_web::http::WebResponse;

use crate::jobs::Answer;
use crate::jobs::Call;
use crate::web::SharedState;
use crate::web::body;
use crate::web::problem;
use crate::web::problem::Fault;
use crate::web::problem::Refusal;
use crate::web::problem::border_verdict;
use gang::JobSpec;
use gang::JobState;
use model::Adjacency;
use model::GangShape;
use model::JobId;
use model::Priority;
use model::ShardId;
use model::Verdict;
use wire::border;

/// `POST /v1/jobs`: submits a job under a new id.
///
/// Picks an availability zone if the job names none. A caller that may have to retry a submission
/// uses [`put_job`], which requires the zone so that a retry reaches the same shard.
pub async fn post_job(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let spec: border::JobSpec = body::json(ctx).await?;
    let state = ctx.state();
    let id = issue_id(ctx).await?;
    let shards = match &spec.zone {
        Some(zone) => vec![ShardId::new(zone)],
        None => state.directory.candidate_shards(&state.me.zone),
    };
    let mut last_refusal = Refusal::new(Fault::Unavailable, "no placement shard has an owner");
    for shard in shards {
        match submit(ctx, id, &shard, &spec).await {
            Ok(response) => return Ok(response),
            Err(refusal) if refusal.verdict == Verdict::NotRun => last_refusal = refusal,
            Err(refusal) => return Err(refusal),
        }
    }
    Err(last_refusal)
}

/// `PUT /v1/jobs/{id}`: submits a job under an id; can be retried.
pub async fn put_job(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let id = job_id(ctx)?;
    let spec: border::JobSpec = body::json(ctx).await.map_err(Refusal::with_unknown_verdict)?;
    let Some(zone) = &spec.zone else {
        let detail = "a job submitted under an id must name its availability zone";
        return Err(Refusal::new(Fault::BadBody, detail).with_unknown_verdict());
    };
    submit(ctx, id, &ShardId::new(zone), &spec).await
}

/// `GET /v1/jobs/{id}`: returns the status of a job.
pub async fn get_job(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let id = job_id(ctx)?;
    let lookup = ctx.state().directory.find_job(|| Call::Query { job: id }).await;
    match lookup.answer {
        Answer::Status { state, verdict, reason } => {
            let mut status = job_status(id, state, verdict, reason, lookup.shard.as_ref());
            // The reason of a queued job says what it waits for.
            let queued = status.state == JobState::Queued.as_ref();
            status.waits = queued.then(|| status.reason.clone());
            Ok(problem::json(200, &status))
        }
        other => Err(refusal(other)),
    }
}

/// `DELETE /v1/jobs/{id}`: cancels a job.
pub async fn delete_job(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let id = job_id(ctx)?;
    let lookup = ctx.state().directory.find_job(|| Call::Cancel { job: id }).await;
    let shard = lookup.shard.as_ref();
    match lookup.answer {
        Answer::Accepted { durable } => {
            let reason = if durable { "cancellation stored" } else { "cancellation not stored" };
            let status = job_status(id, "cancelling".to_owned(), None, reason.to_owned(), shard);
            Ok(problem::json(202, &status))
        }
        Answer::Status { state, verdict, reason } => {
            Ok(problem::json(200, &job_status(id, state, verdict, reason, shard)))
        }
        other => Err(refusal(other)),
    }
}

async fn issue_id(ctx: &WebContext<'_, SharedState>) -> Result<JobId, Refusal> {
    let ids = ctx.state().requests.ids(1).await;
    let id = ids.ok().and_then(|ids| ids.first().copied());
    let id = id.ok_or_else(|| {
        Refusal::new(Fault::Busy, "no job id can be issued at the moment; try again later")
    })?;
    Ok(JobId { home: id.home, sequence: id.sequence })
}

fn job_id(ctx: &WebContext<'_, SharedState>) -> Result<JobId, Refusal> {
    body::param(ctx, "id")
        .parse()
        .map_err(|error| Refusal::new(Fault::BadId, format!("job id: {error}")))
}

async fn submit(
    ctx: &WebContext<'_, SharedState>,
    id: JobId,
    shard: &ShardId,
    spec: &border::JobSpec,
) -> Result<WebResponse, Refusal> {
    let job = Box::new(job_spec(id, spec));
    let call = Call::Submit { job, durable: !spec.volatile };
    match ctx.state().directory.call(shard, call).await {
        Answer::Accepted { durable } => {
            let reason = if durable { "stored" } else { "accepted without being stored" };
            let status = job_status(id, "queued".to_owned(), None, reason.to_owned(), Some(shard));
            Ok(problem::json(202, &status))
        }
        Answer::Status { state, verdict, reason } => {
            Ok(problem::json(200, &job_status(id, state, verdict, reason, Some(shard))))
        }
        other => Err(refusal(other)),
    }
}

fn refusal(answer: Answer) -> Refusal {
    match answer {
        Answer::Refused { verdict, reason } => {
            let fault = match verdict {
                Verdict::Unknown => Fault::Unavailable,
                Verdict::NotRun | Verdict::Ran => Fault::Refused,
            };
            Refusal { fault, detail: reason, verdict }
        }
        other => {
            Refusal::unknown(Fault::Internal, format!("unexpected answer of the shard: {other:?}"))
        }
    }
}

fn job_spec(id: JobId, spec: &border::JobSpec) -> JobSpec {
    JobSpec {
        id,
        account: spec.account.as_str().into(),
        service: spec.service.as_str().into(),
        shape: GangShape {
            tasks: spec.shape.tasks,
            accelerators: spec.shape.accelerators,
            millicores: spec.shape.millicores,
            memory_mib: spec.shape.memory_mib,
            adjacency: match spec.shape.adjacency {
                border::Adjacency::Worker => Adjacency::Worker,
                border::Adjacency::Rack => Adjacency::Rack,
                border::Adjacency::Racks => Adjacency::Racks,
                border::Adjacency::Zone => Adjacency::Zone,
            },
        },
        priority: match spec.priority {
            border::Priority::Urgent => Priority::Urgent,
            border::Priority::Normal => Priority::Normal,
            border::Priority::Spare => Priority::Spare,
        },
        idempotent: spec.idempotent,
        checkpoint: spec.checkpoint,
        declared: Duration::from_millis(spec.declared_ms),
    }
}

fn job_status(
    id: JobId,
    state: String,
    verdict: Option<Verdict>,
    reason: String,
    shard: Option<&ShardId>,
) -> border::JobStatus {
    border::JobStatus {
        id: id.to_string(),
        state,
        verdict: border_verdict(verdict.unwrap_or(Verdict::Unknown)),
        final_: verdict.is_some(),
        reason,
        waits: None,
        shard: shard.map(ShardId::to_string),
    }
}
