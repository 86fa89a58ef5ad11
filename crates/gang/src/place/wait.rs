//! Finds the blocks that are expected to be free first, for a gang that has to wait.

use std::collections::BTreeMap;

use crate::WorkerState;
use crate::place::fleet::Fleet;
use crate::place::fleet::Worker;
use crate::place::need::Extent;
use crate::place::need::Slot;
use crate::place::search::Filler;
use crate::place::search::Query;
use crate::place::search::runs_in;
use crate::place::tree::level_of;
use crate::place::tree::low_bits;
use model::Time;

/// A block, and when all of it is expected to be free.
#[derive(Clone, Debug)]
pub(crate) struct Outlook {
    /// What the gang will take.
    pub(crate) slots: Vec<Slot>,
    /// When it is expected to be free.
    pub(crate) at: Time,
}

/// Finds the block that is expected to be free first.
pub(crate) fn foresee(fleet: &Fleet, query: &Query, now: Time) -> Option<Outlook> {
    match query.extent {
        Extent::Worker { accelerators } => foresee_block(fleet, query, now, accelerators),
        Extent::Workers { count } => foresee_workers(fleet, query, now, count),
        Extent::Racks { count } => foresee_racks(fleet, query, now, count),
        Extent::Spread => foresee_spread(fleet, query, now),
    }
}

/// When the holders of some accelerators are expected to have ended.
fn free_at(worker: &Worker, mask: u64, now: Time) -> Time {
    let holders = worker.holders.iter().filter(|holder| holder.mask & mask != 0);
    // A job that runs longer than expected is expected to run as long again.
    let ends = holders.map(|holder| match holder.ends > now {
        true => holder.ends,
        false => now + now.since(holder.begun),
    });
    ends.max().unwrap_or(now)
}

fn open(query: &Query, position: u32, worker: &Worker) -> bool {
    worker.state == WorkerState::Ready && worker.claimed == 0 && query.admits(position, worker)
}

fn foresee_block(fleet: &Fleet, query: &Query, now: Time, count: u32) -> Option<Outlook> {
    let size = 1_usize << level_of(count);
    let mut best: Option<(Time, Slot)> = None;
    for seat in fleet.iter().filter(|seat| open(query, seat.position, seat.worker)) {
        let all = seat.worker.all();
        let starts = (0..seat.worker.info.accelerators).step_by(size);
        for mask in starts.map(|at| low_bits(count) << at).filter(|mask| all & mask == *mask) {
            let at = free_at(seat.worker, mask, now);
            if best.is_none_or(|(least, _)| at < least) {
                let position = seat.position;
                best = Some((at, Slot { position, mask, first: 0, tasks: query.shape.tasks }));
            }
        }
    }
    best.map(|(at, slot)| Outlook { slots: vec![slot], at })
}

/// When each whole worker is expected to be free.
fn worker_times(fleet: &Fleet, query: &Query, now: Time) -> BTreeMap<u32, Time> {
    let seats = fleet.iter().filter(|seat| open(query, seat.position, seat.worker));
    let seats = seats.filter(|seat| seat.worker.info.accelerators > 0);
    seats.map(|seat| (seat.position, free_at(seat.worker, seat.worker.all(), now))).collect()
}

fn foresee_workers(fleet: &Fleet, query: &Query, now: Time, count: u32) -> Option<Outlook> {
    let times = worker_times(fleet, query, now);
    let size = fleet.rack_size();
    let mut best: Option<(Time, u32)> = None;
    for &start in times.keys() {
        if start % size + count > size {
            continue;
        }
        let window: Option<Vec<Time>> =
            (start..start + count).map(|p| times.get(&p).copied()).collect();
        let at = window.and_then(|window| window.into_iter().max());
        if let Some(at) = at.filter(|at| best.is_none_or(|(least, _)| *at < least)) {
            best = Some((at, start));
        }
    }
    let (at, start) = best?;
    fill(fleet, query, start..start + count, at)
}

fn foresee_racks(fleet: &Fleet, query: &Query, now: Time, count: u32) -> Option<Outlook> {
    let times = worker_times(fleet, query, now);
    let size = fleet.rack_size();
    let racks = count.div_ceil(size);
    let mut best: Option<(Time, Vec<u32>)> = None;
    for zone in &fleet.layout.zones {
        for rack in zone.first..(zone.first + zone.racks).saturating_sub(racks - 1) {
            let within = times.range(rack * size..(rack + racks) * size);
            let mut within: Vec<(Time, u32)> = within.map(|(p, at)| (*at, *p)).collect();
            if within.len() < count as usize {
                continue;
            }
            within.sort_unstable();
            within.truncate(count as usize);
            let at = within.last().map_or(now, |(at, _)| *at);
            if best.as_ref().is_none_or(|(least, _)| at < *least) {
                let mut positions: Vec<u32> = within.into_iter().map(|(_, p)| p).collect();
                positions.sort_unstable();
                best = Some((at, positions));
            }
        }
    }
    let (at, positions) = best?;
    fill(fleet, query, positions.into_iter(), at)
}

fn foresee_spread(fleet: &Fleet, query: &Query, now: Time) -> Option<Outlook> {
    let mut order: Vec<(Time, u32)> =
        worker_times(fleet, query, now).into_iter().map(|(p, at)| (at, p)).collect();
    order.sort_unstable();
    let mut filler = Filler::new(query);
    let mut last = now;
    for (at, position) in order {
        let Some(worker) = fleet.at(position) else { continue };
        filler.add(position, worker.all(), capacity(query, worker));
        last = at;
        if filler.done() {
            break;
        }
    }
    filler.finish().map(|slots| Outlook { slots, at: last })
}

fn capacity(query: &Query, worker: &Worker) -> u32 {
    let runs = match query.shape.accelerators {
        0 => u32::MAX,
        each => runs_in(worker.all(), each),
    };
    runs.min(worker.whole().tasks(query.shape))
}

fn fill(
    fleet: &Fleet,
    query: &Query,
    positions: impl Iterator<Item = u32>,
    at: Time,
) -> Option<Outlook> {
    let mut filler = Filler::new(query);
    for position in positions {
        let Some(worker) = fleet.at(position) else { continue };
        filler.add(position, worker.all(), capacity(query, worker));
    }
    filler.finish().map(|slots| Outlook { slots, at })
}
