//! Positions of workers in the shard's address space.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::WorkerInfo;
use crate::place::tree::level_of;
use model::RackId;
use model::WorkerId;
use model::ZoneId;

/// Racks of one availability zone, as a range of rack numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ZoneSpan {
    /// Number of the first rack.
    pub(crate) first: u32,
    /// Number of racks.
    pub(crate) racks: u32,
}

/// Positions of workers in the shard's address space.
#[derive(Clone, Debug, Default)]
pub(crate) struct Layout {
    /// Level of a worker: it is padded to `2^width` accelerators.
    pub(crate) width: u32,
    /// Level of a rack relative to a worker: it is padded to `2^depth` workers.
    pub(crate) depth: u32,
    /// Level of the whole address space relative to a worker: it has `2^height` positions.
    pub(crate) height: u32,
    /// Availability zones.
    pub(crate) zones: Vec<ZoneSpan>,
    /// Position of each worker.
    pub(crate) positions: BTreeMap<WorkerId, u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RackOrder {
    prefix: String,
    number: u64,
    id: RackId,
}

impl RackOrder {
    fn new(id: &RackId) -> RackOrder {
        let prefix = id.as_str().trim_end_matches(|c: char| c.is_ascii_digit());
        let number = id.as_str()[prefix.len()..].parse().unwrap_or(0);
        RackOrder { prefix: prefix.to_owned(), number, id: id.clone() }
    }
}

impl Layout {
    /// Assigns positions to a list of workers, with racks in natural order of their names, so that
    /// r10 follows r9.
    pub(crate) fn new(list: &[WorkerInfo]) -> Layout {
        let mut zones: BTreeMap<&ZoneId, BTreeMap<RackOrder, Vec<&WorkerInfo>>> = BTreeMap::new();
        for info in list {
            let racks = zones.entry(&info.zone).or_default();
            racks.entry(RackOrder::new(&info.rack)).or_default().push(info);
        }
        let widest = list.iter().map(|w| w.accelerators).max().unwrap_or(1);
        let deepest = zones.values().flat_map(|racks| racks.values()).map(|r| rack_slots(r)).max();
        let mut layout = Layout {
            width: level_of(widest),
            depth: level_of(deepest.unwrap_or(1)),
            ..Layout::default()
        };
        let mut next = 0;
        for racks in zones.values() {
            let count = racks.len() as u32;
            let pad = count.next_power_of_two();
            next = u32::next_multiple_of(next, pad);
            layout.zones.push(ZoneSpan { first: next, racks: count });
            for (rack, workers) in racks.values().enumerate() {
                layout.place_rack(next + rack as u32, workers);
            }
            next += pad;
        }
        layout.height = layout.depth + level_of(next);
        layout
    }

    fn place_rack(&mut self, rack: u32, workers: &[&WorkerInfo]) {
        let base = rack << self.depth;
        let mut taken = BTreeSet::new();
        let size = 1_u32 << self.depth;
        for info in workers {
            let start = info.slot % size;
            let free = (0..size).map(|i| (start + i) % size).find(|slot| !taken.contains(slot));
            let slot = free.unwrap_or(start);
            taken.insert(slot);
            self.positions.insert(info.id.clone(), base + slot);
        }
    }

    /// Number of the rack at a position.
    pub(crate) fn rack(&self, position: u32) -> u32 {
        position >> self.depth
    }
}

fn rack_slots(workers: &[&WorkerInfo]) -> u32 {
    let last = workers.iter().map(|w| w.slot + 1).max().unwrap_or(1);
    let count = workers.len() as u32;
    // A rack whose slot numbers have large gaps is packed.
    if last > 4 * count.next_power_of_two() { count } else { last.max(count) }
}
