//! Sends one attempt of a request to a backend server and classifies its outcome.

use std::net::SocketAddr;

use hyper::http::uri::PathAndQuery;

use crate::requests::AttemptOrder;
use model::Verdict;
use net::pool;
use net::pool::Dispatch;
use net::pool::Outcome;
use net::pool::Pool;
use route::AttemptResult;
use route::Cause;

/// Path at which backend servers accept requests.
const RUN_PATH: &str = "/run";
/// Status with which a backend server refuses a request.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Sends one attempt and waits for its outcome; not sent if the address of the backend is unknown.
pub async fn run(pool: &Pool, address: Option<SocketAddr>, order: &AttemptOrder) -> AttemptResult {
    let Some(address) = address else {
        return AttemptResult::NotSent { cause: Cause::NoConnection };
    };
    let dispatch = Dispatch {
        backend: order.backend.clone(),
        address,
        path: PathAndQuery::from_static(RUN_PATH),
        id: order.id,
        attempt: order.attempt,
        content: None,
        body: order.body.clone(),
        timeout: order.timeout,
        reuse: pool_reuse(order.reuse),
    };
    attempt_result(pool.run(dispatch).await)
}

fn pool_reuse(reuse: route::Reuse) -> pool::Reuse {
    match reuse {
        route::Reuse::Any => pool::Reuse::Any,
        route::Reuse::Proven => pool::Reuse::Proven,
    }
}

/// Converts the outcome of a dispatch to the result that the router expects.
pub fn attempt_result(outcome: Outcome) -> AttemptResult {
    match outcome {
        // The backend server confirms that it did not run the request, so it counts as not sent.
        Outcome::Answered(answer)
            if answer.status == SERVICE_UNAVAILABLE && answer.verdict == Some(Verdict::NotRun) =>
        {
            AttemptResult::NotSent { cause: Cause::Refused }
        }
        Outcome::Answered(answer) => {
            AttemptResult::Answered { status: answer.status, body: answer.body }
        }
        Outcome::NotSent { cause } => AttemptResult::NotSent { cause: convert_cause(&cause) },
        Outcome::Broken { cause } => AttemptResult::Broken { cause: convert_cause(&cause) },
        Outcome::TimedOut { sent } => AttemptResult::TimedOut { sent },
    }
}

fn convert_cause(cause: &pool::Cause) -> Cause {
    match cause {
        pool::Cause::Refused => Cause::Refused,
        pool::Cause::Unreachable { .. } => Cause::ConnectTimeout,
        pool::Cause::Busy { .. } | pool::Cause::Retired => Cause::NoConnection,
        pool::Cause::Closed { .. } => Cause::Closed,
        pool::Cause::Malformed { .. } | pool::Cause::Mismatched { .. } => Cause::Malformed,
        pool::Cause::TooLong { .. } => Cause::TooLarge,
    }
}
