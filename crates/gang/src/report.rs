//! Reports of workers and changes of the worker list.

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
use crate::job::AfterStop;
use model::JobId;
use model::Time;
use model::WorkerId;

/// Processor use above which a task is throttled, in percent of its share.
const THROTTLE_PERCENT: u64 = 110;

impl Shard {
    /// Handles a worker's report.
    pub(crate) fn on_report(
        &mut self,
        now: Time,
        worker: &WorkerId,
        report: &WorkerReport,
        out: &mut Vec<Action>,
    ) {
        let Some(position) = self.fleet.position(worker) else { return };
        self.on_worker_answer(now, worker);
        let taken = now - report.age;
        let mut reported = BTreeSet::new();
        for lease in &report.leases {
            if self.is_current(worker, lease) {
                reported.insert(lease.job);
                self.on_lease_report(now, taken, worker, lease, out);
            } else {
                self.stop_stale_attempt(worker, lease, out);
            }
        }
        let allocated =
            self.fleet.at(position).map(|w| w.allocations.iter().map(|h| h.job).collect());
        let allocated: Vec<JobId> = allocated.unwrap_or_default();
        for job in allocated.into_iter().filter(|job| !reported.contains(job)) {
            self.on_lease_missing(now, taken, worker, job, out);
        }
    }

    fn is_current(&self, worker: &WorkerId, lease: &LeaseReport) -> bool {
        let gang = self.jobs.get(&lease.job).and_then(|job| job.gang.as_ref());
        gang.is_some_and(|gang| {
            let parts = gang.parts.iter();
            gang.attempt == lease.attempt && parts.clone().any(|h| h.worker == *worker && !h.gone)
        })
    }

    /// Stops the tasks of an outdated attempt, unless a later owner may have started it.
    fn stop_stale_attempt(
        &mut self,
        worker: &WorkerId,
        lease: &LeaseReport,
        out: &mut Vec<Action>,
    ) {
        let up_to_own_epoch =
            lease.attempt < crate::Attempt::default().next(model::Epoch(self.epoch.0 + 1));
        let claimed = match self.jobs.get(&lease.job) {
            Some(job) => self.pages.claimed(job.page),
            None => self.pages_loaded && self.pages.all_claimed(),
        };
        if up_to_own_epoch && claimed {
            let worker = worker.clone();
            out.push(Action::Stop { worker, job: lease.job, attempt: lease.attempt });
        }
    }

    fn on_lease_report(
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
        part.confirmed_at = part.confirmed_at.max(taken);
        let running = |t: &crate::TaskReport| t.status != TaskStatus::Held;
        if lease.tasks.len() as u32 == part.slot.tasks && lease.tasks.iter().all(running) {
            part.leased = true;
            part.started |= matches!(state, JobState::Starting | JobState::Recovering);
            part.done = lease.tasks.iter().all(|task| task.status == TaskStatus::Done);
        } else if state == JobState::Recovering {
            part.leased = true;
        }
        if let Some(age) = lease.checkpoint {
            part.checkpoint_at = part.checkpoint_at.max(taken - age);
        }
        for task in &lease.tasks {
            let share = u64::from(shape.millicores);
            if task.status == TaskStatus::Running
                && u64::from(task.millicores) * 100 > share * THROTTLE_PERCENT
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
        self.book_deferred(now, worker, id);
        self.update_unsaved_since(id);
        self.check_tasks(now, worker, lease, out);
    }

    /// Allocates a part that could not be allocated when its job was read from the store.
    fn book_deferred(&mut self, now: Time, worker: &WorkerId, id: JobId) {
        let Some(position) = self.fleet.position(worker) else { return };
        let booked =
            self.fleet.at(position).is_some_and(|w| w.allocations.iter().any(|h| h.job == id));
        let Some(job) = self.jobs.get_mut(&id).filter(|_| !booked) else { return };
        let rank = job.rank();
        let Some(part) = job.gang.as_mut().and_then(|gang| gang.part(worker)) else { return };
        let slot = part.slot;
        if self.fleet.is_vacant(&slot) {
            self.shortage_excused = true;
            self.drop_plans_on(position);
            self.book_part(now, id, &slot, rank);
        }
    }

    /// Acts on the states of the tasks in a lease report.
    fn check_tasks(
        &mut self,
        now: Time,
        worker: &WorkerId,
        lease: &LeaseReport,
        out: &mut Vec<Action>,
    ) {
        let id = lease.job;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state == JobState::Stopping {
            self.finish_if_done(now, id);
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
            self.on_job_failure(now, worker, id, &reason, out);
            return;
        }
        match job.state {
            JobState::Starting => self.run_if_started(now, id),
            JobState::Recovering => self.resume_if_recovered(now, id, out),
            _ => {}
        }
        self.finish_if_done(now, id);
        self.stop_if_checkpointed(now, id, out);
    }

    fn finish_if_done(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let running = match job.state {
            JobState::Running | JobState::Preempting => true,
            // The tasks ended by themselves before the stop reached them.
            JobState::Stopping => !job.storing_release,
            _ => false,
        };
        let done = job.gang.as_ref().is_some_and(|gang| gang.parts.iter().all(|part| part.done));
        if running && done {
            self.finish_job(now, id);
        }
    }

    /// Updates the time since which a job's work would be lost, after a checkpoint.
    fn update_unsaved_since(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(gang) = &job.gang else { return };
        let saved = gang.parts.iter().map(|part| part.checkpoint_at).min().unwrap_or(Time::ZERO);
        if saved == Time::ZERO {
            return;
        }
        let positions: Vec<u32> = gang.parts.iter().map(|part| part.slot.position).collect();
        for position in positions {
            self.fleet.note_checkpoint(position, id, saved);
        }
    }

    /// Handles a report, made at `taken`, that does not show the lease of a job.
    fn on_lease_missing(
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
            JobState::Stopping if taken > part.stop_sent => {
                self.mark_part_gone(id, worker);
                self.store_if_gone(now, id);
            }
            JobState::Leasing if part.leased && taken > part.answered_at => {
                self.abandon_attempt(now, id, &reason, out);
            }
            JobState::Committing if taken > part.answered_at => {
                part.gone = true;
                self.stop_gang(now, id, AfterStop::RequeueUnstarted, &reason, out);
            }
            JobState::Starting
            | JobState::Running
            | JobState::Preempting
            | JobState::Recovering
                if expected && taken > part.answered_at =>
            {
                part.gone = true;
                self.stop_gang(now, id, AfterStop::Requeue, &reason, out);
            }
            _ => {}
        }
    }

