//! Runs on workers that do not answer or are about to go away.
//!
//! A worker that does not answer may have crashed, or may be cut off and run on. Its runs are given
//! up once every lease that was ever sent there has expired, or earlier if the members of a gang on
//! other workers prove that the gang's run has ended.

use std::time::Duration;

use crate::Planner;
use crate::directory::Worker;
use crate::job::Stage;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// Margin, beside the time to stop a task, before a draining worker goes away; its runs are stopped
/// that early.
const DRAIN_MARGIN: Duration = Duration::from_millis(300);

impl Planner {
    /// Gives up runs that have ended on workers that do not answer, and stops all runs on draining
    /// workers that are about to go away.
    pub(crate) fn check_workers(&mut self, now: Time) {
        let mut expired = Vec::new();
        let mut broken = Vec::new();
        let mut draining = Vec::new();
        let stop = self.settings.stop;
        for (id, keys) in self.runs.iter().filter(|(_, keys)| !keys.is_empty()) {
            let Some(worker) = self.workers.get(id) else { continue };
            if !worker.reachable && worker.leases_end() <= now {
                expired.extend(keys.iter().cloned());
                continue;
            }
            if worker.missed_calls > 0 {
                broken.extend(keys.iter().filter(|key| self.gang_has_ended(key, id)).cloned());
            }
            if worker.drain_end.is_some_and(|at| at <= now + stop + DRAIN_MARGIN) {
                draining.extend(keys.iter().cloned());
            }
        }
        for key in expired.iter().chain(&broken) {
            self.record_loss(now, key, None);
        }
        for key in expired {
            self.give_up(now, &key, "all leases sent to the worker have expired");
        }
        for key in broken {
            self.give_up(now, &key, "the other members report that the gang's run has ended");
        }
        for key in draining {
            self.stop_run(now, &key);
        }
    }

    /// Whether the reports of a gang's other members prove that its current run has ended on
    /// `worker`.
    ///
    /// A member's run is broken only after another member has ended. If all members elsewhere were
    /// broken, the first to end was one on this worker, which breaks the others there too. Nothing
    /// is concluded if that end may have been the failure that uses up the last attempt, because
    /// the gang must then not start again.
    fn gang_has_ended(&self, key: &TaskKey, worker: &WorkerId) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let Some(number) = step.tasks.get(key.index as usize).map(|task| task.run) else {
            return false;
        };
        if !job.spec.steps[key.step as usize].gang || step.tasks.len() < 2 {
            return false;
        }
        let answered = self.workers.get(worker).is_some_and(Worker::has_answered);
        let mut here = 0;
        let mut unconfirmed = 0;
        for task in &step.tasks {
            match &task.stage {
                Stage::Placed(run) if task.run == number && run.worker == *worker => {
                    here += 1;
                    unconfirmed += usize::from(!answered || run.confirmed.is_none());
                }
                _ if task.broken_run == number => {}
                _ => return false,
            }
        }
        // A member whose start is in doubt may start after the gang's run has ended; so may one
        // that a former owner started, until the worker has seen this owner's fencing token. With a
        // single member here that member must have started, as its end broke the others.
        let all_started = here == 1 || unconfirmed == 0;
        let queue = self.policy.queue(job);
        let attempts = queue.map_or(u32::MAX, |queue| queue.attempts) as usize;
        here < step.tasks.len() && all_started && self.failures(key) + 1 < attempts
    }
}
