//! The two steps of a start: leases on all workers, then tasks under them.
//!
//! No gang waits while it holds leases. They are asked for all at once; one refusal, one missing
//! answer or a late commit gives all of them up, and leases that are not followed by tasks lapse by
//! themselves. So there is no cycle of waiting gangs to be found or broken.

use crate::Action;
use crate::Attempt;
use crate::JobEvent;
use crate::JobState;
use crate::Part;
use crate::Shard;
use crate::TaskRange;
use crate::WorkerAnswer;
use crate::job::Aim;
use crate::job::Gang;
use crate::job::Hold;
use crate::mark::Mark;
use crate::page::Stage;
use crate::place::fleet::Holder;
use crate::place::need::Resources;
use crate::place::need::Slot;
use crate::preempt::Rank;
use crate::shard::Timer;
use model::JobId;
use model::Time;
use model::WorkerId;

/// The accelerators of a mask, by number.
pub(crate) fn numbers(mask: u64) -> Vec<u8> {
    (0..u64::BITS as u8).filter(|bit| mask >> bit & 1 == 1).collect()
}

/// The mask of some accelerators.
pub(crate) fn mask_of(numbers: &[u8]) -> u64 {
    numbers.iter().filter(|n| u32::from(**n) < u64::BITS).fold(0, |mask, n| mask | 1 << n)
}

impl Shard {
    /// Begins an attempt at a placement: asks for all its leases.
    pub(crate) fn place(
        &mut self,
        now: Time,
        id: JobId,
        slots: Vec<Slot>,
        rank: Rank,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        self.hold_all(now, id, &slots, rank);
        let hold = self.settings.hold_ttl;
        let expires = now + hold - self.settings.max_latency;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.waited = now.since(job.since);
        job.tried = job.tried.next(self.epoch);
        let attempt = job.tried;
        let mut holds = Vec::new();
        for slot in &slots {
            let Some(worker) = self.fleet.at(slot.position) else { continue };
            let worker = worker.info.id.clone();
            out.push(Action::Lease {
                worker: worker.clone(),
                job: id,
                attempt,
                accelerators: numbers(slot.mask),
                ttl: hold,
            });
            holds.push(Hold::new(worker, *slot, now, hold));
        }
        job.gang = Some(Gang { attempt, holds, began: now, expires, asked: Time::NEVER });
        self.step(now, id, JobEvent::Placed, "acquires its leases");
        self.set_deadline(id, expires);
    }

