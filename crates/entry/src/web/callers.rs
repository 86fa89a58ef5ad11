//! Handlers of requests and request ids.

use std::time::Duration;

use xitca_web::WebContext;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::http::header::HeaderValue;

use crate::requests::NewRequest;
use crate::requests::RouterUnavailable;
use crate::web::SharedState;
use crate::web::WebState;
use crate::web::body;
use crate::web::problem;
use crate::web::problem::Fault;
use crate::web::problem::Refusal;
use crate::web::problem::border_verdict;
use crate::web::problem::millis;
use model::AccountId;
use model::RequestId;
use model::ServiceId;
use model::Time;
use model::Verdict;
use route::Answer;
use route::Reason;
use wire::border;

/// Header with the client account of a request.
const ACCOUNT_HEADER: &str = "basilrack-account";
/// Header with the service of a request.
const SERVICE_HEADER: &str = "basilrack-service";
/// Header with the deadline of a request: the time until the caller gives up, in milliseconds.
const DEADLINE: &str = "basilrack-deadline-ms";
/// Maximum number of ids issued by one call.
const MAX_IDS: u32 = 10_000;
/// Maximum deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// `POST /v1/ids?count=n`: issues request ids, one by default.
pub async fn ids(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let count = match body::query(ctx, "count") {
        None => 1,
        Some(count) => {
            count.parse().ok().filter(|count| (1..=MAX_IDS).contains(count)).ok_or_else(|| {
                Refusal::new(Fault::BadId, format!("count must be a number from 1 to {MAX_IDS}"))
            })?
        }
    };
    let ids = ctx.state().requests.ids(count).await.map_err(router_unavailable)?;
    let ids = ids.iter().map(RequestId::to_string).collect();
    Ok(problem::json(200, &border::Ids { ids }))
}

/// `PUT /v1/requests/{id}`: runs a request under an id, or waits for its answer.
pub async fn put_request(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let id = request_id(ctx)?;
    let service =
        body::required(ctx, SERVICE_HEADER).map_err(Refusal::with_unknown_verdict)?.into();
    run_with_id(ctx, id, service).await.map_err(Refusal::with_unknown_verdict)
}

async fn run_with_id(
    ctx: &WebContext<'_, SharedState>,
    id: RequestId,
    service: ServiceId,
) -> Result<WebResponse, Refusal> {
    let request = read_request(ctx, service).await?;
    let state = ctx.state();
    let timer = AnswerTimer::new(state, &request);
    let answer = state.requests.call(request.with_id(id)).await.map_err(router_unavailable)?;
    Ok(timer.respond(state, &answer))
}

/// `POST /v1/services/{service}`: runs a request under a new id.
pub async fn post_service(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let request = read_request(ctx, body::param(ctx, "service").into()).await?;
    let state = ctx.state();
    let timer = AnswerTimer::new(state, &request);
    let answer = state.requests.call_new(request).await.map_err(router_unavailable)?;
    Ok(timer.respond(state, &answer))
}

/// `GET /v1/requests/{id}`: looks up the verdict on a request.
pub async fn get_request(ctx: &WebContext<'_, SharedState>) -> Result<WebResponse, Refusal> {
    let id = request_id(ctx)?;
    let answer = ctx.state().requests.query(id).await.map_err(router_unavailable)?;
    let status = border::RequestStatus {
        id: id.to_string(),
        verdict: border_verdict(answer.verdict),
        final_: answer.last,
        reason: answer.reason.to_string(),
        status: (answer.reason == Reason::Answered).then_some(answer.status),
    };
    Ok(problem::json(200, &status))
}

/// Reads the client account, deadline and body of a request.
async fn read_request(
    ctx: &WebContext<'_, SharedState>,
    service: ServiceId,
) -> Result<NewRequest, Refusal> {
    let account = body::required(ctx, ACCOUNT_HEADER)?.into();
    let deadline = read_deadline(ctx, &service)?;
    let body = body::read(ctx).await?;
    Ok(NewRequest { service, account, deadline, body })
}

