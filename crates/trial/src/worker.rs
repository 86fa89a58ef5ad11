//! Fake worker that grants at most one lease per accelerator and refuses outdated attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::SimEvent;
use crate::World;
use gang::Action;
use gang::Attempt;
use gang::Event;
use gang::LeaseReport;
use gang::TaskReport;
use gang::TaskStatus;
use gang::WorkerAnswer;
use gang::WorkerInfo;
use gang::WorkerReport;
use model::JobId;
use model::Time;
use model::WorkerId;

/// Time that writing a checkpoint takes.
const CHECKPOINT_TIME: Duration = Duration::from_millis(200);

/// Lease of a job on accelerators of a worker.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Attempt of the job.
    pub attempt: Attempt,
    /// Bit mask of the leased accelerators.
    pub accelerator_mask: u64,
    /// Time of its expiry.
    pub expires: Time,
    /// Index of the first task and number of tasks; `None` until they are started.
    pub tasks: Option<(u32, u32)>,
    /// Start time of its tasks; [`Time::NEVER`] until they are started.
    pub started: Time,
    /// Time at which its tasks end; [`Time::NEVER`] until they are started.
    pub ends_at: Time,
    /// Final status of its tasks; `None` until they have ended.
    pub end_status: Option<TaskStatus>,
    /// Time at which the latest checkpoint is or will be complete, if one was requested.
    pub checkpoint: Option<Time>,
}

/// Fake worker.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// Its entry in the VM list.
    pub info: WorkerInfo,
    /// Whether it is missing from the VM list.
    pub unlisted: bool,
    /// Whether it is down. Its tasks are then lost, and it receives no calls and sends no reports.
    pub down: bool,
    /// Whether all tasks that it starts fail.
    pub always_fails: bool,
    /// Leases that it has granted, by job.
    pub leases: BTreeMap<JobId, Lease>,
    /// Highest attempt of each job in a lease, release or stop call; lower ones get no new lease.
    highest_attempts: BTreeMap<JobId, Attempt>,
}

impl FakeWorker {
    /// Creates a worker without leases.
    pub fn new(info: WorkerInfo) -> FakeWorker {
        FakeWorker {
            info,
            unlisted: false,
            down: false,
            always_fails: false,
            leases: BTreeMap::new(),
            highest_attempts: BTreeMap::new(),
        }
    }

    /// Drops the leases that have expired, together with their tasks.
    pub fn expire_leases(&mut self, now: Time) {
        self.leases.retain(|_, lease| lease.expires > now);
    }

    fn acquire_lease(
        &mut self,
        job: JobId,
        attempt: Attempt,
        accelerator_mask: u64,
        expires: Time,
    ) -> WorkerAnswer {
        if self.leases.get(&job).is_some_and(|lease| lease.attempt == attempt) {
            return WorkerAnswer::Granted;
        }
        if self.highest_attempts.get(&job).is_some_and(|highest| attempt <= *highest) {
            return WorkerAnswer::Refused;
        }
        self.highest_attempts.insert(job, attempt);
        self.leases.remove(&job);
        if self.leases.values().any(|lease| lease.accelerator_mask & accelerator_mask != 0) {
            return WorkerAnswer::Refused;
        }
        let lease = Lease {
            attempt,
            accelerator_mask,
            expires,
            tasks: None,
            started: Time::NEVER,
            ends_at: Time::NEVER,
            end_status: None,
            checkpoint: None,
        };
        self.leases.insert(job, lease);
        WorkerAnswer::Granted
    }

    fn release_lease(&mut self, job: JobId, attempt: Attempt) -> Option<Lease> {
        let highest = self.highest_attempts.entry(job).or_default();
        *highest = attempt.max(*highest);
        match self.leases.get(&job).is_some_and(|lease| lease.attempt <= attempt) {
            true => self.leases.remove(&job),
            false => None,
        }
    }

    /// Returns a report of all leases and their tasks.
    pub fn report(&self, now: Time) -> WorkerReport {
        let lease = |(job, lease): (&JobId, &Lease)| LeaseReport {
            job: *job,
            attempt: lease.attempt,
            accelerators: (0..64).filter(|bit| lease.accelerator_mask >> bit & 1 == 1).collect(),
            tasks: lease.task_reports(),
            checkpoint: lease.checkpoint.filter(|at| *at <= now).map(|at| now.since(at)),
        };
        WorkerReport { age: Duration::ZERO, leases: self.leases.iter().map(lease).collect() }
    }
}

impl Lease {
    fn task_reports(&self) -> Vec<TaskReport> {
        let Some((first, count)) = self.tasks else { return Vec::new() };
        let status = self.end_status.unwrap_or(TaskStatus::Running);
        let exit = match status {
            TaskStatus::Done => Some(0),
            TaskStatus::Failed => Some(1),
            _ => None,
        };
        let report = |index| TaskReport { index, status, millicores: 100, memory_mib: 100, exit };
        (first..first + count).map(report).collect()
    }
}

fn accelerator_mask(indexes: &[u8]) -> u64 {
    indexes.iter().fold(0, |mask, index| mask | 1 << index)
}

impl World {
    /// Executes a call of an owner at a worker, unless it is lost, and schedules the answer.
    pub(crate) fn call_worker(&mut self, owner: usize, id: &WorkerId, action: Action) {
        let lost = self.faults.lost_message;
        let arrives = !self.chance(lost) && !self.workers[id].down;
        let answer = if arrives { self.execute_call(id, &action) } else { None };
        let answered = !self.chance(lost);
        match answer.filter(|_| answered) {
            Some(event) => {
                let span = self.random_delay();
                self.schedule_after(span, SimEvent::Deliver { owner, event });
            }
            None => self.report_no_answer(owner, id, &action),
        }
    }

