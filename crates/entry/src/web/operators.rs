//! Handlers for operators: health checks, metrics, reports and the configuration.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use xitca_web::WebContext;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::http::header::HeaderValue;

use crate::configuration;
use crate::views;
use crate::web::SharedState;
use crate::web::body;
use crate::web::problem;
use crate::web::problem::Fault;
use crate::web::problem::Refusal;
use fleet::Outcome;
use model::JobId;
use model::RequestId;
use wire::border;

/// `GET /live`: liveness check.
pub async fn live(_ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    Ok(WebResponse::new("live\n".into()))
}

/// `GET /ready`: readiness check of the load balancer; fails while the entry VM is stopping.
pub async fn ready(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    if ctx.state().ready.load(Ordering::Relaxed) {
        Ok(WebResponse::new("ready\n".into()))
    } else {
        Err(Refusal::new(Fault::Draining, "the entry VM is stopping and accepts no new work"))
    }
}

/// `GET /metrics`: metrics in the Prometheus text format.
pub async fn metrics(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let state = ctx.state();
    if let Ok(requests) = state.requests.snapshot().await {
        state.metrics.set_requests(&requests);
    }
    let shards = state.directory.snapshot().await;
    state.metrics.set_shards(shards.values());
    let revision = state.view.borrow().revision.0;
    state.metrics.set_node(revision, state.ready.load(Ordering::Relaxed));
    state.update_counters();
    let mut response = WebResponse::new(state.metrics.render().into());
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

/// `GET /v1/status`: status of the fleet, the shards and the backend servers.
pub async fn status(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let state = ctx.state();
    body::authorize(ctx, state)?;
    let view = state.view.borrow().clone();
    let overview = state.directory.overview().await;
    let requests = state.requests.snapshot().await.unwrap_or_default();
    let mut unknown = view.unknown.clone();
    unknown.extend(overview.unknown);
    let status = border::Status {
        vm: view.me.vm.to_string(),
        incarnation: view.me.incarnation.to_string(),
        zone: view.me.zone.to_string(),
        revision: view.revision.0,
        current: view.current,
        ready: state.ready.load(Ordering::Relaxed),
        store: state.store_status(&view),
        members: view.members.clone(),
        shards: views::all_shards(&view, overview.shards),
        backends: requests.backends.iter().map(|b| views::backend(b, &view)).collect(),
        workers: overview.workers,
        guarantees: overview.guarantees,
        queued: count(requests.queues.iter().map(|queue| queue.waiting).sum()),
        running: count(requests.running),
        unknown,
    };
    Ok(problem::json(200, &status))
}

/// `GET /v1/explain/{id}`: state history of a job or request.
pub async fn explain(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let state = ctx.state();
    body::authorize(ctx, state)?;
    let id: RequestId = body::param(ctx, "id")
        .parse()
        .map_err(|error| Refusal::new(Fault::BadId, format!("request or job id: {error}")))?;
    let job = JobId { home: id.home, sequence: id.sequence };
    if let Some(known) = state.directory.explain(job).await {
        return Ok(problem::json(200, &known));
    }
    let steps = state.requests.explain(id).await.ok().flatten().unwrap_or_default();
    match state.requests.query(id).await {
        Ok(answer) => {
            let known = views::request(&state.clock, &answer, &steps);
            Ok(problem::json(200, &known))
        }
        Err(error) => Err(Refusal::unknown(Fault::Busy, error.to_string())),
    }
}

/// `GET /v1/burn`: burn-rate report.
pub async fn burn(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let state = ctx.state();
    body::authorize(ctx, state)?;
    let (ledger, relay, store) = (state.ledger.clone(), state.relay.clone(), state.store.clone());
    let reporting = state.runtime.spawn(async move { ledger.report(&relay, &store).await });
    match reporting.await {
        Ok(report) => Ok(problem::json(200, &report)),
        Err(error) => Err(Refusal::new(Fault::Internal, error.to_string())),
    }
}

/// `GET /v1/history`: retained revisions of the configuration.
pub async fn history(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let state = ctx.state();
    body::authorize(ctx, state)?;
    let store = state.store.clone();
    let reading = state.runtime.spawn(async move { configuration::history(&store).await });
    match reading.await {
        Ok(Ok(history)) => Ok(problem::json(200, &history)),
        Ok(Err(reason)) => Err(Refusal::new(Fault::Unavailable, reason)),
        Err(error) => Err(Refusal::new(Fault::Internal, error.to_string())),
    }
}

/// `GET /v1/text`: configuration in force.
pub async fn get_text(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let state = ctx.state();
    body::authorize(ctx, state)?;
    let view = state.view.borrow().clone();
    let answer = border::TextAnswer {
        revision: view.revision.0,
        current: view.current,
        text: view.source.to_string(),
    };
    Ok(problem::json(200, &answer))
}

/// `PUT /v1/text`: replaces the configuration; waits for the rollout with `?wait=true`.
pub async fn put_text(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let state = ctx.state();
    body::authorize(ctx, state)?;
    let call: border::ApplyCall = body::json(ctx).await?;
    let wait = body::query(ctx, "wait") == Some("true");
    let store = state.store.clone();
    let view = state.view.clone();
    let members = state.members.clone();
    let at = state.clock.stamp();
    let applying = state.runtime.spawn(async move {
        let outcome = configuration::apply(&store, &call, at).await;
        let revision = match &outcome {
            Outcome::Applied { revision, .. } | Outcome::Unchanged { revision } => *revision,
            _ => return Err(outcome),
        };
        let text = Arc::from(call.text.as_str());
        members.event(fleet::Event::TextSeen { revision, text }).await;
        let answer = border::ApplyAnswer {
            revision: revision.0,
            confirmed: Vec::new(),
            unknown: Vec::new(),
        };
        Ok(if wait { configuration::wait_for_rollout(&view, revision).await } else { answer })
    });
    match applying.await {
        Ok(Ok(answer)) => Ok(problem::json(200, &answer)),
        Ok(Err(outcome)) => Err(refusal(&outcome)),
        Err(error) => Err(Refusal::unknown(Fault::Internal, error.to_string())),
    }
}

fn refusal(outcome: &Outcome) -> Refusal {
    let (fault, detail) = match outcome {
        Outcome::Raced { theirs, .. } => {
            let lines: Vec<String> = theirs.iter().map(ToString::to_string).collect();
            (Fault::Conflict, format!("{outcome}\n{}", lines.join("\n")))
        }
        Outcome::Refused { faults } => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            (Fault::Refused, lines.join("\n"))
        }
        Outcome::Missing { .. } => (Fault::Conflict, outcome.to_string()),
        Outcome::Unreachable | Outcome::Unsettled => (Fault::Unavailable, outcome.to_string()),
        _ => (Fault::Internal, outcome.to_string()),
    };
    Refusal { fault, detail, verdict: outcome.verdict() }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
