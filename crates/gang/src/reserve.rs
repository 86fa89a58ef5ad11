//! Reservations for blocked gangs.
//!
//! Without reservations, small jobs that fit at once would keep taking the capacity that a large
//! gang waits for. A blocked gang gets the block that is expected to be free first; other jobs may
//! use that block only if they are expected to end before then (backfilling).

use crate::Shard;
use crate::place::earliest::find_earliest;
use crate::place::resources::Slot;
use crate::place::search::Query;
use crate::place::search::find;
use model::Time;

/// A block reserved for a blocked gang until the jobs in it have ended.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Slots of the block.
    pub(crate) slots: Vec<Slot>,
    /// When the whole block is expected to be free.
    pub(crate) free_at: Time,
}

impl Shard {
    /// Clears all reservations; every scheduling pass makes them again.
    pub(crate) fn clear_reservations(&mut self) {
        for reservation in std::mem::take(&mut self.reservations) {
            self.set_reserved(&reservation.slots, false);
        }
    }

    fn set_reserved(&mut self, slots: &[Slot], is_reserved: bool) {
        for slot in slots {
            self.fleet.update(slot.position, |worker| match is_reserved {
                true => worker.reserved |= slot.mask,
                false => worker.reserved &= !slot.mask,
            });
        }
    }

    /// Reserves the block that is expected to be free first for a blocked gang. Returns when that
    /// is expected, or `None` if no block fits or it overlaps another reservation.
    pub(crate) fn reserve(&mut self, now: Time, query: &Query) -> Option<Time> {
        let earliest = find_earliest(&self.fleet, query, now)?;
        let overlaps = |slot: &Slot| {
            self.fleet.at(slot.position).is_some_and(|worker| worker.reserved & slot.mask != 0)
        };
        if earliest.slots.iter().any(overlaps) {
            return None;
        }
        self.set_reserved(&earliest.slots, true);
        let free_at = earliest.free_at;
        self.reservations.push(Reservation { slots: earliest.slots, free_at });
        Some(free_at)
    }

    /// Finds slots for a job that is expected to end at `ends`, in reserved blocks that are not
    /// needed before then or in unreserved capacity.
    pub(crate) fn backfill(&mut self, ends: Time, query: &Query) -> Option<Vec<Slot>> {
        let usable = self.reservations.iter().filter(|reservation| ends <= reservation.free_at);
        let usable: Vec<Vec<Slot>> = usable.map(|reservation| reservation.slots.clone()).collect();
        if usable.is_empty() {
            return None;
        }
        usable.iter().for_each(|slots| self.set_reserved(slots, false));
        let found = find(&self.fleet, query);
        usable.iter().for_each(|slots| self.set_reserved(slots, true));
        found
    }
}
