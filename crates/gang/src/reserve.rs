//! Room kept for a gang that is blocked.
//!
//! Without it, small jobs that fit at once would keep taking the room that a large gang waits for.
//! The blocked gang gets the block that is expected to be free first; others may use that block
//! only if they are expected to have ended by then (backfill).

use crate::Shard;
use crate::place::need::Slot;
use crate::place::search::Query;
use crate::place::search::find;
use crate::place::wait::foresee;
use model::Time;

/// Room kept for a gang that is blocked, until the jobs in it have ended.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// What it will take.
    pub(crate) slots: Vec<Slot>,
    /// When all of it is expected to be free.
    pub(crate) at: Time,
}

impl Shard {
    /// Gives up all reservations; a pass makes them anew.
    pub(crate) fn lift_reservations(&mut self) {
        for reservation in std::mem::take(&mut self.reservations) {
            self.keep(&reservation.slots, false);
        }
    }

    fn keep(&mut self, slots: &[Slot], kept: bool) {
        for slot in slots {
            self.fleet.update(slot.position, |worker| match kept {
                true => worker.kept |= slot.mask,
                false => worker.kept &= !slot.mask,
            });
        }
    }

    /// Keeps the block that is expected to be free first for a blocked gang; when that is.
    pub(crate) fn reserve(&mut self, now: Time, query: &Query) -> Option<Time> {
        let outlook = foresee(&self.fleet, query, now)?;
        let overlaps = |slot: &Slot| {
            self.fleet.at(slot.position).is_some_and(|worker| worker.kept & slot.mask != 0)
        };
        if outlook.slots.iter().any(overlaps) {
            return None;
        }
        self.keep(&outlook.slots, true);
        let at = outlook.at;
        self.reservations.push(Reservation { slots: outlook.slots, at });
        Some(at)
    }

    /// Finds room in reserved blocks for a job that is expected to end in time.
    pub(crate) fn backfill(&mut self, ends: Time, query: &Query) -> Option<Vec<Slot>> {
        let late = self.reservations.iter().filter(|reservation| ends <= reservation.at);
        let late: Vec<Vec<Slot>> = late.map(|reservation| reservation.slots.clone()).collect();
        if late.is_empty() {
            return None;
        }
        late.iter().for_each(|slots| self.keep(slots, false));
        let found = find(&self.fleet, query);
        late.iter().for_each(|slots| self.keep(slots, true));
        found
    }
}