    /// Schedules the event for a call that times out without an answer.
    fn report_no_answer(&mut self, owner: usize, id: &WorkerId, action: &Action) {
        let worker = id.clone();
        let result = WorkerAnswer::Unknown;
        let event = match *action {
            Action::Lease { job, attempt, .. } => Event::Leased { worker, job, attempt, result },
            Action::Start { job, attempt, .. } => Event::Started { worker, job, attempt, result },
            Action::Renew { .. } => Event::WorkerSilent { worker },
            _ => return,
        };
        self.schedule_after(Duration::from_secs(1), SimEvent::Deliver { owner, event });
    }

    fn execute_call(&mut self, id: &WorkerId, action: &Action) -> Option<Event> {
        let now = self.now;
        if !self.checks_disabled {
            self.log(format!("{id} <- {}", summarize(action)));
        }
        let worker = self.workers.get_mut(id)?;
        worker.expire_leases(now);
        let worker_id = id.clone();
        match action {
            Action::Lease { job, attempt, accelerators, ttl, .. } => {
                let result = worker.acquire_lease(
                    *job,
                    *attempt,
                    accelerator_mask(accelerators),
                    now + *ttl,
                );
                self.record_part(*job, *attempt, id);
                Some(Event::Leased { worker: worker_id, job: *job, attempt: *attempt, result })
            }
            Action::Start { job, attempt, tasks, ttl, .. } => {
                let result = self.start_tasks(id, *job, *attempt, (tasks.first, tasks.count), *ttl);
                Some(Event::Started { worker: worker_id, job: *job, attempt: *attempt, result })
            }
            Action::Release { job, attempt, .. } | Action::Stop { job, attempt, .. } => {
                let released = worker.release_lease(*job, *attempt);
                let report = worker.report(now);
                if let Some(lease) = released {
                    self.record_stop(*job, &lease);
                }
                Some(Event::Report { worker: worker_id, report })
            }
            Action::Checkpoint { job, attempt, .. } => {
                let lease = worker.leases.get_mut(job);
                if let Some(lease) = lease.filter(|lease| lease.attempt == *attempt) {
                    lease.checkpoint = Some(now + CHECKPOINT_TIME);
                    self.schedule_after(
                        CHECKPOINT_TIME,
                        SimEvent::UpdateWorker { worker: worker_id },
                    );
                }
                None
            }
            Action::Renew { leases, ttl, .. } => {
                for lease_ref in leases {
                    let lease = worker.leases.get_mut(&lease_ref.job);
                    if let Some(lease) = lease.filter(|lease| lease.attempt == lease_ref.attempt) {
                        lease.expires = lease.expires.max(now + *ttl);
                    }
                }
                Some(Event::Report { worker: worker_id, report: worker.report(now) })
            }
            _ => None,
        }
    }

    fn start_tasks(
        &mut self,
        id: &WorkerId,
        job: JobId,
        attempt: Attempt,
        tasks: (u32, u32),
        ttl: Duration,
    ) -> WorkerAnswer {
        let now = self.now;
        let run_time =
            self.histories.get(&job).map_or(Duration::ZERO, |history| history.remaining_time());
        let Some(worker) = self.workers.get_mut(id) else { return WorkerAnswer::Unknown };
        let always_fails = worker.always_fails;
        let Some(lease) = worker.leases.get_mut(&job).filter(|l| l.attempt == attempt) else {
            return WorkerAnswer::Refused;
        };
        lease.expires = lease.expires.max(now + ttl);
        if lease.tasks.is_some() {
            return WorkerAnswer::Granted;
        }
        lease.tasks = Some(tasks);
        lease.started = now;
        lease.ends_at = now + if always_fails { Duration::from_millis(300) } else { run_time };
        let ends_at = lease.ends_at;
        self.record_start(job, attempt, id);
        self.schedule_at(ends_at, SimEvent::UpdateWorker { worker: id.clone() });
        WorkerAnswer::Granted
    }

    /// Ends the tasks of a worker whose run time is over, and sends an unsolicited report to all
    /// owners.
    pub(crate) fn update_worker(&mut self, id: &WorkerId) {
        let now = self.now;
        let histories = &self.histories;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.down {
            return;
        }
        worker.expire_leases(now);
        let always_fails = worker.always_fails;
        let mut ended = Vec::new();
        for (job, lease) in &mut worker.leases {
            if lease.tasks.is_some() && lease.ends_at <= now && lease.end_status.is_none() {
                let fails =
                    always_fails || histories.get(job).is_some_and(|history| history.always_fails);
                lease.end_status = Some(if fails { TaskStatus::Failed } else { TaskStatus::Done });
                ended.push((*job, lease.attempt));
            }
        }
        let report = worker.report(now);
        for (job, attempt) in ended {
            self.record_end(job, attempt, id);
        }
        for owner in 0..self.owners.len() {
            let span = self.random_delay();
            let report = WorkerReport { age: span, ..report.clone() };
            let event = Event::Report { worker: id.clone(), report };
            self.schedule_after(span, SimEvent::Deliver { owner, event });
        }
    }
}

/// Short form of an action for the trace.
fn summarize(action: &Action) -> String {
    match crate::attempt_of(action) {
        Some((job, attempt)) => {
            let name = format!("{action:?}");
            let name = name.split(' ').next().unwrap_or_default().to_owned();
            format!("{name} {job} {attempt}")
        }
        None => format!("{action:?}"),
    }
}
