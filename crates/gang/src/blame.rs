//! Whether a failure counts against the worker or against the job.

use crate::Action;
use crate::Shard;
use crate::WorkerEvent;
use crate::WorkerState;
use crate::job::Aim;
use crate::shard::Timer;
use model::JobId;
use model::Time;
use model::WorkerId;

impl Shard {
    /// A job failed on a worker: stops its gang, and counts the failure against the right one.
    pub(crate) fn blame(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: JobId,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let everywhere = self.settings.failure_limit as usize;
        job.failed.insert(worker.clone());
        job.failures += 1;
        job.wary = now + self.settings.reserve_after;
        let wary = job.wary;
        let failed = job.failed.len();
        let often = job.failures as usize >= 2 * everywhere;
        let once = !job.record.spec.rerunnable();
        let hopeless = failed >= everywhere || (failed > 1 && often);
        let aim = if hopeless || once { Aim::Fail } else { Aim::Again };
        let reason = match (hopeless, once) {
            (true, _) => format!("failed on {failed} different workers: {reason}"),
            (false, true) => format!("failed, and may not run twice: {reason}"),
            (false, false) => reason.to_owned(),
        };
        self.strike(now, worker, id);
        self.alarm(wary, Timer::Pass);
        self.break_gang(now, id, aim, &reason, out);
    }

    /// Counts a failure against a worker, unless the job fails elsewhere too.
    fn strike(&mut self, now: Time, worker: &WorkerId, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.failed.len() > 1 {
            let suspects = job.failed.iter().filter_map(|w| self.fleet.position(w));
            for position in suspects.collect::<Vec<u32>>() {
                self.fleet
                    .update(position, |worker| worker.health.strikes.retain(|job| *job != id));
            }
            return;
        }
        let Some(position) = self.fleet.position(worker) else { return };
        let strikes = self.settings.strike_limit as usize;
        let (first, most) = (self.settings.probe_min, self.settings.probe_max);
        let mut struck = false;
        self.fleet.update(position, |worker| {
            worker.health.strikes.insert(id);
            let probing = worker.state == WorkerState::Probing;
            struck = probing || worker.health.strikes.len() >= strikes;
            if struck {
                worker.health.confine(now, first, most);
            }
        });
        if struck && self.fleet.step(position, WorkerEvent::Quarantined) {
            self.excused = true;
            self.drop_plans_on(position);
            self.forgive(worker);
            let probe = self.fleet.at(position).map_or(Time::NEVER, |w| w.health.probe);
            self.alarm(probe, Timer::Worker(worker.clone()));
        }
    }

    /// Failures on a quarantined worker no longer count against jobs.
    fn forgive(&mut self, worker: &WorkerId) {
        for job in self.jobs.values_mut() {
            job.failed.remove(worker);
        }
    }

    /// A job ended well on a worker.
    pub(crate) fn passed_on(&mut self, worker: &WorkerId) {
        let Some(position) = self.fleet.position(worker) else { return };
        self.fleet.update(position, |worker| worker.health.pass());
        if self.fleet.step(position, WorkerEvent::Passed) {
            self.excused = true;
            self.stirred = true;
        }
    }
}
