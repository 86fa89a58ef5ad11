//! HTTP interface of a backend server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use xxhash_rust::xxh3::Xxh3;

use crate::backend::faults::BackendFaults;
use crate::backend::faults::RequestFault;
use crate::backend::record::Record;
use crate::backend::timing::ServiceTime;
use crate::http::Body;
use crate::http::CloseConnection;
use crate::http::Handler;
use crate::http::json;
use crate::http::read;
use crate::http::status;
use model::RequestId;

/// Header with the id of the request.
pub const REQUEST_HEADER: &str = "basilrack-request";
/// Header with the number of the attempt.
pub const ATTEMPT_HEADER: &str = "basilrack-attempt";
/// Header that tells whether the request was executed; `not_run` if it was not.
pub const VERDICT_HEADER: &str = "basilrack-verdict";

/// Body of a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the answered request.
    pub request: String,
    /// Digest of request id and body, in 16 hexadecimal digits.
    pub digest: String,
}

impl Answer {
    /// Returns the expected answer to a request.
    pub fn to(request: &str, body: &[u8]) -> Answer {
        let digest = format!("{:016x}", digest(request, body));
        Answer { request: request.to_owned(), digest }
    }
}

/// Computes the digest of a request's id and body.
pub fn digest(request: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.as_bytes());
    hash.update(b"\n");
    hash.update(body);
    hash.digest()
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) record: Mutex<Record>,
    pub(crate) faults: Mutex<BackendFaults>,
    pub(crate) time: Mutex<ServiceTime>,
    pub(crate) slots: Semaphore,
    pub(crate) seed: u64,
}

impl Shared {
    pub(crate) fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn faults(&self) -> MutexGuard<'_, BackendFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn time(&self) -> MutexGuard<'_, ServiceTime> {
        self.time.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self: Arc<Shared>, id: RequestId, time: Duration) {
        let slot = match self.slots.try_acquire() {
            Ok(slot) => slot,
            Err(_) => {
                self.record().counts.waited += 1;
                let Ok(slot) = self.slots.acquire().await else { return };
                slot
            }
        };
        self.record().record_start(id);
        if !time.is_zero() {
            sleep(time).await;
        }
        self.record().record_finish();
        drop(slot);
    }
}

#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) shared: Arc<Shared>,
}

/// Service time and fault of a request, drawn when it arrives.
struct Plan {
    id: RequestId,
    time: Duration,
    fault: Option<RequestFault>,
    late_by: Duration,
}

impl Handler for Server {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/run") => self.run(request).await,
            (&Method::GET, "/ready") => Ok(self.ready()),
            _ => Ok(status(StatusCode::NOT_FOUND)),
        }
    }
}

impl Server {
    fn ready(&self) -> Response<Body> {
        let leaving = self.shared.record().is_leaving();
        status(if leaving { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK })
    }

    async fn run(&self, request: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
        let accepted = self.shared.record().record_arrival();
        let Some(plan) = self.plan(&request) else {
            return Ok(not_run_response(StatusCode::BAD_REQUEST));
        };
        if plan.fault == Some(RequestFault::BeforeRead) {
            return Err(CloseConnection);
        }
        let body = read(request.into_body()).await?;
        if plan.fault == Some(RequestFault::AfterRead) {
            return Err(CloseConnection);
        }
        if !accepted {
            return Ok(not_run_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        let run = tokio::spawn(self.shared.clone().run(plan.id, plan.time));
        run.await.map_err(|_| CloseConnection)?;
        self.finish(&plan, &body).await
    }

    async fn finish(&self, plan: &Plan, body: &[u8]) -> Result<Response<Body>, CloseConnection> {
        let answer = Answer::to(&plan.id.to_string(), body);
        match plan.fault {
            Some(RequestFault::AfterRun) => return Err(CloseConnection),
            Some(RequestFault::MidAnswer) => return Ok(truncated_response(&answer)),
            Some(RequestFault::Silent) => std::future::pending().await,
            Some(RequestFault::Late) => sleep(plan.late_by).await,
            Some(RequestFault::Fail) => return Ok(status(StatusCode::INTERNAL_SERVER_ERROR)),
            Some(RequestFault::BeforeRead | RequestFault::AfterRead) | None => {}
        }
        Ok(json(StatusCode::OK, &answer))
    }

    fn plan(&self, request: &Request<Incoming>) -> Option<Plan> {
        let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
        let id = header(REQUEST_HEADER)?;
        let attempt = header(ATTEMPT_HEADER).unwrap_or("");
        let seed = digest(id, attempt.as_bytes()) ^ self.shared.seed;
        let mut rng = SmallRng::seed_from_u64(seed);
        let time = self.shared.time().draw(&mut rng);
        let faults = self.shared.faults();
        Some(Plan {
            id: id.parse().ok()?,
            time: time.mul_f64(faults.slowdown),
            fault: faults.draw(&mut rng),
            late_by: faults.late_by,
        })
    }
}

fn not_run_response(code: StatusCode) -> Response<Body> {
    let mut response = status(code);
    response.headers_mut().insert(VERDICT_HEADER, HeaderValue::from_static("not_run"));
    response
}

/// Builds a response that breaks off after the first half of its body.
fn truncated_response(answer: &Answer) -> Response<Body> {
    let whole = serde_json::to_vec(answer).expect("answers can be serialized as JSON");
    let length = whole.len() as u64;
    let part = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    Response::new(Body::Cut { part, length })
}
