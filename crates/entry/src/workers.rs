//! Client for the platform's workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Uri;
use log::debug;
use serde::Serialize;
use serde::de::DeserializeOwned;

use gang::Action;
use gang::Attempt;
use gang::Event;
use gang::JobSpec;
use gang::LeaseRef;
use gang::LeaseReport;
use gang::TaskRange;
use gang::TaskReport;
use gang::TaskStatus;
use gang::WorkerAnswer;
use gang::WorkerReport;
use model::JobId;
use model::Verdict;
use model::WorkerId;
use net::rest::Rest;
use net::rest::RestError;
use wire::border;

/// Timeout of a call to a worker.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client for the platform's workers.
#[derive(Clone, Debug)]
pub struct Workers {
    rest: Rest,
    addresses: Arc<BTreeMap<WorkerId, String>>,
}

impl Default for Workers {
    fn default() -> Workers {
        let config = net::rest::Config { deadline: CALL_TIMEOUT, ..net::rest::Config::default() };
        Workers { rest: Rest::new(config), addresses: Arc::default() }
    }
}

impl Workers {
    /// Sets the base URL of each worker.
    pub fn set_addresses(&mut self, addresses: BTreeMap<WorkerId, String>) {
        self.addresses = Arc::new(addresses);
    }

    /// Performs an action on a worker and returns the resulting events.
    ///
    /// `spec` is the job whose tasks a start action starts, and `None` for other actions.
    pub async fn perform(&self, action: Action, spec: Option<JobSpec>) -> Vec<Event> {
        match action {
            Action::Lease { worker, job, attempt, accelerators, ttl } => {
                let call = border::LeaseCall {
                    job: job.to_string(),
                    attempt: attempt.0,
                    accelerators,
                    ttl_ms: millis(ttl),
                };
                let answer: Result<border::LeaseAnswer, _> =
                    self.post(&worker, "/lease", &call).await;
                let result = answer.map(|answer| answer.granted);
                vec![Event::Leased { worker, job, attempt, result: lease_answer(result) }]
            }
            Action::Start { worker, job, attempt, tasks, ttl } => {
                let call = start_call(job, attempt, tasks, ttl, spec.as_ref());
                let answer: Result<border::StartAnswer, _> =
                    self.post(&worker, "/start", &call).await;
                let result = start_answer(answer);
                vec![Event::Started { worker, job, attempt, result }]
            }
            Action::Renew { worker, leases, ttl } => vec![self.renew(worker, &leases, ttl).await],
            Action::Release { worker, job, attempt } => {
                self.post_unconfirmed(&worker, "/release", &lease_key(job, attempt)).await;
                vec![self.fetch_report(worker).await]
            }
            Action::Stop { worker, job, attempt } => self.stop(worker, job, attempt).await,
            Action::Checkpoint { worker, job, attempt } => {
                self.post_task_action(&worker, job, attempt, border::TaskAction::Checkpoint).await;
                vec![self.fetch_report(worker).await]
            }
            Action::Throttle { worker, job, attempt, task, millicores } => {
                let call = border::TaskCall {
                    index: Some(task),
                    millicores: Some(millicores),
                    ..task_call(job, attempt, border::TaskAction::Throttle)
                };
                self.post_unconfirmed(&worker, "/task", &call).await;
                Vec::new()
            }
            Action::Write { .. } | Action::Read { .. } | Action::Reply { .. } => Vec::new(),
        }
    }

    async fn renew(&self, worker: WorkerId, leases: &[LeaseRef], ttl: Duration) -> Event {
        if !leases.is_empty() {
            let leases = leases.iter().map(|lease| lease_key(lease.job, lease.attempt)).collect();
            let call = border::RenewCall { leases, ttl_ms: millis(ttl) };
            let answer: Result<border::RenewAnswer, _> = self.post(&worker, "/renew", &call).await;
            if answer.is_err() {
                return Event::WorkerSilent { worker };
            }
        }
        self.fetch_report(worker).await
    }

    /// Stops the tasks of a lease and releases it.
    ///
    /// Returns a report before the release, which shows how tasks ended that were done before the
    /// stop, and one after it, which confirms that the lease is gone.
    async fn stop(&self, worker: WorkerId, job: JobId, attempt: Attempt) -> Vec<Event> {
        self.post_task_action(&worker, job, attempt, border::TaskAction::Stop).await;
        let stopped = self.fetch_report_with(worker.clone(), Some(LeaseRef { job, attempt })).await;
        self.post_unconfirmed(&worker, "/release", &lease_key(job, attempt)).await;
        let released = self.fetch_report(worker).await;
        vec![stopped, released]
    }

    async fn fetch_report(&self, worker: WorkerId) -> Event {
        self.fetch_report_with(worker, None).await
    }

    /// Fetches a report from a worker. If `ended` has been released but its tasks are still listed,
    /// the report includes it as a held lease, so that the shard learns how the tasks ended.
    async fn fetch_report_with(&self, worker: WorkerId, ended: Option<LeaseRef>) -> Event {
        let sent = Instant::now();
        let report: Result<border::WorkerReport, _> = match self.uri(&worker, "/report") {
            Some(uri) => self.rest.get_json(&uri).await,
            None => return Event::WorkerSilent { worker },
        };
        match report {
            Ok(report) => {
                // The worker made the report after the call was sent, so the time since then is an
                // upper bound of the transit time.
                let mut shown = convert_report(&report, sent.elapsed());
                shown.leases.extend(ended.and_then(|lease| ended_lease(&report, lease)));
                Event::Report { worker, report: shown }
            }
            Err(error) => {
                debug!("workers: cannot fetch a report from {worker}: {error}");
                Event::WorkerSilent { worker }
            }
        }
    }

