//! Stops gangs whole, and settles what becomes of their jobs.

use crate::Action;
use crate::Attempt;
use crate::JobEvent;
use crate::JobState;
use crate::Shard;
use crate::job::Aim;
use crate::mark::Mark;
use crate::page::Stage;
use crate::shard::Timer;
use model::JobId;
use model::Time;
use model::WorkerId;

impl Shard {
    /// Stops all parts of a gang; what follows is settled once none is left.
    pub(crate) fn break_gang(
        &mut self,
        now: Time,
        id: JobId,
        aim: Aim,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        self.step(now, id, JobEvent::Broken, reason);
        let cancel = self.jobs.get(&id).is_some_and(|job| job.record.cancel);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.aim = if cancel { Aim::Cancel } else { aim };
        }
        self.stop_parts(now, id, out);
        self.when_gone(now, id);
    }

    /// Tells the parts that are not known to be gone to stop.
    pub(crate) fn stop_parts(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(gang) = self.jobs.get_mut(&id).and_then(|job| job.gang.as_mut()) else { return };
        let attempt = gang.attempt;
        for hold in gang.holds.iter_mut().filter(|hold| !hold.gone) {
            if hold.stopped == Time::NEVER {
                hold.stopped = now;
            }
            out.push(Action::Stop { worker: hold.worker.clone(), job: id, attempt });
        }
        self.set_deadline(id, now + self.settings.retry_interval);
    }

    /// Notes that nothing of a job is left at a worker.
    pub(crate) fn part_gone(&mut self, id: JobId, worker: &WorkerId) {
        let Some(gang) = self.jobs.get_mut(&id).and_then(|job| job.gang.as_mut()) else { return };
        let Some(part) = gang.part(worker) else { return };
        part.gone = true;
    }

    /// Gives up parts whose leases have lapsed.
    fn lapse(&mut self, now: Time, id: JobId) {
        let flight = self.settings.max_latency;
        let Some(gang) = self.jobs.get(&id).and_then(|job| job.gang.as_ref()) else { return };
        let lapsed = gang.holds.iter().filter(|h| !h.gone && h.extended + h.life + flight <= now);
        let lapsed: Vec<WorkerId> = lapsed.map(|hold| hold.worker.clone()).collect();
        for worker in lapsed {
            self.part_gone(id, &worker);
        }
    }

    /// Stores what becomes of a stopping job once nothing of its gang is left.
    ///
    /// Only when that is stored may other jobs use the accelerators: otherwise the store could
    /// show two jobs on one accelerator, and a new owner could not tell which is outdated.
    pub(crate) fn when_gone(&mut self, now: Time, id: JobId) {
        let at = self.stamp(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let gone = job.gang.as_ref().is_some_and(|gang| gang.holds.iter().all(|hold| hold.gone));
        if job.state != JobState::Stopping || !gone || job.vacating {
            return;
        }
        job.vacating = true;
        job.record.stage = job.outcome();
        job.record.ended = at;
        if job.record.stage.end().is_some() {
            job.reason.clone_into(&mut job.record.reason);
        }
        let attempt = job.gang.as_ref().map_or(job.tried, |gang| gang.attempt);
        self.set_deadline(id, Time::NEVER);
        self.store(now, id, true, Some(Mark::Vacated { job: id, attempt }));
    }

    /// What becomes of a stopped job is stored: frees its accelerators.
    pub(crate) fn on_vacated(&mut self, now: Time, id: JobId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let current = job.gang.as_ref().is_some_and(|gang| gang.attempt == attempt);
        if job.state != JobState::Stopping || !current || !job.vacating {
            return;
        }
        job.vacating = false;
        let holds = job.gang.take().map(|gang| gang.holds).unwrap_or_default();
        let stage = job.outcome();
        let reason = job.reason.clone();
        self.vacate(id, &holds);
        match stage {
            Stage::Queued | Stage::Placed => self.requeue(now, id, &reason),
            Stage::Cancelled => self.end(now, id, JobEvent::Cancelled, stage, &reason),
            Stage::Failed => self.end(now, id, JobEvent::GaveUp, stage, &reason),
            Stage::Impossible => self.end(now, id, JobEvent::Infeasible, stage, &reason),
            Stage::Done | Stage::Unknown => {
                let reason = format!("may have run, and may not run twice: {reason}");
                self.end(now, id, JobEvent::OutcomeUnknown, Stage::Unknown, &reason);
            }
        }
    }

    fn requeue(&mut self, now: Time, id: JobId, reason: &str) {
        self.step(now, id, JobEvent::Requeued, &format!("waits again: {reason}"));
        let pause = self.settings.retry_interval / 4;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.record.stage = Stage::Queued;
        job.record.started = job.ran;
        job.record.parts.clear();
        job.after = now + pause;
        job.since = now - job.waited;
        self.alarm(now + pause, Timer::Pass);
        self.enqueue(id);
    }

    /// Ends a job of which nothing runs.
    pub(crate) fn end(
        &mut self,
        now: Time,
        id: JobId,
        event: JobEvent,
        stage: Stage,
        reason: &str,
    ) {
        self.dequeue(id);
        self.drop_plan(id);
        self.step(now, id, event, reason);
        let at = self.stamp(now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.record.stage = stage;
            job.record.ended = at;
            job.record.parts.clear();
            reason.clone_into(&mut job.record.reason);
        }
        self.store(now, id, false, None);
    }

    /// All tasks ended well: stores that before the workers forget it.
    pub(crate) fn finish(&mut self, now: Time, id: JobId) {
        self.step(now, id, JobEvent::Finished, "all its tasks ended well; that is being stored");
        let at = self.stamp(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.record.stage = Stage::Done;
        job.record.ended = at;
        "all its tasks ended well".clone_into(&mut job.record.reason);
        let took = job.gang.as_ref().map(|gang| now.since(gang.began));
        let spec = job.record.spec.clone();
        if let Some(took) = took {
            self.learned.note(&spec, took);
        }
        self.set_deadline(id, Time::NEVER);
        self.store(now, id, false, Some(Mark::Ended { job: id }));
    }

    /// The end of a job is stored: lets its workers forget it.
    pub(crate) fn on_ended(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != JobState::Finishing {
            return;
        }
        let Some(gang) = job.gang.take() else { return };
        job.record.parts.clear();
        self.step(now, id, JobEvent::Stored, "all its tasks ended well");
        for hold in &gang.holds {
            let worker = hold.worker.clone();
            out.push(Action::Release { worker, job: id, attempt: gang.attempt });
            self.passed_on(&hold.worker);
        }
        self.vacate(id, &gang.holds);
    }

    /// A job's deadline has come.
    pub(crate) fn on_deadline(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.deadline > now {
            return;
        }
        job.deadline = Time::NEVER;
        match job.state {
            JobState::Leasing => self.drop_gang(now, id, "not all leases came in time", out),
            JobState::Committing => {
                let reason = "its leases lapsed before the store answered";
                self.break_gang(now, id, Aim::Retry, reason, out);
            }
            JobState::Starting => self.start_again(now, id, out),
            JobState::Running => self.check_heard(now, id, out),
            JobState::Preempting => self.save_or_stop(now, id, out),
            JobState::Recovering => self.ask_again(now, id, out),
            JobState::Stopping => {
                self.lapse(now, id);
                self.stop_parts(now, id, out);
                self.when_gone(now, id);
            }
            _ => {}
        }
    }

    fn start_again(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(gang) = self.jobs.get(&id).and_then(|job| job.gang.as_ref()) else { return };
        if now < gang.expires {
            self.start_parts(now, id, out);
            self.set_deadline(id, now + self.settings.retry_interval);
            return;
        }
        self.break_gang(now, id, Aim::Again, "not all its tasks started in time", out);
    }

    fn check_heard(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let lost = self.settings.lost_after;
        let Some(gang) = self.jobs.get(&id).and_then(|job| job.gang.as_ref()) else { return };
        let silent = gang.holds.iter().find(|hold| hold.confirmed + lost <= now);
        match silent.map(|hold| hold.worker.clone()) {
            Some(worker) => {
                let reason = format!("worker {worker} has been silent for too long");
                self.break_gang(now, id, Aim::Again, &reason, out);
            }
            None => self.watch(id),
        }
    }
}
