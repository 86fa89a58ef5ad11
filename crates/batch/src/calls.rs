//! When workers are told to stop runs, and when their leases are renewed.

use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::directory::millis;
use crate::job::Stage;
use crate::planner::SILENT_CALLS;
use crate::planner::stage;
use crate::spec::TaskKey;
use model::Time;

/// Longest wait of a renewal for an end, in ms; the platform allows no more.
const HOLD_WAIT_MS: u64 = 2_000;
/// Pause between renewals of a worker whose ends are still being stored.
const HOLD_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause before a worker that did not answer is asked again.
const HOLD_RETRY: Duration = Duration::from_millis(250);
/// Most doublings of that pause.
const HOLD_DOUBLINGS: u32 = 3;
/// Pause before a stop is sent again.
const STOP_RETRY: Duration = Duration::from_millis(350);
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
            if run.stop_done.is_some() {
                continue;
            }
            if run.sent.is_none() {
                // Before the commit is answered nothing has been sent.
                if run.stored {
                    unsent.push(key.clone());
                }
                continue;
            }
            if run.stop_sent.is_none_or(|at| at + STOP_RETRY <= now) {
                run.stop_sent = Some(now);
                let worker = run.worker.clone();
                let run = self.run_number(key);
                self.out.push(Action::Stop { worker, task: key.clone(), run });
            }
        }
        for key in unsent {
            self.vanish(now, &key);
        }
    }

    /// Asks workers that leave orders undone to stop a run again that they have not answered for:
    /// it changes nothing, for the run is being stopped or has been given up.
    pub(crate) fn send_probes(&mut self, now: Time) {
        for (id, worker) in &mut self.workers {
            if !(worker.unheeding() && worker.listed && worker.answers) {
                continue;
            }
            let Some((task, run)) = &worker.probe else { continue };
            let placed = self.jobs.get(&task.job).is_some_and(|job| job.holds(task, *run, id));
            if placed || worker.probed + PROBE_PAUSE > now {
                continue;
            }
            worker.probed = now;
            let (worker, task, run) = (id.clone(), task.clone(), *run);
            self.out.push(Action::Stop { worker, task, run });
        }
    }

    pub(crate) fn run_number(&self, key: &TaskKey) -> u32 {
        self.task(key).map_or(0, |task| task.run)
    }

    pub(crate) fn send_holds(&mut self, now: Time) {
        let lease = self.settings.lease;
        for (id, worker) in &mut self.workers {
            if worker.holding || worker.info.address.port() == 0 {
                continue;
            }
            let busy = self.runs.get(id).is_some_and(|keys| !keys.is_empty());
            // Until it answers it gets no runs.
            let first = (worker.clock.is_none() || !worker.answers) && worker.listed;
            let news = worker.stored > worker.acked;
            if !(busy || first || news || worker.strays > 0) {
                continue;
            }
            let storing = worker.heard > worker.stored;
            let pause = match (worker.silent, storing) {
                (0, false) => Duration::ZERO,
                (0, true) => HOLD_PAUSE,
                (silent, _) => HOLD_RETRY * 2u32.pow(silent.min(HOLD_DOUBLINGS)),
            };
            if worker.asked + pause > now && worker.asked != Time::ZERO {
                continue;
            }
            let wait = busy && !first && !storing && worker.strays == 0 && worker.silent == 0;
            // What a silent worker is sent may still reach it, so it is only asked: its leases
            // have to run out for its runs to be given up.
            let silent = worker.silent >= SILENT_CALLS;
            let deadline = worker.renewal(now, lease).filter(|_| !silent);
            worker.deadline = worker.deadline.max(deadline.unwrap_or(0));
            // Told once only: the next incarnation under this id numbers its ends anew, and would
            // forget those that nobody has heard of.
            worker.telling = if news { worker.stored } else { 0 };
            worker.holding = true;
            worker.asked = now;
            self.out.push(Action::Renew {
                worker: id.clone(),
                deadline,
                seen: worker.telling,
                wait: if wait { HOLD_WAIT_MS.min(millis(lease) / 3) } else { 0 },
            });
        }
    }
}
