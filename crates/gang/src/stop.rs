//! Stops complete gangs, and ends or requeues their jobs.

use crate::Action;
use crate::Attempt;
use crate::JobEvent;
use crate::JobState;
use crate::Shard;
use crate::effect::Effect;
use crate::job::AfterStop;
use crate::page::Stage;
use crate::shard::Timer;
use model::JobId;
use model::Time;
use model::WorkerId;

impl Shard {
    /// Stops all parts of a gang; `after_stop` applies once none is left.
    pub(crate) fn stop_gang(
        &mut self,
        now: Time,
        id: JobId,
        after_stop: AfterStop,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        self.transition(now, id, JobEvent::Broken, reason);
        let cancel = self.jobs.get(&id).is_some_and(|job| job.record.cancel);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.after_stop = if cancel { AfterStop::Cancel } else { after_stop };
        }
        self.stop_parts(now, id, out);
        self.store_if_gone(now, id);
    }

    /// Sends stops to the parts that are not known to be gone.
    pub(crate) fn stop_parts(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(gang) = self.jobs.get_mut(&id).and_then(|job| job.gang.as_mut()) else { return };
        let attempt = gang.attempt;
        for part in gang.parts.iter_mut().filter(|part| !part.gone) {
            if part.stop_sent == Time::NEVER {
                part.stop_sent = now;
            }
            out.push(Action::Stop { worker: part.worker.clone(), job: id, attempt });
        }
        self.set_deadline(id, now + self.settings.retry_interval);
    }

    /// Marks the part of a gang on a worker as gone.
    pub(crate) fn mark_part_gone(&mut self, id: JobId, worker: &WorkerId) {
        let Some(gang) = self.jobs.get_mut(&id).and_then(|job| job.gang.as_mut()) else { return };
        let Some(part) = gang.part(worker) else { return };
        part.gone = true;
    }

    /// Marks parts as gone whose leases have expired.
    fn expire_parts(&mut self, now: Time, id: JobId) {
        let flight = self.settings.max_latency;
        let Some(gang) = self.jobs.get(&id).and_then(|job| job.gang.as_ref()) else { return };
        let lapsed = gang.parts.iter().filter(|h| !h.gone && h.renewed_at + h.ttl + flight <= now);
        let lapsed: Vec<WorkerId> = lapsed.map(|part| part.worker.clone()).collect();
        for worker in lapsed {
            self.mark_part_gone(id, &worker);
        }
    }

    /// Stores the next stage of a stopping job once nothing of its gang is left.
    ///
    /// Other jobs may use the accelerators only when that is stored: otherwise the store could show
    /// two jobs on one accelerator, and a new owner could not tell which is outdated.
    pub(crate) fn store_if_gone(&mut self, now: Time, id: JobId) {
        let at = self.stamp(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let gone = job.gang.as_ref().is_some_and(|gang| gang.parts.iter().all(|part| part.gone));
        if job.state != JobState::Stopping || !gone || job.storing_release {
            return;
        }
        job.storing_release = true;
        job.record.stage = job.stage_after_stop();
        job.record.ended = at;
        if job.record.stage.end().is_some() {
            job.reason.clone_into(&mut job.record.reason);
        }
        let attempt = job.gang.as_ref().map_or(job.last_attempt, |gang| gang.attempt);
        self.set_deadline(id, Time::NEVER);
        self.store_job(now, id, true, Some(Effect::Released { job: id, attempt }));
    }

    /// Releases the gang of a stopped job whose next stage is stored, and requeues or ends the job.
    pub(crate) fn on_release_stored(&mut self, now: Time, id: JobId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let current = job.gang.as_ref().is_some_and(|gang| gang.attempt == attempt);
        if job.state != JobState::Stopping || !current || !job.storing_release {
            return;
        }
        job.storing_release = false;
        let parts = job.gang.take().map(|gang| gang.parts).unwrap_or_default();
        let stage = job.stage_after_stop();
        let reason = job.reason.clone();
        self.release_gang(id, &parts);
        match stage {
            Stage::Queued | Stage::Placed => self.requeue(now, id, &reason),
            Stage::Cancelled => self.end_job(now, id, JobEvent::Cancelled, stage, &reason),
            Stage::Failed => self.end_job(now, id, JobEvent::GaveUp, stage, &reason),
            Stage::Impossible => self.end_job(now, id, JobEvent::Infeasible, stage, &reason),
            Stage::Done | Stage::Unknown => {
                let reason = format!("may have run, and may not run twice: {reason}");
                self.end_job(now, id, JobEvent::OutcomeUnknown, Stage::Unknown, &reason);
            }
        }
    }

    fn requeue(&mut self, now: Time, id: JobId, reason: &str) {
        self.transition(now, id, JobEvent::Requeued, &format!("queued again: {reason}"));
        let pause = self.settings.retry_interval / 4;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.record.stage = Stage::Queued;
        job.record.started = job.may_have_run;
        job.record.parts.clear();
        job.not_before = now + pause;
        job.queued_since = now - job.waited;
        self.set_timer(now + pause, Timer::Pass);
        self.enqueue(id);
    }

    /// Ends a job that has no gang.
    pub(crate) fn end_job(
        &mut self,
        now: Time,
        id: JobId,
        event: JobEvent,
        stage: Stage,
        reason: &str,
    ) {
        self.dequeue(id);
        self.drop_plan(id);
        self.transition(now, id, event, reason);
        let at = self.stamp(now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.record.stage = stage;
            job.record.ended = at;
            job.record.parts.clear();
            reason.clone_into(&mut job.record.reason);
        }
        self.store_job(now, id, false, None);
    }

    /// Stores the success of a job whose tasks all succeeded. The workers are told to release it
    /// only after that.
    pub(crate) fn finish_job(&mut self, now: Time, id: JobId) {
        self.transition(
            now,
            id,
            JobEvent::Finished,
            "all its tasks ended well; that is being stored",
        );
        let at = self.stamp(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.record.stage = Stage::Done;
        job.record.ended = at;
        "all its tasks ended well".clone_into(&mut job.record.reason);
        let took = job.gang.as_ref().map(|gang| now.since(gang.began_at));
        let spec = job.record.spec.clone();
        if let Some(took) = took {
            self.run_times.record(&spec, took);
        }
        self.set_deadline(id, Time::NEVER);
        self.store_job(now, id, false, Some(Effect::Ended { job: id }));
    }

    /// Releases a job at its workers once its success is stored.
    pub(crate) fn on_end_stored(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != JobState::Finishing {
            return;
        }
        let Some(gang) = job.gang.take() else { return };
        job.record.parts.clear();
        self.transition(now, id, JobEvent::Stored, "all its tasks ended well");
        for part in &gang.parts {
            let worker = part.worker.clone();
            out.push(Action::Release { worker, job: id, attempt: gang.attempt });
            self.on_worker_success(&part.worker);
        }
        self.release_gang(id, &gang.parts);
    }

    /// Handles the deadline of a job.
    pub(crate) fn on_deadline(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.deadline > now {
            return;
        }
        job.deadline = Time::NEVER;
        match job.state {
            JobState::Leasing => self.abandon_attempt(now, id, "not all leases came in time", out),
            JobState::Committing => {
                let reason = "its leases lapsed before the store answered";
                self.stop_gang(now, id, AfterStop::RequeueUnstarted, reason, out);
            }
            JobState::Starting => self.retry_start(now, id, out),
            JobState::Running => self.check_confirmations(now, id, out),
            JobState::Preempting => self.stop_preempted(now, id, out),
            JobState::Recovering => self.poll_recovering(now, id, out),
            JobState::Stopping => {
                self.expire_parts(now, id);
                self.stop_parts(now, id, out);
                self.store_if_gone(now, id);
            }
            _ => {}
        }
    }

    fn retry_start(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(gang) = self.jobs.get(&id).and_then(|job| job.gang.as_ref()) else { return };
        if now < gang.expires {
            self.start_parts(now, id, out);
            self.set_deadline(id, now + self.settings.retry_interval);
            return;
        }
        self.stop_gang(now, id, AfterStop::Requeue, "not all its tasks started in time", out);
    }

    fn check_confirmations(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let lost = self.settings.lost_after;
        let Some(gang) = self.jobs.get(&id).and_then(|job| job.gang.as_ref()) else { return };
        let silent = gang.parts.iter().find(|part| part.confirmed_at + lost <= now);
        match silent.map(|part| part.worker.clone()) {
            Some(worker) => {
                let reason = format!("worker {worker} has been silent for too long");
                self.stop_gang(now, id, AfterStop::Requeue, &reason, out);
            }
            None => self.set_silence_deadline(id),
        }
    }
}
