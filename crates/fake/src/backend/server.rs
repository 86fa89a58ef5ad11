//! One backend server over HTTP.

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
use crate::backend::faults::Mishap;
use crate::backend::record::Record;
use crate::backend::timing::ServiceTime;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Hangup;
use crate::http::json;
use crate::http::read;
use crate::http::status;
use model::RequestId;

/// Names the request.
pub const REQUEST_HEADER: &str = "basilrack-request";
/// Numbers the attempt.
pub const ATTEMPT_HEADER: &str = "basilrack-attempt";
/// Says what became of the request.
pub const VERDICT_HEADER: &str = "basilrack-verdict";

/// Answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The request that it answers.
    pub request: String,
    /// Digest of the request's id and body.
    pub digest: String,
}

impl Answer {
    /// The answer that a request must get.
    pub fn to(request: &str, body: &[u8]) -> Answer {
        let digest = format!("{:016x}", digest(request, body));
        Answer { request: request.to_owned(), digest }
    }
}

/// Digest of a request's id and body.
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
        self.record().start(id);
        if !time.is_zero() {
            sleep(time).await;
        }
        self.record().finish();
        drop(slot);
    }
}

#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) shared: Arc<Shared>,
}

/// What is decided about a request when it arrives.
struct Plan {
    id: RequestId,
    time: Duration,
    mishap: Option<Mishap>,
    late_by: Duration,
}

impl Handler for Server {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
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

    async fn run(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let taken = self.shared.record().arrive();
        let Some(plan) = self.plan(&request) else {
            return Ok(not_run(StatusCode::BAD_REQUEST));
        };
        if plan.mishap == Some(Mishap::BeforeRead) {
            return Err(Hangup);
        }
        let body = read(request.into_body()).await?;
        if plan.mishap == Some(Mishap::AfterRead) {
            return Err(Hangup);
        }
        if !taken {
            return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let run = tokio::spawn(self.shared.clone().run(plan.id, plan.time));
        run.await.map_err(|_| Hangup)?;
        self.finish(&plan, &body).await
    }

    async fn finish(&self, plan: &Plan, body: &[u8]) -> Result<Response<Body>, Hangup> {
        let answer = Answer::to(&plan.id.to_string(), body);
        match plan.mishap {
            Some(Mishap::AfterRun) => return Err(Hangup),
            Some(Mishap::MidAnswer) => return Ok(cut(&answer)),
            Some(Mishap::Silent) => std::future::pending().await,
            Some(Mishap::Late) => sleep(plan.late_by).await,
            Some(Mishap::Fail) => return Ok(status(StatusCode::INTERNAL_SERVER_ERROR)),
            Some(Mishap::BeforeRead | Mishap::AfterRead) | None => {}
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
            mishap: faults.draw(&mut rng),
            late_by: faults.late_by,
        })
    }
}

fn not_run(code: StatusCode) -> Response<Body> {
    let mut response = status(code);
    response.headers_mut().insert(VERDICT_HEADER, HeaderValue::from_static("not_run"));
    response
}

/// The first half of an answer.
fn cut(answer: &Answer) -> Response<Body> {
    let whole = serde_json::to_vec(answer).expect("answers of stand-ins are valid json");
    let length = whole.len() as u64;
    let part = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    Response::new(Body::Cut { part, length })
}
