//! Lease renewals, one message per worker.

use std::time::Duration;

use rand::RngExt;

use crate::Action;
use crate::JobState;
use crate::LeaseRef;
use crate::Shard;
use crate::WorkerEvent;
use crate::WorkerState;
use crate::shard::Timer;
use model::JobId;
use model::Time;
use model::WorkerId;

/// The renewal interval is the run time of the youngest job so far, divided by this, within the
/// bounds of the settings.
const RUN_TIME_DIVISOR: u32 = 4;

impl Shard {
    /// Starts renewals at a worker, with jitter, or moves the next one forward.
    pub(crate) fn schedule_renewal(&mut self, now: Time, worker: &WorkerId) {
        let Some(position) = self.fleet.position(worker) else { return };
        let jitter = self.rng.random_range(0.5..1.0);
        let due = now + self.settings.renew_min.mul_f64(jitter);
        if self.fleet.at(position).is_none_or(|worker| worker.next_renewal <= due) {
            return;
        }
        self.fleet.update(position, |worker| worker.next_renewal = due);
        self.set_timer(due, Timer::Worker(worker.clone()));
    }

    /// Handles the timer of a worker.
    pub(crate) fn on_worker_timer(&mut self, now: Time, worker: &WorkerId, out: &mut Vec<Action>) {
        let Some(position) = self.fleet.position(worker) else { return };
        let Some(entry) = self.fleet.at(position) else { return };
        let (avoid, renew, probe) =
            (entry.avoid_until, entry.next_renewal, entry.health.next_probe);
        if avoid != Time::ZERO && avoid <= now {
            self.fleet.update(position, |worker| worker.avoid_until = Time::ZERO);
            self.pass_needed = true;
        }
        if probe <= now {
            self.advance_quarantine(now, worker, position);
        }
        if renew <= now {
            self.renew_worker(now, worker, position, out);
        }
    }

    /// Opens a quarantined worker to a probe, or to all work if no job came to probe it.
    fn advance_quarantine(&mut self, now: Time, worker: &WorkerId, position: u32) {
        let Some(entry) = self.fleet.at(position) else { return };
        let moved = match entry.state {
            WorkerState::Quarantined => self.fleet.transition(position, WorkerEvent::ProbeDue),
            // The job that probes it may run for hours; its end decides.
            WorkerState::Probing if entry.allocations.is_empty() => {
                self.fleet.transition(position, WorkerEvent::ProbeTimedOut)
            }
            WorkerState::Probing => false,
            _ => return,
        };
        self.pass_needed |= moved;
        let next = now + self.settings.probe_timeout;
        self.fleet.update(position, |worker| worker.health.next_probe = next);
        self.set_timer(next, Timer::Worker(worker.clone()));
    }

    fn renew_worker(&mut self, now: Time, worker: &WorkerId, position: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.fleet.at(position) else { return };
        let silent = entry.state == WorkerState::Silent;
        let jobs: Vec<JobId> = entry.allocations.iter().map(|allocation| allocation.job).collect();
        let leases: Vec<LeaseRef> =
            jobs.iter().filter_map(|job| self.renew_lease(now, *job, worker)).collect();
        if jobs.is_empty() && !silent {
            self.fleet.update(position, |worker| worker.next_renewal = Time::NEVER);
            return;
        }
        let next = now + self.renewal_interval(now, &jobs);
        self.fleet.update(position, |worker| worker.next_renewal = next);
        self.set_timer(next, Timer::Worker(worker.clone()));
        let ttl = if leases.is_empty() { Duration::ZERO } else { self.settings.lease_ttl };
        out.push(Action::Renew { worker: worker.clone(), leases, ttl });
    }

    /// Time until the next renewal: a fraction of the run time of the youngest job so far, so that
    /// the end of a short job is noticed soon and a long one costs few messages.
    fn renewal_interval(&self, now: Time, jobs: &[JobId]) -> Duration {
        let gangs = jobs.iter().filter_map(|id| self.jobs.get(id)?.gang.as_ref());
        let youngest = gangs.map(|gang| now.since(gang.began_at)).min().unwrap_or(Duration::MAX);
        (youngest / RUN_TIME_DIVISOR).clamp(self.settings.renew_min, self.settings.renew_max)
    }

    /// Notes a job's lease as renewed and returns it; `None` if its gang does not run or has a part
    /// that was not confirmed for [`Settings::lost_after`](crate::Settings).
    fn renew_lease(&mut self, now: Time, id: JobId, worker: &WorkerId) -> Option<LeaseRef> {
        let job = self.jobs.get_mut(&id)?;
        let is_running =
            matches!(job.state, JobState::Running | JobState::Preempting | JobState::Finishing);
        let gang = job.gang.as_mut().filter(|_| is_running)?;
        if gang.oldest_confirmation() + self.settings.lost_after <= now {
            return None;
        }
        let attempt = gang.attempt;
        gang.part(worker)?.renewed_at = now;
        Some(LeaseRef { job: id, attempt })
    }
}
