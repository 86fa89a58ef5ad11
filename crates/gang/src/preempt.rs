//! Who makes room for whom.
//!
//! A job makes room for one of higher rank. Among jobs of normal rank, one that can be resumed from
//! a checkpoint makes room once it has run longer than the asker is expected to run: under
//! long-tailed run times it will likely run as long again, as in Tiresias (NSDI 2019). The longer
//! the asker waits, the shorter that time becomes.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::place::fleet::Allocation;
use crate::place::need::Slot;
use model::JobId;
use model::Priority;
use model::Time;

/// How a job stands against preemption, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Uses what nobody else wants.
    Spare,
    /// Borrows capacity.
    Normal,
    /// Borrows capacity and is urgent.
    Urgent,
    /// Runs inside its account's guarantee.
    Guaranteed,
    /// Cannot run again, so it is never stopped for another job.
    Pinned,
}

impl Rank {
    /// Rank of a job outside any guarantee.
    pub(crate) fn borrowed(priority: Priority, rerunnable: bool) -> Rank {
        match priority {
            _ if !rerunnable => Rank::Pinned,
            Priority::Urgent => Rank::Urgent,
            Priority::Normal => Rank::Normal,
            Priority::Spare => Rank::Spare,
        }
    }
}

/// Who asks for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Preemptor {
    /// Jobs of lower rank make room.
    pub(crate) rank: Rank,
    /// The time, for the work lost.
    pub(crate) now: Time,
    /// Jobs of the same rank that have run at least this long and can be resumed make room too.
    pub(crate) min_run: Duration,
}

impl Preemptor {
    /// Whether a job makes room.
    pub(crate) fn may_preempt(&self, allocation: &Allocation) -> bool {
        let lower = allocation.rank < self.rank && allocation.rank < Rank::Guaranteed;
        let min_run = self.now.since(allocation.placed_at) >= self.min_run;
        lower
            || (allocation.rank == self.rank
                && self.rank == Rank::Normal
                && allocation.can_checkpoint
                && min_run)
    }

    /// Work that is lost with a job, in accelerator-milliseconds, and a little for the trouble.
    pub(crate) fn loss(&self, allocation: &Allocation) -> u64 {
        let millis = match allocation.can_checkpoint {
            true => 0,
            false => self.now.since(allocation.unsaved_since).as_millis() as u64,
        };
        (millis + RESTART_MILLIS) * u64::from(allocation.gang_size.max(1))
    }
}

/// Shortest run after which a job makes room for one of the same rank.
const MIN_RUN: Duration = Duration::from_secs(600);

/// How long a job must have run to make room for one of the same rank.
pub(crate) fn min_run(expected: Duration, waited: Duration) -> Duration {
    expected.saturating_sub(waited / 4).max(MIN_RUN)
}

/// Time that a stopped gang needs to run again, in milliseconds.
const RESTART_MILLIS: u64 = 2_000;

/// Where a job goes and who makes room for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Plan {
    /// What it takes.
    pub(crate) slots: Vec<Slot>,
    /// Who is stopped.
    pub(crate) victims: BTreeSet<JobId>,
    /// Work lost, in accelerator-milliseconds.
    pub(crate) loss: u64,
}
