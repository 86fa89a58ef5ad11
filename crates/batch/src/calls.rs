//! Timing of the stops, probes and lease renewals that are sent to workers.

use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::directory::Worker;
use crate::directory::millis;
use crate::job::Stage;
use crate::planner::MAX_MISSED_CALLS;
use crate::planner::stage_mut;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// Maximum time that a worker may delay its answer to a renewal until a run ends, in ms; the
/// platform allows no more.
const MAX_RENEWAL_WAIT_MS: u64 = 2_000;
/// Pause between renewals of a worker while ends that it reported are being stored.
const RENEWAL_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause before a renewal is sent again to a worker that did not answer; doubles with each failure.
const RENEWAL_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The same for a worker that may carry out a late start once it has restarted.
const THREATENED_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Minimum interval between two such renewals to any workers, so that the loss of many does not
/// occupy the owner.
const THREATENED_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of doublings of that pause.
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// Pause before an unanswered stop is sent again.
const STOP_RETRY_PAUSE: Duration = Duration::from_millis(350);
/// Pause between probes of a worker that does not answer orders.
const PROBE_PAUSE: Duration = Duration::from_millis(700);

impl Planner {
    /// Sends stops for runs that are to be stopped, again if unanswered for a while.
    pub(crate) fn send_stops(&mut self, now: Time) {
        let mut unsent = Vec::new();
        let mut stops = Vec::new();
        for key in &self.stopping {
            let Some(Stage::Placed(run)) =
                self.jobs.get_mut(&key.job).map(|job| stage_mut(job, key))
            else {
                continue;
            };
            if run.stop_acked.is_some() {
                continue;
            }
            if run.start_sent.is_none() {
                // No start is sent before the run is stored, so this run never began. The commit
                // in flight may still store it; it is cleared once that is answered.
                if run.stored {
                    unsent.push(key.clone());
                }
                continue;
            }
            if run.stop_sent.is_none_or(|at| at + STOP_RETRY_PAUSE <= now) {
                run.stop_sent = Some(now);
                stops.push((run.worker.clone(), key.clone()));
            }
        }
        for (worker, key) in stops {
            let run = self.run_number(&key);
            self.push_stop(worker, key, run);
        }
        for key in unsent {
            self.clear_run(now, &key);
        }
    }

    /// Probes workers that do not answer orders, to learn when they do again.
    ///
    /// A probe is a stop of the run that the last unanswered order was for. It changes nothing
    /// else, since a run that is still placed is not probed.
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
            let (task, run) = (task.clone(), *run);
            let (address, token) = (worker.addresses.current, worker.fence.token);
            self.out.push(Action::Stop { worker: id.clone(), address, task, run, token });
        }
    }

    /// Sends a stop, unless it is not known where the worker is.
    pub(crate) fn push_stop(&mut self, worker: WorkerId, task: TaskKey, run: u32) {
        let Some(known) = self.workers.get(&worker).filter(|known| known.addresses.known()) else {
            return;
        };
        let (address, token) = (known.addresses.current, known.fence.token);
        self.out.push(Action::Stop { worker, address, task, run, token });
    }

    pub(crate) fn run_number(&self, key: &TaskKey) -> u32 {
        self.task(key).map_or(0, |task| task.run)
    }

    /// Sends lease renewals to workers that have runs, have not answered yet, or have ends to be
    /// acknowledged; at most one renewal per worker is in flight.
    pub(crate) fn send_renewals(&mut self, now: Time) {
        let lease = self.settings.lease;
        let extend_from = now.min(self.extend_until);
        // Starts of former owners may still be carried out by any worker.
        let inherited = now < self.late_starts_until;
        let threatened = |worker: &Worker| inherited || worker.fence.is_doubtful(now);
        let silent = |worker: &&Worker| worker.missed_calls > 0 && threatened(worker);
        let silent = self.workers.values().filter(silent).count();
        let silent = u32::try_from(silent).unwrap_or(u32::MAX);
        let threatened_pause = THREATENED_RETRY_PAUSE.max(THREATENED_RETRY_INTERVAL * silent);
        self.renew_at = Time::NEVER;
        for (id, worker) in &mut self.workers {
            if !worker.addresses.known() {
                continue;
            }
            if worker.renewing {
                // The former incarnation may have gone away without closing the connection on which
                // it held the renewal.
                if worker.seems_restarted() {
                    worker.fence.listed = worker.info.incarnation.unwrap_or(0);
                    self.out.push(Action::Fence {
                        worker: id.clone(),
                        address: worker.addresses.current,
                        token: worker.fence.token,
                    });
                }
                continue;
            }
            let busy = self.runs.get(id).is_some_and(|keys| !keys.is_empty());
            // A worker gets no runs until it has answered.
            let doubtful = !worker.reachable || worker.missed_calls > 0;
            let unheard = (!worker.clock_known() || doubtful) && worker.listed;
            let unacked = worker.stored_end > worker.acked_end;
            let threatened = threatened(worker);
            let restarted = worker.seems_restarted();
            let raises = self.raises.contains(id);
            let unfenced = worker.listed && (raises || worker.fence.is_open());
            let wanted = busy || unheard || unacked || worker.foreign_runs > 0;
            if !(wanted || threatened || restarted || unfenced) {
                continue;
            }
            let storing = worker.heard_end > worker.stored_end;
            let pause = match (worker.missed_calls, storing) {
                (0, true) => RENEWAL_PAUSE,
                (0, false) if !raises => Duration::ZERO,
                (1.., _) if threatened => threatened_pause,
                _ if raises => RENEWAL_RETRY_PAUSE,
                (silent, _) => RENEWAL_RETRY_PAUSE * 2u32.pow(silent.min(MAX_RETRY_DOUBLINGS)),
            };
            let paused = worker.renewal_sent + pause > now && worker.renewal_sent != Time::ZERO;
            if paused && !restarted {
                if threatened && worker.missed_calls > 0 {
                    self.renew_at = self.renew_at.min(worker.renewal_sent + pause);
                }
                continue;
            }
            let wait = (busy || threatened && !unacked)
                && !unheard
                && !unfenced
                && !restarted
                && !storing
                && worker.foreign_runs == 0
                && worker.missed_calls == 0;
            // A renewal that goes unanswered may still arrive. A silent worker is therefore asked
            // without extending its leases, which have to expire for its runs to be given up.
            let silent = worker.missed_calls >= MAX_MISSED_CALLS;
            let deadline = worker.lease_deadline(extend_from, lease).filter(|_| !silent);
            worker.deadline = worker.deadline.max(deadline.unwrap_or(0));
            // The next incarnation under this id numbers its ends from one again, and would discard
            // ends that have not been reported. So nothing is acknowledged after an unanswered call
            // until the next answer tells whether the worker has restarted.
            let acknowledges = unacked && worker.missed_calls == 0;
            worker.acking_end = if acknowledges { worker.stored_end } else { 0 };
            worker.renewing = true;
            worker.renewal_sent = now;
            worker.addresses.call();
            worker.fence.sent = worker.fence.token;
            worker.fence.listed = worker.info.incarnation.unwrap_or(0);
            self.out.push(Action::Renew {
                worker: id.clone(),
                address: worker.addresses.current,
                deadline,
                seen: worker.acking_end,
                wait: if wait { MAX_RENEWAL_WAIT_MS.min(millis(lease) / 3) } else { 0 },
                token: worker.fence.token,
            });
        }
    }
}
