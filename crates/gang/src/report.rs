//! What workers say they hold.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Action;
use crate::JobEvent;
use crate::JobState;
use crate::LeaseReport;
use crate::Shard;
use crate::TaskStatus;
use crate::WorkerEvent;
use crate::WorkerReport;
use crate::job::Aim;
use model::JobId;
use model::Time;
use model::WorkerId;

/// Processor use above its share at which a task is throttled, in percent.
const OVERUSE_PERCENT: u64 = 110;

impl Shard {
    /// Takes a worker's report.
    pub(crate) fn on_report(
        &mut self,
        now: Time,
        worker: &WorkerId,
        report: &WorkerReport,
        out: &mut Vec<Action>,
    ) {
        let Some(position) = self.fleet.position(worker) else { return };
        self.heard(now, worker);
        let taken = now - report.age;
        let mut shown = BTreeSet::new();
        for lease in &report.leases {
            if self.is_current(worker, lease) {
                shown.insert(lease.job);
                self.on_lease(now, taken, worker, lease, out);
            } else {
                self.stop_stray(worker, lease, out);
            }
        }
        let holders = self.fleet.at(position).map(|w| w.holders.iter().map(|h| h.job).collect());
        let holders: Vec<JobId> = holders.unwrap_or_default();
        for job in holders.into_iter().filter(|job| !shown.contains(job)) {
            self.on_absent(now, taken, worker, job, out);
        }
    }

    fn is_current(&self, worker: &WorkerId, lease: &LeaseReport) -> bool {
        let gang = self.jobs.get(&lease.job).and_then(|job| job.gang.as_ref());
        gang.is_some_and(|gang| {
            let parts = gang.holds.iter();
            gang.attempt == lease.attempt && parts.clone().any(|h| h.worker == *worker && !h.gone)
        })
    }

    /// Stops what an earlier attempt left behind, unless a later owner may have started it.
    fn stop_stray(&mut self, worker: &WorkerId, lease: &LeaseReport, out: &mut Vec<Action>) {
        let ours = lease.attempt < crate::Attempt::default().next(model::Epoch(self.epoch.0 + 1));
        let settled = match self.jobs.get(&lease.job) {
            Some(job) => self.pages.claimed(job.page),
            None => self.loaded && self.pages.settled(),
        };
        if ours && settled {
            let worker = worker.clone();
            out.push(Action::Stop { worker, job: lease.job, attempt: lease.attempt });
        }
    }

    fn on_lease(
        &mut self,
        now: Time,
        taken: Time,
        worker: &WorkerId,
        lease: &LeaseReport,
        out: &mut Vec<Action>,
    ) {
        let id = lease.job;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let state = job.state;
        let shape = job.record.spec.shape;
        let Some(part) = job.gang.as_mut().and_then(|gang| gang.part(worker)) else { return };
        part.confirmed = part.confirmed.max(taken);
        let running = |t: &crate::TaskReport| t.status != TaskStatus::Held;
        if lease.tasks.len() as u32 == part.slot.tasks && lease.tasks.iter().all(running) {
            part.leased = true;
            part.started |= matches!(state, JobState::Starting | JobState::Recovering);
            part.done = lease.tasks.iter().all(|task| task.status == TaskStatus::Done);
        } else if state == JobState::Recovering {
            part.leased = true;
        }
        if let Some(age) = lease.checkpoint {
            part.saved = part.saved.max(taken - age);
        }
        for task in &lease.tasks {
            let share = u64::from(shape.millicores);
            if task.status == TaskStatus::Running
                && u64::from(task.millicores) * 100 > share * OVERUSE_PERCENT
            {
                out.push(Action::Throttle {
                    worker: worker.clone(),
                    job: id,
                    attempt: lease.attempt,
                    task: task.index,
                    millicores: shape.millicores,
                });
            }
        }
        self.book_late(now, worker, id);
        self.note_saved(id);
        self.judge(now, worker, lease, out);
    }

