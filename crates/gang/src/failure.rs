//! Attribution of failures to jobs or workers.

use crate::Action;
use crate::Shard;
use crate::WorkerEvent;
use crate::WorkerState;
use crate::job::AfterStop;
use crate::shard::Timer;
use model::JobId;
use model::Time;
use model::WorkerId;

impl Shard {
    /// Handles the failure of a job on a worker: stops the gang and attributes the failure.
    pub(crate) fn on_job_failure(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: JobId,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let failure_limit = self.settings.failure_limit as usize;
        job.failed_on.insert(worker.clone());
        job.failure_count += 1;
        job.avoid_until = now + self.settings.reserve_after;
        let avoid_until = job.avoid_until;
        let failed = job.failed_on.len();
        let fails_often = job.failure_count as usize >= 2 * failure_limit;
        let runs_once = !job.record.spec.rerunnable();
        let fails_everywhere = failed >= failure_limit || (failed > 1 && fails_often);
        let after_stop =
            if fails_everywhere || runs_once { AfterStop::Fail } else { AfterStop::Requeue };
        let reason = match (fails_everywhere, runs_once) {
            (true, _) => format!("failed on {failed} different workers: {reason}"),
            (false, true) => format!("failed, and may not run twice: {reason}"),
            (false, false) => reason.to_owned(),
        };
        self.count_worker_failure(now, worker, id);
        self.set_timer(avoid_until, Timer::Pass);
        self.stop_gang(now, id, after_stop, &reason, out);
    }

    /// Counts a failure against a worker, unless the job has also failed on others. In that case
    /// its failures no longer count against any worker.
    fn count_worker_failure(&mut self, now: Time, worker: &WorkerId, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.failed_on.len() > 1 {
            let suspects = job.failed_on.iter().filter_map(|w| self.fleet.position(w));
            for position in suspects.collect::<Vec<u32>>() {
                self.fleet
                    .update(position, |worker| worker.health.failed_jobs.retain(|job| *job != id));
            }
            return;
        }
        let Some(position) = self.fleet.position(worker) else { return };
        let strike_limit = self.settings.strike_limit as usize;
        let (min, max) = (self.settings.probe_min, self.settings.probe_max);
        let mut quarantined = false;
        self.fleet.update(position, |worker| {
            worker.health.failed_jobs.insert(id);
            let probing = worker.state == WorkerState::Probing;
            quarantined = probing || worker.health.failed_jobs.len() >= strike_limit;
            if quarantined {
                worker.health.quarantine(now, min, max);
            }
        });
        if quarantined && self.fleet.transition(position, WorkerEvent::Quarantined) {
            self.shortage_excused = true;
            self.drop_plans_on(position);
            self.discard_failures_on(worker);
            let probe = self.fleet.at(position).map_or(Time::NEVER, |w| w.health.next_probe);
            self.set_timer(probe, Timer::Worker(worker.clone()));
        }
    }

    /// Removes a quarantined worker from the workers that jobs failed on, so that its failures do
    /// not count against them.
    fn discard_failures_on(&mut self, worker: &WorkerId) {
        for job in self.jobs.values_mut() {
            job.failed_on.remove(worker);
        }
    }

    /// Handles the success of a job on a worker.
    pub(crate) fn on_worker_success(&mut self, worker: &WorkerId) {
        let Some(position) = self.fleet.position(worker) else { return };
        self.fleet.update(position, |worker| worker.health.reset());
        if self.fleet.transition(position, WorkerEvent::Passed) {
            self.shortage_excused = true;
            self.pass_needed = true;
        }
    }
}
