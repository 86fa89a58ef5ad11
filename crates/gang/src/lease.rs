//! Two-phase start of a gang: leases on all its workers, then the tasks.
//!
//! No gang waits while it holds leases. All leases are requested at once; one refusal, one missing
//! answer or a late commit makes the shard release all of them, and leases under which no task is
//! started expire by themselves. So gangs cannot deadlock by waiting for each other's leases.

use crate::Action;
use crate::Attempt;
use crate::JobEvent;
use crate::JobState;
use crate::Part;
use crate::Shard;
use crate::TaskRange;
use crate::WorkerAnswer;
use crate::effect::Effect;
use crate::job::AfterStop;
use crate::job::Gang;
use crate::job::GangPart;
use crate::page::Stage;
use crate::place::fleet::Allocation;
use crate::place::resources::Resources;
use crate::place::resources::Slot;
use crate::preempt::Rank;
use crate::shard::Timer;
use model::JobId;
use model::Time;
use model::WorkerId;

/// Indexes of the accelerators in a mask.
pub(crate) fn accelerators_in(mask: u64) -> Vec<u8> {
    (0..u64::BITS as u8).filter(|bit| mask >> bit & 1 == 1).collect()
}

/// Mask of accelerators given by index.
pub(crate) fn mask_of(numbers: &[u8]) -> u64 {
    numbers.iter().filter(|n| u32::from(**n) < u64::BITS).fold(0, |mask, n| mask | 1 << n)
}

impl Shard {
    /// Starts an attempt on a placement: requests all leases.
    pub(crate) fn start_attempt(
        &mut self,
        now: Time,
        id: JobId,
        slots: Vec<Slot>,
        rank: Rank,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        self.book_gang(now, id, &slots, rank);
        let hold_ttl = self.settings.hold_ttl;
        let expires = now + hold_ttl - self.settings.max_latency;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.waited = now.since(job.queued_since);
        job.last_attempt = job.last_attempt.next(self.epoch);
        let attempt = job.last_attempt;
        let mut parts = Vec::new();
        for slot in &slots {
            let Some(worker) = self.fleet.at(slot.position) else { continue };
            let worker = worker.info.id.clone();
            out.push(Action::Lease {
                worker: worker.clone(),
                job: id,
                attempt,
                accelerators: accelerators_in(slot.mask),
                ttl: hold_ttl,
            });
            parts.push(GangPart::new(worker, *slot, now, hold_ttl));
        }
        job.gang =
            Some(Gang { attempt, parts, began_at: now, expires, checkpoint_asked: Time::NEVER });
        self.transition(now, id, JobEvent::Placed, "is acquiring leases on its workers");
        self.set_deadline(id, expires);
    }