    /// Books what a gang takes at all its workers.
    pub(crate) fn hold_all(&mut self, now: Time, id: JobId, slots: &[Slot], rank: Rank) {
        for slot in slots {
            self.book(now, id, slot, rank);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let spec = &job.record.spec;
        *self.usage.entry(spec.account.clone()).or_default() += spec.shape.total();
    }

    /// Books what a gang takes at one worker.
    pub(crate) fn book(&mut self, now: Time, id: JobId, slot: &Slot, rank: Rank) {
        let Some(job) = self.jobs.get(&id) else { return };
        let spec = &job.record.spec;
        let holder = Holder {
            job: id,
            mask: slot.mask,
            takes: Resources {
                accelerators: slot.mask.count_ones(),
                millicores: slot.tasks.saturating_mul(spec.shape.millicores),
                memory: slot.tasks.saturating_mul(spec.shape.memory_mib),
            },
            rank,
            since: now,
            saves: spec.checkpoint,
            size: spec.shape.total(),
            begun: now,
            ends: now + self.expected(spec).high,
        };
        self.fleet.hold(slot, holder);
    }

    /// Takes a worker's answer to a lease.
    pub(crate) fn on_leased(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: JobId,
        attempt: Attempt,
        result: WorkerAnswer,
        out: &mut Vec<Action>,
    ) {
        if result == WorkerAnswer::Granted {
            self.heard(now, worker);
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
            self.avoid(now, worker, out);
            let reason = format!("worker {worker} did not give its leases");
            self.drop_gang(now, id, &reason, out);
            return;
        }
        if let Some(part) = gang.part(worker) {
            part.leased = true;
            part.acked = now;
            part.confirmed = now;
        }
        if gang.holds.iter().all(|hold| hold.leased) {
            self.commit(now, id);
        }
    }

    /// Asks the store to commit the placement of a gang that holds all its leases.
    fn commit(&mut self, now: Time, id: JobId) {
        self.step(now, id, JobEvent::Held, "holds all leases; its placement is being stored");
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(gang) = &job.gang else { return };
        let attempt = gang.attempt;
        let parts = gang.holds.iter().map(|hold| Part {
            worker: hold.worker.clone(),
            accelerators: numbers(hold.slot.mask),
            first: hold.slot.first,
            tasks: hold.slot.tasks,
        });
        job.record.parts = parts.collect();
        job.record.attempt = attempt;
        job.record.stage = Stage::Placed;
        job.record.started = true;
        let urgent = job.record.spec.priority == model::Priority::Urgent;
        self.store(now, id, urgent, Some(Mark::Placed { job: id, attempt }));
    }

    /// Gives up an attempt that has started nothing.
    pub(crate) fn drop_gang(&mut self, now: Time, id: JobId, why: &str, out: &mut Vec<Action>) {
        self.step(now, id, JobEvent::Dropped, why);
        let pause = self.settings.retry_interval / 4;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(gang) = job.gang.take() else { return };
        for hold in &gang.holds {
            let worker = hold.worker.clone();
            out.push(Action::Release { worker, job: id, attempt: gang.attempt });
        }
        job.after = now + pause;
        self.vacate(id, &gang.holds);
        self.set_deadline(id, Time::NEVER);
        self.alarm(now + pause, Timer::Pass);
        self.enqueue(id);
    }

    /// Books that nothing of a job is placed any more.
    pub(crate) fn vacate(&mut self, id: JobId, holds: &[Hold]) {
        for hold in holds {
            if let Some(position) = self.fleet.position(&hold.worker) {
                self.fleet.drop_hold(position, id);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let account = job.record.spec.account.clone();
        let total = job.record.spec.shape.total();
        if std::mem::take(&mut job.guaranteed) {
            self.excused |= self.guarantees.leave(&mut self.fleet, &account, id);
        }
        let used = self.usage.entry(account).or_default();
        assert!(*used >= total, "usage of an account is below what job {id} used");
        *used -= total;
        self.stirred = true;
    }

    /// The store has committed a placement: starts its tasks.
    pub(crate) fn on_committed(
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
            self.break_gang(now, id, Aim::Retry, reason, out);
            return;
        }
        self.step(now, id, JobEvent::Committed, "its placement is stored; its tasks are started");
        self.start_parts(now, id, out);
        self.set_deadline(id, now + self.settings.retry_interval);
    }

    /// Starts the parts that have not confirmed it.
    pub(crate) fn start_parts(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let ttl = self.settings.lease_ttl;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let shape = job.record.spec.shape;
        let Some(gang) = job.gang.as_mut() else { return };
        let attempt = gang.attempt;
        job.ran = true;
        for hold in gang.holds.iter_mut().filter(|hold| !hold.started) {
            let tasks = TaskRange {
                first: hold.slot.first,
                count: hold.slot.tasks,
                millicores: shape.millicores,
                memory_mib: shape.memory_mib,
            };
            hold.extended = now;
            hold.life = ttl;
            let worker = hold.worker.clone();
            out.push(Action::Start { worker, job: id, attempt, tasks, ttl });
        }
    }

    /// Takes a worker's answer to a start.
    pub(crate) fn on_started(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: JobId,
        attempt: Attempt,
        result: WorkerAnswer,
        out: &mut Vec<Action>,
    ) {
        if result == WorkerAnswer::Granted {
            self.heard(now, worker);
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
                    part.acked = now;
                    part.confirmed = now;
                }
                self.when_started(now, id);
            }
            WorkerAnswer::Refused => {
                let reason = format!("worker {worker} no longer held its leases at the start");
                self.break_gang(now, id, Aim::Again, &reason, out);
            }
            WorkerAnswer::Failed => {
                let reason = format!("worker {worker} failed to start its tasks");
                self.blame(now, worker, id, &reason, out);
            }
            WorkerAnswer::Unknown => {}
        }
    }

    /// Moves a gang on once all its parts were started.
    pub(crate) fn when_started(&mut self, now: Time, id: JobId) {
        let Some(gang) = self.jobs.get_mut(&id).and_then(|job| job.gang.as_mut()) else { return };
        if !gang.holds.iter().all(|hold| hold.started) {
            return;
        }
        gang.began = now;
        let workers: Vec<WorkerId> = gang.holds.iter().map(|hold| hold.worker.clone()).collect();
        self.step(now, id, JobEvent::Started, "all its tasks run");
        for worker in &workers {
            self.begin_renewals(now, worker);
        }
        self.watch(id);
    }

    /// Sets the time at which a silent part is given up.
    pub(crate) fn watch(&mut self, id: JobId) {
        let lost = self.settings.lost_after;
        let heard = self.jobs.get(&id).and_then(|job| job.gang.as_ref()).map(Gang::heard);
        if let Some(heard) = heard {
            self.set_deadline(id, heard + lost);
        }
    }
}