    /// Books a part that could not be booked when its job was read.
    fn book_late(&mut self, now: Time, worker: &WorkerId, id: JobId) {
        let Some(position) = self.fleet.position(worker) else { return };
        let booked = self.fleet.at(position).is_some_and(|w| w.holders.iter().any(|h| h.job == id));
        let Some(job) = self.jobs.get_mut(&id).filter(|_| !booked) else { return };
        let rank = job.rank();
        let Some(part) = job.gang.as_mut().and_then(|gang| gang.part(worker)) else { return };
        let slot = part.slot;
        if self.fleet.is_vacant(&slot) {
            self.excused = true;
            self.drop_plans_on(position);
            self.book(now, id, &slot, rank);
        }
    }

    /// Acts on how the tasks of a lease stand.
    fn judge(&mut self, now: Time, worker: &WorkerId, lease: &LeaseReport, out: &mut Vec<Action>) {
        let id = lease.job;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state == JobState::Stopping {
            self.when_done(now, id);
            return;
        }
        let active = matches!(
            job.state,
            JobState::Starting | JobState::Running | JobState::Preempting | JobState::Recovering
        );
        if !active {
            return;
        }
        let bad =
            |t: &&crate::TaskReport| matches!(t.status, TaskStatus::Failed | TaskStatus::Overrun);
        if let Some(task) = lease.tasks.iter().find(bad) {
            let reason = match task.status {
                TaskStatus::Overrun => {
                    let used = task.memory_mib;
                    let index = task.index;
                    format!("task {index} took {used} MiB of memory, more than its share")
                }
                _ => {
                    let code = task.exit.map_or("no exit code".to_owned(), |c| format!("exit {c}"));
                    format!("task {} failed on worker {worker}: {code}", task.index)
                }
            };
            self.blame(now, worker, id, &reason, out);
            return;
        }
        match job.state {
            JobState::Starting => self.when_started(now, id),
            JobState::Recovering => self.when_recovered(now, id, out),
            _ => {}
        }
        self.when_done(now, id);
        self.when_saved(now, id, out);
    }

    fn when_done(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let running = match job.state {
            JobState::Running | JobState::Preempting => true,
            // Its tasks ended by themselves before the stop reached them.
            JobState::Stopping => !job.vacating,
            _ => false,
        };
        let done = job.gang.as_ref().is_some_and(|gang| gang.holds.iter().all(|hold| hold.done));
        if running && done {
            self.finish(now, id);
        }
    }

    /// Brings the work that would be lost with a job up to date.
    fn note_saved(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(gang) = &job.gang else { return };
        let saved = gang.holds.iter().map(|hold| hold.saved).min().unwrap_or(Time::ZERO);
        if saved == Time::ZERO {
            return;
        }
        let positions: Vec<u32> = gang.holds.iter().map(|hold| hold.slot.position).collect();
        for position in positions {
            self.fleet.saved(position, id, saved);
        }
    }

    /// A report that was taken at `taken` does not show a job's lease.
    fn on_absent(
        &mut self,
        now: Time,
        taken: Time,
        worker: &WorkerId,
        id: JobId,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let state = job.state;
        let Some(part) = job.gang.as_mut().and_then(|gang| gang.part(worker)) else { return };
        let expected = part.leased || part.started || state == JobState::Recovering;
        let reason = format!("worker {worker} no longer has its part of the gang");
        match state {
            JobState::Stopping if taken > part.stopped => {
                self.part_gone(id, worker);
                self.when_gone(now, id);
            }
            JobState::Leasing if part.leased && taken > part.acked => {
                self.drop_gang(now, id, &reason, out);
            }
            JobState::Committing if taken > part.acked => {
                part.gone = true;
                self.break_gang(now, id, Aim::Retry, &reason, out);
            }
            JobState::Starting
            | JobState::Running
            | JobState::Preempting
            | JobState::Recovering
                if expected && taken > part.acked =>
            {
                part.gone = true;
                self.break_gang(now, id, Aim::Again, &reason, out);
            }
            _ => {}
        }
    }

