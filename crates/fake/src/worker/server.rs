//! HTTP interface of the worker fleet.

use std::collections::BTreeMap;
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
use serde::Deserialize;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::http::Body;
use crate::http::CloseConnection;
use crate::http::Handler;
use crate::http::json;
use crate::http::read;
use crate::http::status;
use crate::worker::machine::AttemptKey;
use crate::worker::machine::Machine;
use model::JobId;
use model::Time;
use wire::border::LeaseCall;
use wire::border::LeaseKey;
use wire::border::RenewCall;
use wire::border::StartCall;
use wire::border::TaskAction;
use wire::border::TaskCall;

/// Checkpointed work, by job and task index.
type Checkpoints = BTreeMap<JobId, BTreeMap<u32, Duration>>;

/// Workers by name, and the checkpoints, which survive the failure of a worker.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) workers: BTreeMap<String, Mutex<Machine>>,
    checkpoints: Mutex<Checkpoints>,
    origin: Instant,
}

impl Shared {
    pub(crate) fn new(workers: BTreeMap<String, Mutex<Machine>>) -> Shared {
        Shared { workers, checkpoints: Mutex::new(Checkpoints::new()), origin: Instant::now() }
    }

    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Server {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().strip_prefix("/w/").and_then(|path| path.split_once('/'));
        let Some((name, action)) = path else { return Ok(status(StatusCode::NOT_FOUND)) };
        let Some(worker) = self.shared.workers.get(name) else {
            return Ok(status(StatusCode::NOT_FOUND));
        };
        let body = read(body).await?;
        self.apply_delay_faults(worker).await?;
        let answer = match (&parts.method, action) {
            (&Method::GET, "report") => self.report(worker)?,
            (&Method::POST, action) => self.dispatch(worker, action, &body)?,
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        };
        let mut machine = lock(worker);
        let answer_loss_share = machine.faults.lose_answer;
        if machine.chance(answer_loss_share) { Err(CloseConnection) } else { Ok(answer) }
    }
}

impl Server {
    /// Applies the delay and silence faults of a worker.
    async fn apply_delay_faults(&self, worker: &Mutex<Machine>) -> Result<(), CloseConnection> {
        let (delay, silent) = {
            let machine = lock_alive(worker)?;
            (machine.faults.delay, machine.faults.silent)
        };
        if silent {
            std::future::pending::<()>().await;
        }
        if !delay.is_zero() {
            sleep(delay).await;
        }
        Ok(())
    }

    fn report(&self, worker: &Mutex<Machine>) -> Result<Response<Body>, CloseConnection> {
        let now = self.shared.now();
        Ok(json(StatusCode::OK, &lock_alive(worker)?.report(now)))
    }

    fn dispatch(
        &self,
        worker: &Mutex<Machine>,
        action: &str,
        body: &Bytes,
    ) -> Result<Response<Body>, CloseConnection> {
        let mut machine = lock_alive(worker)?;
        let answer = match action {
            "lease" => self.lease(&mut machine, body),
            "renew" => self.renew(&mut machine, body),
            "release" => self.release(&mut machine, body),
            "start" => self.start(&mut machine, body),
            "task" => self.task(&mut machine, body),
            _ => return Ok(status(StatusCode::NOT_FOUND)),
        };
        Ok(answer.unwrap_or_else(|| status(StatusCode::BAD_REQUEST)))
    }

    fn lease(&self, machine: &mut Machine, body: &[u8]) -> Option<Response<Body>> {
        let call: LeaseCall = parse(body)?;
        let key = attempt_key(&call.job, call.attempt)?;
        Some(json(StatusCode::OK, &machine.lease(self.shared.now(), key, &call)))
    }

    fn renew(&self, machine: &mut Machine, body: &[u8]) -> Option<Response<Body>> {
        let call: RenewCall = parse(body)?;
        let keys = call.leases.iter().map(|lease| attempt_key(&lease.job, lease.attempt));
        let keys = keys.collect::<Option<Vec<_>>>()?;
        Some(json(StatusCode::OK, &machine.renew(self.shared.now(), &keys, &call)))
    }

    fn release(&self, machine: &mut Machine, body: &[u8]) -> Option<Response<Body>> {
        let call: LeaseKey = parse(body)?;
        let key = attempt_key(&call.job, call.attempt)?;
        Some(json(StatusCode::OK, &machine.release(self.shared.now(), key)))
    }

    fn start(&self, machine: &mut Machine, body: &[u8]) -> Option<Response<Body>> {
        let call: StartCall = parse(body)?;
        let key = attempt_key(&call.job, call.attempt)?;
        let checkpoints = lock(&self.shared.checkpoints).get(&key.job).cloned().unwrap_or_default();
        Some(json(StatusCode::OK, &machine.start(self.shared.now(), key, call, &checkpoints)))
    }

    fn task(&self, machine: &mut Machine, body: &[u8]) -> Option<Response<Body>> {
        let call: TaskCall = parse(body)?;
        let key = attempt_key(&call.job, call.attempt)?;
        let answer = machine.apply_task_action(self.shared.now(), key, &call);
        if call.action == TaskAction::Checkpoint {
            let checkpoints = machine.checkpoints(key);
            lock(&self.shared.checkpoints).entry(key.job).or_default().extend(checkpoints);
        }
        Some(json(StatusCode::OK, &answer))
    }
}

/// Locks a worker; fails if it is dead, so that the connection is closed.
fn lock_alive(worker: &Mutex<Machine>) -> Result<MutexGuard<'_, Machine>, CloseConnection> {
    let machine = lock(worker);
    if machine.is_dead() { Err(CloseConnection) } else { Ok(machine) }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn attempt_key(job: &str, attempt: u64) -> Option<AttemptKey> {
    Some(AttemptKey { job: job.parse().ok()?, attempt })
}
