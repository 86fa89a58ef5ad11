//! Capacity that is kept free for urgent steps while less urgent ones wait.
//!
//! Urgent jobs come and go within seconds. If less urgent tasks took all of the capacity that they
//! leave, the next urgent jobs would have to preempt these tasks again: each would wait for the
//! stops, and the preempted work would be lost. So the capacity that urgent jobs have used at a
//! time within the last seconds stays free for the next ones. While most of the fleet is free, that
//! is not kept from steps which have waited for a while: they may need whole workers, and headroom
//! takes those first.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Planner;
use crate::job::Stage;
use crate::order::PendingStep;
use crate::order::Rank;
use crate::room::Slot;
use crate::spec::Need;
use model::Time;

/// Time for which the peak of the urgent use counts: a few run times of urgent jobs.
const PEAK_TIME: Duration = Duration::from_millis(6_000);
/// Time over which uses are merged into one peak.
const PEAK_STEP: Duration = Duration::from_millis(500);
/// Maximum headroom, in percent of the fleet. More than half of an idle fleet always stays open to
/// less urgent work.
const MAX_FLEET_PERCENT: u64 = 20;
/// For how long headroom may keep a step waiting while most of the fleet is free.
const MAX_HEADROOM_WAIT: Duration = Duration::from_millis(1_500);

/// Capacity in thousandths of a worker, by the resource that is scarcest.
type Share = u64;

/// Capacity of one worker.
const WORKER_SHARE: Share = 1_000;

/// Recent capacity use of urgent steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct UrgentUse {
    /// Peaks by the time at which their step began, the oldest first.
    peaks: VecDeque<(Time, Share)>,
}

impl UrgentUse {
    /// Records the present use and returns the highest one within [`PEAK_TIME`].
    fn record(&mut self, now: Time, used: Share) -> Share {
        match self.peaks.back_mut() {
            Some((at, peak)) if now.since(*at) < PEAK_STEP => *peak = (*peak).max(used),
            _ => self.peaks.push_back((now, used)),
        }
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > PEAK_TIME) {
            self.peaks.pop_front();
        }
        self.peaks.iter().map(|(_, peak)| *peak).max().unwrap_or(used)
    }
}

impl Planner {
    /// Withholds the emptiest slots from less urgent steps, as many as urgent steps used beyond
    /// their present use within the last seconds.
    pub(crate) fn keep_headroom(
        &mut self,
        now: Time,
        pending_steps: &[PendingStep],
        slots: &mut [Slot],
    ) {
        let used = self.urgent_use();
        let peak = self.urgent_peaks.record(now, used);
        if mostly_free(slots) && pending_steps.iter().any(|pending| self.waits_long(now, pending)) {
            return;
        }
        let most = slots.len() as Share * WORKER_SHARE * MAX_FLEET_PERCENT / 100;
        let mut missing = peak.saturating_sub(used).min(most);
        // Whole workers are kept, since an urgent task may need one.
        let mut emptiest: Vec<(Share, usize)> = slots
            .iter()
            .enumerate()
            .map(|(at, slot)| (free_share(&slot.free, &slot.info.capacity), at))
            .filter(|(free, _)| *free > 0)
            .collect();
        emptiest.sort_unstable_by(|a, b| b.cmp(a));
        for (free, at) in emptiest {
            if missing == 0 {
                return;
            }
            slots[at].withheld = true;
            missing = missing.saturating_sub(free);
        }
    }

    /// Whether a less urgent step has waited for longer than headroom may keep it waiting.
    fn waits_long(&self, now: Time, pending: &PendingStep) -> bool {
        if matches!(pending.rank, Rank::Guaranteed | Rank::Priority(0)) {
            return false;
        }
        let Some(job) = self.jobs.get(&pending.job) else { return false };
        let step = &job.occurrences[pending.occurrence][pending.step];
        step.waiting() && step.ready_at.is_some_and(|since| since + MAX_HEADROOM_WAIT <= now)
    }

    /// Capacity in use by or reserved for steps of the highest priority.
    fn urgent_use(&self) -> Share {
        let mut used = 0;
        for job in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            let queue = self.policy.queue(job);
            if queue.is_none_or(|queue| queue.priority > 0) {
                continue;
            }
            for (spec, step) in
                job.occurrences.iter().flat_map(|steps| job.spec.steps.iter().zip(steps))
            {
                for task in &step.tasks {
                    let id = match &task.stage {
                        Stage::Placed(run) => &run.worker,
                        Stage::Reserved(worker) => worker,
                        Stage::Idle => continue,
                    };
                    let Some(worker) = self.workers.get(id) else { continue };
                    used += used_share(&spec.need, &worker.info.capacity);
                }
            }
        }
        used
    }
}

/// Whether at most half of each resource is in use.
fn mostly_free(slots: &[Slot]) -> bool {
    let mut capacity = Need::default();
    let mut used_twice = Need::default();
    for slot in slots {
        let used = slot.info.capacity.less(&slot.free);
        capacity.add(&slot.info.capacity);
        used_twice.add(&used);
        used_twice.add(&used);
    }
    used_twice.fits(&capacity)
}

/// The largest part of a worker's resources that a task needs.
fn used_share(need: &Need, capacity: &Need) -> Share {
    let part = |need: u64, all: u64| share(need, all).unwrap_or(0);
    let cores = part(need.cpu, capacity.cpu).max(part(need.memory, capacity.memory));
    cores.max(part(need.gpu, capacity.gpu)).min(WORKER_SHARE)
}

/// The smallest part of a worker's resources that is free.
fn free_share(free: &Need, capacity: &Need) -> Share {
    let part = |free: u64, all: u64| share(free, all).unwrap_or(WORKER_SHARE);
    let cores = part(free.cpu, capacity.cpu).min(part(free.memory, capacity.memory));
    cores.min(part(free.gpu, capacity.gpu))
}

/// Share that `part` is of `whole`; `None` of nothing.
fn share(part: u64, whole: u64) -> Option<Share> {
    let share = (u128::from(part) * u128::from(WORKER_SHARE)).checked_div(u128::from(whole))?;
    Some(Share::try_from(share).unwrap_or(Share::MAX))
}