    async fn post_task_action(
        &self,
        worker: &WorkerId,
        job: JobId,
        attempt: Attempt,
        action: border::TaskAction,
    ) {
        self.post_unconfirmed(worker, "/task", &task_call(job, attempt, action)).await;
    }

    /// Posts without using the answer: the shard repeats whatever a later report does not confirm.
    async fn post_unconfirmed<B: Serialize>(&self, worker: &WorkerId, path: &str, body: &B) {
        let answer: Result<serde_json::Value, RestError> = self.post(worker, path, body).await;
        if let Err(error) = answer {
            debug!("workers: call {path} to {worker} failed: {error}");
        }
    }

    async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        worker: &WorkerId,
        path: &str,
        body: &B,
    ) -> Result<A, RestError> {
        let uri = self.uri(worker, path).unwrap_or_default();
        self.rest.post_json(&uri, body).await
    }

    fn uri(&self, worker: &WorkerId, path: &str) -> Option<Uri> {
        let base = self.addresses.get(worker)?;
        format!("{base}{path}").parse().ok()
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn lease_key(job: JobId, attempt: Attempt) -> border::LeaseKey {
    border::LeaseKey { job: job.to_string(), attempt: attempt.0 }
}

fn task_call(job: JobId, attempt: Attempt, action: border::TaskAction) -> border::TaskCall {
    border::TaskCall {
        job: job.to_string(),
        attempt: attempt.0,
        action,
        index: None,
        millicores: None,
    }
}

fn start_call(
    job: JobId,
    attempt: Attempt,
    range: TaskRange,
    ttl: Duration,
    spec: Option<&JobSpec>,
) -> border::StartCall {
    let service = spec.map_or_else(String::new, |spec| spec.service.to_string());
    let declared = spec.map_or(Duration::ZERO, |spec| spec.declared);
    let tasks = (range.first..range.first + range.count).map(|index| border::TaskSpec {
        index,
        service: service.clone(),
        accelerators: Vec::new(),
        millicores: range.millicores,
        memory_mib: range.memory_mib,
        declared_ms: millis(declared),
    });
    border::StartCall {
        job: job.to_string(),
        attempt: attempt.0,
        tasks: tasks.collect(),
        ttl_ms: millis(ttl),
    }
}

fn lease_answer(answer: Result<bool, RestError>) -> WorkerAnswer {
    match answer {
        Ok(true) => WorkerAnswer::Granted,
        Ok(false) => WorkerAnswer::Refused,
        Err(error) if error.verdict() == Verdict::NotRun => WorkerAnswer::Refused,
        Err(_) => WorkerAnswer::Unknown,
    }
}

fn start_answer(answer: Result<border::StartAnswer, RestError>) -> WorkerAnswer {
    match answer {
        Ok(answer) if answer.started => WorkerAnswer::Granted,
        Ok(answer) if answer.reason.contains("lease") => WorkerAnswer::Refused,
        Ok(_) => WorkerAnswer::Failed,
        Err(error) if error.verdict() == Verdict::NotRun => WorkerAnswer::Refused,
        Err(_) => WorkerAnswer::Unknown,
    }
}

fn convert_report(report: &border::WorkerReport, transit: Duration) -> WorkerReport {
    let leases = report.leases.iter().filter_map(|lease| {
        let key = LeaseRef { job: lease.job.parse().ok()?, attempt: Attempt(lease.attempt) };
        Some(LeaseReport { accelerators: lease.accelerators.clone(), ..lease_report(report, key) })
    });
    let age = Duration::from_millis(report.lag_ms) + transit;
    WorkerReport { age, leases: leases.collect() }
}

/// Report of a lease that the worker no longer holds; `None` if it still holds the lease or lists
/// no tasks of it.
fn ended_lease(report: &border::WorkerReport, key: LeaseRef) -> Option<LeaseReport> {
    let job = key.job.to_string();
    let held = report.leases.iter().any(|l| l.job == job && l.attempt == key.attempt.0);
    let ended = lease_report(report, key);
    (!held && !ended.tasks.is_empty()).then_some(ended)
}

/// Extracts the tasks of one lease from a report, without its accelerators.
fn lease_report(report: &border::WorkerReport, key: LeaseRef) -> LeaseReport {
    let job = key.job.to_string();
    let own = report.tasks.iter().filter(|t| t.job == job && t.attempt == key.attempt.0);
    let unsaved = own.clone().map(|t| t.ran_ms.saturating_sub(t.checkpoint_ms)).max();
    let saved = own.clone().any(|task| task.checkpoint_ms > 0);
    LeaseReport {
        job: key.job,
        attempt: key.attempt,
        accelerators: Vec::new(),
        tasks: own.map(task_report).collect(),
        checkpoint: unsaved.filter(|_| saved).map(Duration::from_millis),
    }
}

fn task_report(task: &border::TaskReport) -> TaskReport {
    TaskReport {
        index: task.index,
        status: match task.state {
            border::TaskState::Running => TaskStatus::Running,
            border::TaskState::Succeeded => TaskStatus::Done,
            border::TaskState::Failed | border::TaskState::Stopped => TaskStatus::Failed,
            border::TaskState::Overrun => TaskStatus::Overrun,
        },
        millicores: task.millicores,
        memory_mib: task.memory_mib,
        exit: task.exit,
    }
}