    /// Allocates the resources of a gang on all its workers and charges them to its account.
    pub(crate) fn book_gang(&mut self, now: Time, id: JobId, slots: &[Slot], rank: Rank) {
        for slot in slots {
            self.book_part(now, id, slot, rank);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let spec = &job.record.spec;
        *self.usage.entry(spec.account.clone()).or_default() += spec.shape.total_accelerators();
    }

    /// Allocates the resources of a gang's part on one worker.
    pub(crate) fn book_part(&mut self, now: Time, id: JobId, slot: &Slot, rank: Rank) {
        let Some(job) = self.jobs.get(&id) else { return };
        let spec = &job.record.spec;
        let allocation = Allocation {
            job: id,
            mask: slot.mask,
            resources: Resources {
                accelerators: slot.mask.count_ones(),
                millicores: slot.tasks.saturating_mul(spec.shape.millicores),
                memory: slot.tasks.saturating_mul(spec.shape.memory_mib),
            },
            rank,
            unsaved_since: now,
            can_checkpoint: spec.checkpoint,
            gang_size: spec.shape.total_accelerators(),
            placed_at: now,
            expected_end: now + self.estimate_run_time(spec).p90,
        };
        self.fleet.allocate(slot, allocation);
    }

    /// Handles a worker's answer to a lease request.
    pub(crate) fn on_lease_answer(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: JobId,
        attempt: Attempt,
        result: WorkerAnswer,
        out: &mut Vec<Action>,
    ) {
        if result == WorkerAnswer::Granted {
            self.on_worker_answer(now, worker);
        }
        let current = self.jobs.get_mut(&id).and_then(|job| {
            let state = job.state;
            let gang = job.gang.as_mut().filter(|gang| gang.attempt == attempt)?;
            Some((state, gang))
        });
        let Some((state, gang)) = current else {
            if result == WorkerAnswer::Granted {
                out.push(Action::Release { worker: worker.clone(), job: id, attempt });
            }
            return;
        };
        if state != JobState::Leasing {
            return;
        }
        if result != WorkerAnswer::Granted {
            self.avoid_worker(now, worker, out);
            let reason = format!("worker {worker} did not grant its leases");
            self.abandon_attempt(now, id, &reason, out);
            return;
        }
        if let Some(part) = gang.part(worker) {
            part.leased = true;
            part.answered_at = now;
            part.confirmed_at = now;
        }
        if gang.parts.iter().all(|part| part.leased) {
            self.store_placement(now, id);
        }
    }

    /// Stores the placement of a gang that holds all its leases.
    fn store_placement(&mut self, now: Time, id: JobId) {
        self.transition(now, id, JobEvent::Held, "holds all leases; its placement is being stored");
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(gang) = &job.gang else { return };
        let attempt = gang.attempt;
        let parts = gang.parts.iter().map(|part| Part {
            worker: part.worker.clone(),
            accelerators: accelerators_in(part.slot.mask),
            first: part.slot.first,
            tasks: part.slot.tasks,
        });
        job.record.parts = parts.collect();
        job.record.attempt = attempt;
        job.record.stage = Stage::Placed;
        job.record.started = true;
        let urgent = job.record.spec.priority == model::Priority::Urgent;
        self.store_job(now, id, urgent, Some(Effect::Placed { job: id, attempt }));
    }

    /// Gives up an attempt that has not started any task, and queues the job again.
    pub(crate) fn abandon_attempt(
        &mut self,
        now: Time,
        id: JobId,
        why: &str,
        out: &mut Vec<Action>,
    ) {
        self.transition(now, id, JobEvent::Dropped, why);
        let pause = self.settings.retry_interval / 4;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(gang) = job.gang.take() else { return };
        for part in &gang.parts {
            let worker = part.worker.clone();
            out.push(Action::Release { worker, job: id, attempt: gang.attempt });
        }
        job.not_before = now + pause;
        self.release_gang(id, &gang.parts);
        self.set_deadline(id, Time::NEVER);
        self.set_timer(now + pause, Timer::Pass);
        self.enqueue(id);
    }

    /// Releases the allocations of a gang and removes its charge from the account.
    pub(crate) fn release_gang(&mut self, id: JobId, parts: &[GangPart]) {
        for part in parts {
            if let Some(position) = self.fleet.position(&part.worker) {
                self.fleet.release(position, id);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let account = job.record.spec.account.clone();
        let total = job.record.spec.shape.total_accelerators();
        if std::mem::take(&mut job.guaranteed) {
            self.shortage_excused |= self.guarantees.remove_job(&mut self.fleet, &account, id);
        }
        let used = self.usage.entry(account).or_default();
        assert!(*used >= total, "usage of an account is below what job {id} used");
        *used -= total;
        self.pass_needed = true;
    }

    /// Starts the tasks of a gang whose placement is stored.
    pub(crate) fn on_placement_stored(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(gang) = job.gang.as_mut() else { return };
        if job.state != JobState::Committing || gang.attempt != attempt {
            return;
        }
        if now >= gang.expires {
            let reason = "its leases lapsed before the store answered";
            self.stop_gang(now, id, AfterStop::RequeueUnstarted, reason, out);
            return;
        }
        self.transition(
            now,
            id,
            JobEvent::Committed,
            "its placement is stored; its tasks are being started",
        );
        self.start_parts(now, id, out);
        self.set_deadline(id, now + self.settings.retry_interval);
    }

    /// Sends starts to the workers that have not confirmed one.
    pub(crate) fn start_parts(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let ttl = self.settings.lease_ttl;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let shape = job.record.spec.shape;
        let Some(gang) = job.gang.as_mut() else { return };
        let attempt = gang.attempt;
        job.may_have_run = true;
        for part in gang.parts.iter_mut().filter(|part| !part.started) {
            let tasks = TaskRange {
                first: part.slot.first,
                count: part.slot.tasks,
                millicores: shape.millicores,
                memory_mib: shape.memory_mib,
            };
            part.renewed_at = now;
            part.ttl = ttl;
            let worker = part.worker.clone();
            out.push(Action::Start { worker, job: id, attempt, tasks, ttl });
        }
    }

    /// Handles a worker's answer to a start request.
    pub(crate) fn on_start_answer(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: JobId,
        attempt: Attempt,
        result: WorkerAnswer,
        out: &mut Vec<Action>,
    ) {
        if result == WorkerAnswer::Granted {
            self.on_worker_answer(now, worker);
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(gang) = job.gang.as_mut().filter(|gang| gang.attempt == attempt) else { return };
        if job.state != JobState::Starting {
            return;
        }
        match result {
            WorkerAnswer::Granted => {
                if let Some(part) = gang.part(worker) {
                    part.started = true;
                    part.answered_at = now;
                    part.confirmed_at = now;
                }
                self.run_if_started(now, id);
            }
            WorkerAnswer::Refused => {
                let reason = format!("worker {worker} no longer held its leases at the start");
                self.stop_gang(now, id, AfterStop::Requeue, &reason, out);
            }
            WorkerAnswer::Failed => {
                let reason = format!("worker {worker} failed to start its tasks");
                self.on_job_failure(now, worker, id, &reason, out);
            }
            WorkerAnswer::Unknown => {}
        }
    }

    /// Moves a gang to running once all its parts were started.
    pub(crate) fn run_if_started(&mut self, now: Time, id: JobId) {
        let Some(gang) = self.jobs.get_mut(&id).and_then(|job| job.gang.as_mut()) else { return };
        if !gang.parts.iter().all(|part| part.started) {
            return;
        }
        gang.began_at = now;
        let workers: Vec<WorkerId> = gang.parts.iter().map(|part| part.worker.clone()).collect();
        self.transition(now, id, JobEvent::Started, "all its tasks run");
        for worker in &workers {
            self.schedule_renewal(now, worker);
        }
        self.set_silence_deadline(id);
    }

    /// Sets the deadline at which the gang is stopped unless all its parts are confirmed again.
    pub(crate) fn set_silence_deadline(&mut self, id: JobId) {
        let lost = self.settings.lost_after;
        let confirmed_at =
            self.jobs.get(&id).and_then(|job| job.gang.as_ref()).map(Gang::oldest_confirmation);
        if let Some(confirmed_at) = confirmed_at {
            self.set_deadline(id, confirmed_at + lost);
        }
    }
}
