//! When workers are told to stop runs, and when their leases are renewed.

use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::directory::millis;
use crate::job::Stage;
use crate::planner::MAX_MISSED_CALLS;
use crate::planner::stage;
use crate::spec::TaskKey;
use model::Time;

/// Longest wait of a renewal for an end, in ms; the platform allows no more.
const MAX_RENEWAL_WAIT_MS: u64 = 2_000;
/// Pause between renewals of a worker whose ends are still being stored.
const RENEWAL_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause before a worker that did not answer is asked again.
const RENEWAL_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Most doublings of that pause.
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// Pause before a stop is sent again.
const STOP_RETRY_PAUSE: Duration = Duration::from_millis(350);
/// Pause between orders that only show whether a worker carries them out again.
const PROBE_PAUSE: Duration = Duration::from_millis(700);

impl Planner {
    pub(crate) fn send_stops(&mut self, now: Time) {
        let mut unsent = Vec::new();
        for key in &self.stopping {
            let Some(Stage::Placed(run)) = self.jobs.get_mut(&key.job).map(|job| stage(job, key))
            else {
                continue;
            };
            if run.stop_acked.is_some() {
                continue;
            }
            if run.start_sent.is_none() {
                // Before the commit is answered nothing has been sent.
                if run.stored {
                    unsent.push(key.clone());
                }
                continue;
            }
            if run.stop_sent.is_none_or(|at| at + STOP_RETRY_PAUSE <= now) {
                run.stop_sent = Some(now);
                let worker = run.worker.clone();
                let run = self.run_number(key);
                self.out.push(Action::Stop { worker, task: key.clone(), run });
            }
        }
        for key in unsent {
            self.clear_run(now, &key);
        }
    }

    /// Asks workers that leave orders undone to stop a run again that they have not answered for:
    /// it changes nothing, for the run is being stopped or has been given up.
    pub(crate) fn send_probes(&mut self, now: Time) {
        for (id, worker) in &mut self.workers {
            if !(worker.ignores_orders() && worker.listed && worker.reachable) {
                continue;
            }
            let Some((task, run)) = &worker.probe else { continue };
            let placed = self.jobs.get(&task.job).is_some_and(|job| job.has_run(task, *run, id));
            if placed || worker.probe_sent + PROBE_PAUSE > now {
                continue;
            }
            worker.probe_sent = now;
            let (worker, task, run) = (id.clone(), task.clone(), *run);
            self.out.push(Action::Stop { worker, task, run });
        }
    }

    pub(crate) fn run_number(&self, key: &TaskKey) -> u32 {
        self.task(key).map_or(0, |task| task.run)
    }

    pub(crate) fn send_renewals(&mut self, now: Time) {
        let lease = self.settings.lease;
        for (id, worker) in &mut self.workers {
            if worker.renewing || worker.info.address.port() == 0 {
                continue;
            }
            let busy = self.runs.get(id).is_some_and(|keys| !keys.is_empty());
            // Until it answers it gets no runs.
            let unheard = (worker.clock.is_none() || !worker.reachable) && worker.listed;
            let unacked = worker.stored_end > worker.acked_end;
            if !(busy || unheard || unacked || worker.foreign_runs > 0) {
                continue;
            }
            let storing = worker.heard_end > worker.stored_end;
            let pause = match (worker.missed_calls, storing) {
                (0, false) => Duration::ZERO,
                (0, true) => RENEWAL_PAUSE,
                (silent, _) => RENEWAL_RETRY_PAUSE * 2u32.pow(silent.min(MAX_RETRY_DOUBLINGS)),
            };
            if worker.renewal_sent + pause > now && worker.renewal_sent != Time::ZERO {
                continue;
            }
            let wait = busy
                && !unheard
                && !storing
                && worker.foreign_runs == 0
                && worker.missed_calls == 0;
            // What a silent worker is sent may still reach it, so it is only asked: its leases
            // have to run out for its runs to be given up.
            let silent = worker.missed_calls >= MAX_MISSED_CALLS;
            let deadline = worker.renewed_deadline(now, lease).filter(|_| !silent);
            worker.deadline = worker.deadline.max(deadline.unwrap_or(0));
            // Told once only: the next incarnation under this id numbers its ends anew, and would
            // forget those that nobody has heard of.
            worker.acking_end = if unacked { worker.stored_end } else { 0 };
            worker.renewing = true;
            worker.renewal_sent = now;
            self.out.push(Action::Renew {
                worker: id.clone(),
                deadline,
                seen: worker.acking_end,
                wait: if wait { MAX_RENEWAL_WAIT_MS.min(millis(lease) / 3) } else { 0 },
            });
        }
    }
}
