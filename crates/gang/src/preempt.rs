//! Who makes room for whom.

use crate::place::fleet::Holder;
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
pub(crate) struct Asker {
    /// Jobs of lower rank make room.
    pub(crate) rank: Rank,
    /// The time, for the work lost.
    pub(crate) now: Time,
}

impl Asker {
    /// Whether a job makes room.
    pub(crate) fn may_take(&self, holder: &Holder) -> bool {
        holder.rank < self.rank && holder.rank < Rank::Guaranteed
    }

    /// Work that is lost with a job, in accelerator-milliseconds, and a little for the trouble.
    pub(crate) fn loss(&self, holder: &Holder) -> u64 {
        let millis = self.now.since(holder.since).as_millis() as u64;
        (millis + RESTART_MILLIS) * u64::from(holder.size.max(1))
    }
}

/// Time that a stopped gang needs to run again, in milliseconds.
const RESTART_MILLIS: u64 = 2_000;

/// Where a job goes and who makes room for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Plan {
    /// What it takes.
    pub(crate) slots: Vec<crate::place::need::Slot>,
    /// Who is stopped.
    pub(crate) victims: std::collections::BTreeSet<JobId>,
    /// Work lost, in accelerator-milliseconds.
    pub(crate) loss: u64,
}