    /// Handles any answer of a worker.
    pub(crate) fn on_worker_answer(&mut self, now: Time, worker: &WorkerId) {
        let Some(position) = self.fleet.position(worker) else { return };
        self.fleet.update(position, |worker| worker.answered_at = now);
        if self.fleet.transition(position, WorkerEvent::Answered) {
            self.shortage_excused = true;
            self.pass_needed = true;
        }
    }

    /// Handles a worker that stopped answering.
    pub(crate) fn on_worker_silent(&mut self, now: Time, worker: &WorkerId) {
        let Some(position) = self.fleet.position(worker) else { return };
        if self.fleet.transition(position, WorkerEvent::Unresponsive) {
            self.shortage_excused = true;
            self.schedule_renewal(now, worker);
            self.drop_plans_on(position);
        }
    }

    /// Avoids a worker for [`Settings::retry_interval`](crate::Settings) because it did not grant a
    /// lease, and requests a report from it.
    pub(crate) fn avoid_worker(&mut self, now: Time, worker: &WorkerId, out: &mut Vec<Action>) {
        let Some(position) = self.fleet.position(worker) else { return };
        let until = now + self.settings.retry_interval;
        self.fleet.update(position, |worker| worker.avoid_until = until);
        self.set_timer(until, crate::shard::Timer::Worker(worker.clone()));
        let ttl = Duration::ZERO;
        out.push(Action::Renew { worker: worker.clone(), leases: Vec::new(), ttl });
    }

    /// Handles a new list of workers.
    pub(crate) fn on_worker_list(
        &mut self,
        now: Time,
        list: &[crate::WorkerInfo],
        out: &mut Vec<Action>,
    ) {
        let old = self.guarantees.locate_blocks(&self.fleet);
        let change = self.fleet.set_workers(now, list);
        self.shortage_excused = true;
        self.pass_needed = true;
        self.workers_listed = true;
        self.list_version += 1;
        if change.moved {
            self.rebook_all(now, &old);
        }
        for worker in &change.gone {
            self.on_worker_removed(now, worker, out);
        }
        if let Some(pages) = self.unread_pages.take() {
            self.load_pages(now, pages, out);
        }
        self.guarantees.apply_policy(&self.policy, &self.fleet);
        self.drop_unusable_plans();
    }

    /// Handles a worker that left the list, with all parts of gangs on it.
    fn on_worker_removed(&mut self, now: Time, worker: &WorkerId, out: &mut Vec<Action>) {
        let has = |job: &&crate::job::Job| {
            let gang = job.gang.as_ref();
            gang.is_some_and(|gang| gang.parts.iter().any(|h| h.worker == *worker && !h.gone))
        };
        let jobs: Vec<JobId> =
            self.jobs.values().filter(has).map(|job| job.record.spec.id).collect();
        let reason = format!("worker {worker} is gone from the VM list");
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.state {
                JobState::Leasing => self.abandon_attempt(now, id, &reason, out),
                JobState::Finishing => {}
                _ => {
                    self.mark_part_gone(id, worker);
                    match self.jobs.get(&id).map(|job| job.state) {
                        Some(JobState::Stopping) => self.store_if_gone(now, id),
                        Some(JobState::Committing) => {
                            self.stop_gang(now, id, AfterStop::RequeueUnstarted, &reason, out);
                        }
                        _ => self.stop_gang(now, id, AfterStop::Requeue, &reason, out),
                    }
                }
            }
        }
    }
}

impl Shard {
    /// Continues a recovering gang once all its parts are confirmed: it keeps running, or its start
    /// is completed.
    pub(crate) fn resume_if_recovered(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(gang) = &job.gang else { return };
        if !gang.parts.iter().all(|part| part.leased && part.confirmed_at >= gang.began_at) {
            return;
        }
        if gang.parts.iter().all(|part| part.started) {
            self.run_if_started(now, id);
            return;
        }
        self.transition(
            now,
            id,
            JobEvent::Committed,
            "all its leases are held; its remaining tasks are being started",
        );
        self.start_parts(now, id, out);
        self.set_deadline(id, now + self.settings.retry_interval);
    }
}
