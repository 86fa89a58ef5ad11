//! Preemption rules.
//!
//! A job can be preempted by one of higher rank, unless it runs in a guarantee or may run only
//! once. Among jobs of normal rank, one that can resume from a checkpoint can also be preempted
//! once it has run longer than the preempting job is expected to run: with long-tailed run times it
//! will likely run as long again, as in Tiresias (NSDI 2019). The longer the preempting job has
//! waited, the shorter that time becomes.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::place::fleet::Allocation;
use crate::place::resources::Slot;
use model::JobId;
use model::Priority;
use model::Time;

/// Preemption rank of a job, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Uses spare capacity: any other job may preempt it.
    Spare,
    /// Runs outside its account's guarantee.
    Normal,
    /// Runs outside its account's guarantee and is urgent.
    Urgent,
    /// Runs in a block of its account's guarantee.
    Guaranteed,
    /// May run only once, so it is never preempted.
    Pinned,
}

impl Rank {
    /// Rank of a job outside its account's guarantee.
    pub(crate) fn borrowed(priority: Priority, rerunnable: bool) -> Rank {
        match priority {
            _ if !rerunnable => Rank::Pinned,
            Priority::Urgent => Rank::Urgent,
            Priority::Normal => Rank::Normal,
            Priority::Spare => Rank::Spare,
        }
    }
}

/// Parameters of a job that may preempt others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Preemptor {
    /// Jobs of lower rank can be preempted.
    pub(crate) rank: Rank,
    /// Current time, from which the lost work is computed.
    pub(crate) now: Time,
    /// Run time after which resumable jobs of the same, normal rank can be preempted too.
    pub(crate) min_run: Duration,
}

impl Preemptor {
    /// Whether the job that holds `allocation` can be preempted.
    pub(crate) fn may_preempt(&self, allocation: &Allocation) -> bool {
        let lower = allocation.rank < self.rank && allocation.rank < Rank::Guaranteed;
        let ran_enough = self.now.since(allocation.placed_at) >= self.min_run;
        lower
            || (allocation.rank == self.rank
                && self.rank == Rank::Normal
                && allocation.can_checkpoint
                && ran_enough)
    }

    /// Work lost by preempting a job, in accelerator-milliseconds: its run time since the last
    /// checkpoint, or none if it writes one before it leaves, plus the time to start it again, for
    /// each accelerator of the gang.
    pub(crate) fn loss(&self, allocation: &Allocation) -> u64 {
        let millis = match allocation.can_checkpoint {
            true => 0,
            false => self.now.since(allocation.unsaved_since).as_millis() as u64,
        };
        (millis + RESTART_MILLIS) * u64::from(allocation.gang_size.max(1))
    }
}

/// Shortest run time after which a job can be preempted by one of the same rank.
const MIN_RUN: Duration = Duration::from_secs(600);

/// Run time after which a job can be preempted by one of the same rank that is expected to run for
/// `expected` and has waited for `waited`.
pub(crate) fn min_run(expected: Duration, waited: Duration) -> Duration {
    expected.saturating_sub(waited / 4).max(MIN_RUN)
}

/// Time to start a stopped gang again, in milliseconds.
const RESTART_MILLIS: u64 = 2_000;

/// A placement and the jobs that must be preempted for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Plan {
    /// Slots of the placement.
    pub(crate) slots: Vec<Slot>,
    /// Jobs to preempt.
    pub(crate) victims: BTreeSet<JobId>,
    /// Work lost, in accelerator-milliseconds.
    pub(crate) loss: u64,
}
