//! Search for the block that is expected to be free first, for a gang that has to wait.

use std::collections::BTreeMap;

use crate::WorkerState;
use crate::place::fleet::Fleet;
use crate::place::fleet::Worker;
use crate::place::resources::Extent;
use crate::place::resources::Slot;
use crate::place::search::Query;
use crate::place::search::TaskAssigner;
use crate::place::search::count_runs;
use crate::place::tree::level_of;
use crate::place::tree::low_bits;
use model::Time;

/// A block and when it is expected to be free.
#[derive(Clone, Debug)]
pub(crate) struct EarliestFit {
    /// Slots of the placement.
    pub(crate) slots: Vec<Slot>,
    /// When the whole block is expected to be free.
    pub(crate) free_at: Time,
}

/// Finds the block that is expected to be free first.
pub(crate) fn find_earliest(fleet: &Fleet, query: &Query, now: Time) -> Option<EarliestFit> {
    match query.extent {
        Extent::Worker { accelerators } => earliest_block(fleet, query, now, accelerators),
        Extent::Workers { count } => earliest_workers(fleet, query, now, count),
        Extent::Racks { count } => earliest_racks(fleet, query, now, count),
        Extent::Spread => earliest_spread(fleet, query, now),
    }
}

/// When all jobs on some accelerators of a worker are expected to have ended.
fn expected_free_at(worker: &Worker, mask: u64, now: Time) -> Time {
    let allocations = worker.allocations.iter().filter(|allocation| allocation.mask & mask != 0);
    // A job that has outrun its estimate is expected to run for as long again.
    let ends = allocations.map(|allocation| match allocation.expected_end > now {
        true => allocation.expected_end,
        false => now + now.since(allocation.placed_at),
    });
    ends.max().unwrap_or(now)
}

fn is_candidate(query: &Query, position: u32, worker: &Worker) -> bool {
    worker.state == WorkerState::Ready && worker.claimed == 0 && query.admits(position, worker)
}

fn earliest_block(fleet: &Fleet, query: &Query, now: Time, count: u32) -> Option<EarliestFit> {
    let size = 1_usize << level_of(count);
    let mut best: Option<(Time, Slot)> = None;
    for entry in fleet.iter().filter(|entry| is_candidate(query, entry.position, entry.worker)) {
        let all = entry.worker.all_accelerators();
        let starts = (0..entry.worker.info.accelerators).step_by(size);
        for mask in starts.map(|start| low_bits(count) << start).filter(|mask| all & mask == *mask)
        {
            let free_at = expected_free_at(entry.worker, mask, now);
            if best.is_none_or(|(least, _)| free_at < least) {
                let position = entry.position;
                best = Some((free_at, Slot { position, mask, first: 0, tasks: query.shape.tasks }));
            }
        }
    }
    best.map(|(free_at, slot)| EarliestFit { slots: vec![slot], free_at })
}

/// When each worker is expected to be completely free, by position.
fn worker_times(fleet: &Fleet, query: &Query, now: Time) -> BTreeMap<u32, Time> {
    let entries = fleet.iter().filter(|entry| is_candidate(query, entry.position, entry.worker));
    let entries = entries.filter(|entry| entry.worker.info.accelerators > 0);
    entries
        .map(|entry| {
            (entry.position, expected_free_at(entry.worker, entry.worker.all_accelerators(), now))
        })
        .collect()
}

fn earliest_workers(fleet: &Fleet, query: &Query, now: Time, count: u32) -> Option<EarliestFit> {
    let times = worker_times(fleet, query, now);
    let size = fleet.rack_size();
    let mut best: Option<(Time, u32)> = None;
    for &start in times.keys() {
        if start % size + count > size {
            continue;
        }
        let window: Option<Vec<Time>> =
            (start..start + count).map(|p| times.get(&p).copied()).collect();
        let free_at = window.and_then(|window| window.into_iter().max());
        if let Some(free_at) =
            free_at.filter(|free_at| best.is_none_or(|(least, _)| *free_at < least))
        {
            best = Some((free_at, start));
        }
    }
    let (free_at, start) = best?;
    assign_workers(fleet, query, start..start + count, free_at)
}

fn earliest_racks(fleet: &Fleet, query: &Query, now: Time, count: u32) -> Option<EarliestFit> {
    let times = worker_times(fleet, query, now);
    let size = fleet.rack_size();
    let racks = count.div_ceil(size);
    let mut best: Option<(Time, Vec<u32>)> = None;
    for zone in &fleet.layout.zones {
        for rack in zone.first..(zone.first + zone.racks).saturating_sub(racks - 1) {
            let within = times.range(rack * size..(rack + racks) * size);
            let mut within: Vec<(Time, u32)> = within.map(|(p, free_at)| (*free_at, *p)).collect();
            if within.len() < count as usize {
                continue;
            }
            within.sort_unstable();
            within.truncate(count as usize);
            let free_at = within.last().map_or(now, |(free_at, _)| *free_at);
            if best.as_ref().is_none_or(|(least, _)| free_at < *least) {
                let mut positions: Vec<u32> = within.into_iter().map(|(_, p)| p).collect();
                positions.sort_unstable();
                best = Some((free_at, positions));
            }
        }
    }
    let (free_at, positions) = best?;
    assign_workers(fleet, query, positions.into_iter(), free_at)
}

fn earliest_spread(fleet: &Fleet, query: &Query, now: Time) -> Option<EarliestFit> {
    let mut order: Vec<(Time, u32)> =
        worker_times(fleet, query, now).into_iter().map(|(p, free_at)| (free_at, p)).collect();
    order.sort_unstable();
    let mut assigner = TaskAssigner::new(query);
    let mut last = now;
    for (free_at, position) in order {
        let Some(worker) = fleet.at(position) else { continue };
        assigner.add(position, worker.all_accelerators(), task_capacity(query, worker));
        last = free_at;
        if assigner.done() {
            break;
        }
    }
    assigner.finish().map(|slots| EarliestFit { slots, free_at: last })
}

fn task_capacity(query: &Query, worker: &Worker) -> u32 {
    let runs = match query.shape.accelerators {
        0 => u32::MAX,
        each => count_runs(worker.all_accelerators(), each),
    };
    runs.min(worker.capacity().task_capacity(query.shape))
}

fn assign_workers(
    fleet: &Fleet,
    query: &Query,
    positions: impl Iterator<Item = u32>,
    free_at: Time,
) -> Option<EarliestFit> {
    let mut assigner = TaskAssigner::new(query);
    for position in positions {
        let Some(worker) = fleet.at(position) else { continue };
        assigner.add(position, worker.all_accelerators(), task_capacity(query, worker));
    }
    assigner.finish().map(|slots| EarliestFit { slots, free_at })
}