/// Receipt time and labels of a request, for counting its answer.
struct AnswerTimer {
    service: ServiceId,
    account: AccountId,
    received: Time,
}

impl AnswerTimer {
    fn new(state: &WebState, request: &NewRequest) -> AnswerTimer {
        let NewRequest { service, account, .. } = request;
        AnswerTimer {
            service: service.clone(),
            account: account.clone(),
            received: state.clock.now(),
        }
    }

    /// Counts the answer and converts it to an HTTP response.
    fn respond(&self, state: &WebState, answer: &Answer) -> WebResponse {
        let took = state.clock.now().since(self.received);
        state.ledger.count_answer(&self.service, &self.account, answer, took);
        respond(answer)
    }
}

fn read_deadline(
    ctx: &WebContext<'_, SharedState>,
    service: &ServiceId,
) -> Result<Duration, Refusal> {
    match body::header(ctx, DEADLINE) {
        None => Ok(ctx.state().view.borrow().deadline(service)),
        Some(text) => text
            .parse()
            .ok()
            .map(Duration::from_millis)
            .filter(|span| !span.is_zero() && *span <= MAX_DEADLINE)
            .ok_or_else(|| {
                let limit = MAX_DEADLINE.as_millis();
                let detail = format!("header {DEADLINE} must be a number from 1 to {limit}");
                Refusal::new(Fault::BadHeader, detail)
            }),
    }
}

fn request_id(ctx: &WebContext<'_, SharedState>) -> Result<RequestId, Refusal> {
    body::param(ctx, "id")
        .parse()
        .map_err(|error| Refusal::new(Fault::BadId, format!("request id: {error}")))
}

fn router_unavailable(error: RouterUnavailable) -> Refusal {
    Refusal { fault: Fault::Busy, detail: error.to_string(), verdict: error.verdict() }
}

/// Converts an answer to an HTTP response: the body of the service, or a problem.
fn respond(answer: &Answer) -> WebResponse {
    if answer.reason != Reason::Answered {
        return problem::respond(&problem_for(answer));
    }
    let mut response = WebResponse::new(answer.body.clone().into());
    *response.status_mut() = problem::status_code(answer.status);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/octet-stream"));
    problem::insert_header(headers, problem::REQUEST, &answer.id.to_string());
    problem::insert_header(headers, problem::VERDICT, answer.verdict.as_ref());
    problem::insert_header(headers, problem::REASON, answer.reason.as_ref());
    response
}

fn problem_for(answer: &Answer) -> border::Problem {
    border::Problem {
        type_: format!("urn:basilrack:problem:{}", answer.reason),
        title: title(answer.verdict).to_owned(),
        status: answer.status,
        detail: detail(answer),
        verdict: border_verdict(answer.verdict),
        final_: answer.last,
        reason: answer.reason.to_string(),
        retry: answer.retry.is_some(),
        retry_after_ms: answer.retry.map(millis),
        request: Some(answer.id.to_string()),
    }
}

fn title(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NotRun => "The request did not run",
        Verdict::Ran => "The request ran",
        Verdict::Unknown => "It is unknown whether the request ran",
    }
}

fn detail(answer: &Answer) -> String {
    let mut detail = match (answer.verdict, answer.last) {
        (Verdict::NotRun, _) => "It did not run and will never run under this id".to_owned(),
        (Verdict::Ran, _) => "It ran; its answer is not available".to_owned(),
        (Verdict::Unknown, true) => {
            "It may have run; its outcome cannot be determined any more".to_owned()
        }
        (Verdict::Unknown, false) => {
            "It may still run or may have run; query it again by its id".to_owned()
        }
    };
    if let Some(backend) = &answer.backend {
        detail.push_str(&format!("; last backend server: {backend}"));
    }
    if let Some(dependency) = &answer.dependency {
        detail.push_str(&format!("; failed dependency: {dependency}"));
    }
    detail
}