    /// A worker answered.
    pub(crate) fn heard(&mut self, now: Time, worker: &WorkerId) {
        let Some(position) = self.fleet.position(worker) else { return };
        self.fleet.update(position, |worker| worker.heard = now);
        if self.fleet.step(position, WorkerEvent::Answered) {
            self.excused = true;
            self.stirred = true;
        }
    }

    /// A worker does not answer.
    pub(crate) fn on_silent(&mut self, now: Time, worker: &WorkerId) {
        let Some(position) = self.fleet.position(worker) else { return };
        if self.fleet.step(position, WorkerEvent::Unresponsive) {
            self.excused = true;
            self.begin_renewals(now, worker);
            self.drop_plans_on(position);
        }
    }

    /// Sets aside a worker that did not give its leases, and asks what it holds.
    pub(crate) fn avoid(&mut self, now: Time, worker: &WorkerId, out: &mut Vec<Action>) {
        let Some(position) = self.fleet.position(worker) else { return };
        let until = now + self.settings.retry_interval;
        self.fleet.update(position, |worker| worker.avoid = until);
        self.alarm(until, crate::shard::Timer::Worker(worker.clone()));
        let ttl = Duration::ZERO;
        out.push(Action::Renew { worker: worker.clone(), leases: Vec::new(), ttl });
    }

    /// A new list of workers.
    pub(crate) fn on_workers(
        &mut self,
        now: Time,
        list: &[crate::WorkerInfo],
        out: &mut Vec<Action>,
    ) {
        let old = self.guarantees.sites(&self.fleet);
        let listed = self.fleet.list(now, list);
        self.excused = true;
        self.stirred = true;
        self.listed = true;
        self.listing += 1;
        if listed.moved {
            self.move_all(now, &old);
        }
        for worker in &listed.gone {
            self.on_gone(now, worker, out);
        }
        if let Some(pages) = self.unread.take() {
            self.load_pages(now, pages, out);
        }
        self.guarantees.promise(&self.policy, &self.fleet);
        self.drop_broken_plans();
    }

    /// A worker is gone for good, with everything on it.
    fn on_gone(&mut self, now: Time, worker: &WorkerId, out: &mut Vec<Action>) {
        let has = |job: &&crate::job::Job| {
            let gang = job.gang.as_ref();
            gang.is_some_and(|gang| gang.holds.iter().any(|h| h.worker == *worker && !h.gone))
        };
        let jobs: Vec<JobId> =
            self.jobs.values().filter(has).map(|job| job.record.spec.id).collect();
        let reason = format!("worker {worker} is gone from the VM list");
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.state {
                JobState::Leasing => self.drop_gang(now, id, &reason, out),
                JobState::Finishing => {}
                _ => {
                    self.part_gone(id, worker);
                    match self.jobs.get(&id).map(|job| job.state) {
                        Some(JobState::Stopping) => self.when_gone(now, id),
                        Some(JobState::Committing) => {
                            self.break_gang(now, id, Aim::Retry, &reason, out);
                        }
                        _ => self.break_gang(now, id, Aim::Again, &reason, out),
                    }
                }
            }
        }
    }
}

impl Shard {
    /// A recovering gang is whole: it runs on, or its start is completed.
    pub(crate) fn when_recovered(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(gang) = &job.gang else { return };
        if !gang.holds.iter().all(|hold| hold.leased && hold.confirmed >= gang.began) {
            return;
        }
        if gang.holds.iter().all(|hold| hold.started) {
            self.when_started(now, id);
            return;
        }
        self.step(now, id, JobEvent::Committed, "all its leases are held; its start is completed");
        self.start_parts(now, id, out);
        self.set_deadline(id, now + self.settings.retry_interval);
    }
}
