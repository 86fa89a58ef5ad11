//! Best-fit search for free blocks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::WorkerState;
use crate::place::fleet::Fleet;
use crate::place::fleet::SpareCores;
use crate::place::fleet::Worker;
use crate::place::layout::ZoneSpan;
use crate::place::resources::Extent;
use crate::place::resources::Resources;
use crate::place::resources::Slot;
use crate::place::tree::level_of;
use crate::place::tree::low_bits;
use model::GangShape;

/// Number of blocks of one level that are examined before the search moves to the next level.
const MAX_BLOCKS_PER_LEVEL: usize = 64;

/// A gang to place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query<'a> {
    /// Tasks and resources of the gang.
    pub(crate) shape: &'a GangShape,
    /// Kind of block that it takes.
    pub(crate) extent: Extent,
    /// Positions of workers that it must not use.
    pub(crate) avoid: &'a BTreeSet<u32>,
    /// Whether it may run on a worker that is being probed; false for jobs that may run only once.
    pub(crate) may_probe: bool,
}

impl Query<'_> {
    /// Whether the gang may use a worker, regardless of free capacity.
    pub(crate) fn admits(&self, position: u32, worker: &Worker) -> bool {
        let may_probe = worker.state != WorkerState::Probing || self.may_probe;
        may_probe && !self.avoid.contains(&position)
    }

    /// Resources that `tasks` tasks of the gang need.
    pub(crate) fn resources_for(&self, tasks: u32) -> Resources {
        Resources {
            accelerators: tasks.saturating_mul(self.shape.accelerators),
            millicores: tasks.saturating_mul(self.shape.millicores),
            memory: tasks.saturating_mul(self.shape.memory_mib),
        }
    }
}

/// Finds a placement on free accelerators.
pub(crate) fn find(fleet: &Fleet, query: &Query) -> Option<Vec<Slot>> {
    match query.extent {
        Extent::Worker { accelerators: 0 } => find_cores(fleet, query),
        Extent::Worker { accelerators } => find_block(fleet, query, accelerators),
        Extent::Workers { count } => find_workers(fleet, query, count),
        Extent::Racks { count } => find_racks(fleet, query, count),
        Extent::Spread if query.shape.accelerators == 0 => spread_on_cores(fleet, query),
        Extent::Spread => {
            fleet.layout.zones.iter().find_map(|zone| spread_in_zone(fleet, query, zone))
        }
    }
}

fn find_cores(fleet: &Fleet, query: &Query) -> Option<Vec<Slot>> {
    let tasks = query.shape.tasks;
    let least = SpareCores { millicores: query.resources_for(tasks).millicores, position: 0 };
    let fits = |cores: &&SpareCores| {
        fleet.at(cores.position).is_some_and(|worker| {
            query.admits(cores.position, worker)
                && worker.available(0).task_capacity(query.shape) >= tasks
        })
    };
    let cores = fleet.cores.range(least..).take(MAX_BLOCKS_PER_LEVEL).find(fits)?;
    Some(vec![Slot { position: cores.position, mask: 0, first: 0, tasks }])
}

fn spread_on_cores(fleet: &Fleet, query: &Query) -> Option<Vec<Slot>> {
    fleet.layout.zones.iter().find_map(|zone| {
        let inside = |position: u32| {
            let rack = fleet.layout.rack(position);
            (zone.first..zone.first + zone.racks).contains(&rack)
        };
        let mut assigner = TaskAssigner::new(query);
        for cores in fleet.cores.iter().rev().filter(|cores| inside(cores.position)) {
            let Some(worker) = fleet.at(cores.position) else { continue };
            if query.admits(cores.position, worker) {
                assigner.add(cores.position, 0, worker.available(0).task_capacity(query.shape));
            }
            if assigner.done() {
                return assigner.finish();
            }
        }
        None
    })
}

fn find_block(fleet: &Fleet, query: &Query, accelerators: u32) -> Option<Vec<Slot>> {
    let wanted = query.resources_for(query.shape.tasks);
    let fits = |position: u32| {
        fleet.at(position).is_some_and(|worker| {
            query.admits(position, worker)
                && worker.millicores >= wanted.millicores
                && worker.memory >= wanted.memory
        })
    };
    let slot = |position, mask| Slot { position, mask, first: 0, tasks: query.shape.tasks };
    let width = fleet.free.width();
    for level in level_of(accelerators)..=fleet.free.top() {
        for first in sub_blocks(fleet, level, level_of(accelerators).max(width.min(level))) {
            let position = first >> width;
            if fits(position) {
                let offset = first - (position << width);
                return Some(vec![slot(position, low_bits(accelerators) << offset)]);
            }
        }
    }
    if accelerators.is_power_of_two() {
        return None;
    }
    fleet.iter().find_map(|entry| {
        let mask = lowest_run(fleet.free.mask(entry.position), accelerators)?;
        fits(entry.position).then(|| vec![slot(entry.position, mask)])
    })
}

/// Free blocks of a level, split into blocks of the `lower` level; at most
/// [`MAX_BLOCKS_PER_LEVEL`].
fn sub_blocks(fleet: &Fleet, level: u32, lower: u32) -> impl Iterator<Item = u32> {
    let blocks = fleet.free.blocks(level).iter();
    let cut = move |first: &u32| {
        let first = *first;
        (0..1_u32 << (level - lower)).map(move |index| first + (index << lower))
    };
    blocks.flat_map(cut).take(MAX_BLOCKS_PER_LEVEL)
}

/// The lowest run of `count` consecutive set bits in `mask`; `None` if there is none.
pub(crate) fn lowest_run(mask: u64, count: u32) -> Option<u64> {
    let wanted = low_bits(count);
    (0..=u64::BITS.saturating_sub(count)).map(|at| wanted << at).find(|run| mask & run == *run)
}

/// Whether a worker is completely free, can run a task and may be used.
fn is_wholly_free(fleet: &Fleet, query: &Query, position: u32) -> bool {
    fleet.at(position).is_some_and(|worker| {
        worker.info.accelerators > 0
            && fleet.free.mask(position) == worker.all_accelerators()
            && worker.available(worker.info.accelerators).task_capacity(query.shape) > 0
            && query.admits(position, worker)
    })
}

fn find_workers(fleet: &Fleet, query: &Query, count: u32) -> Option<Vec<Slot>> {
    let width = fleet.free.width();
    for level in width + level_of(count)..=fleet.free.top() {
        for first in sub_blocks(fleet, level, width + level_of(count)) {
            let start = first >> width;
            let found = fill_free_workers(fleet, query, start..start + count);
            if found.is_some() {
                return found;
            }
        }
    }
    let mut best: Option<Run> = None;
    for zone in &fleet.layout.zones {
        for rack in zone.first..zone.first + zone.racks {
            let run = shortest_run(fleet, query, rack, count);
            best = [best, run].into_iter().flatten().min_by_key(|run| run.length);
        }
    }
    let run = best?;
    fill_free_workers(fleet, query, run.start..run.start + run.length)
}

#[derive(Clone, Copy, Debug)]
struct Run {
    start: u32,
    length: u32,
}

fn shortest_run(fleet: &Fleet, query: &Query, rack: u32, count: u32) -> Option<Run> {
    let base = rack << fleet.layout.depth;
    let mut best: Option<Run> = None;
    let mut current = Run { start: base, length: 0 };
    for position in base..=base + fleet.rack_size() {
        let inside = position < base + fleet.rack_size();
        if inside && is_wholly_free(fleet, query, position) {
            current.length += 1;
            continue;
        }
        let better = best.is_none_or(|best| current.length < best.length);
        if current.length >= count && better && run_fits(fleet, query, &current) {
            best = Some(current);
        }
        current = Run { start: position + 1, length: 0 };
    }
    best
}

fn run_fits(fleet: &Fleet, query: &Query, run: &Run) -> bool {
    fill_free_workers(fleet, query, run.start..run.start + run.length).is_some()
}

fn find_racks(fleet: &Fleet, query: &Query, count: u32) -> Option<Vec<Slot>> {
    let least = count.div_ceil(fleet.rack_size());
    let zones = fleet.layout.zones.iter();
    let rows: Vec<FreeWorkersByRack> =
        zones.map(|zone| FreeWorkersByRack::new(fleet, query, zone)).collect();
    for racks in least..=least + 1 {
        let windows = rows.iter().flat_map(|row| row.windows(racks));
        let enough = windows.filter(|window| window.free_workers >= count);
        let best = enough.min_by_key(|window| window.free_workers);
        if let Some(window) = best {
            let size = fleet.rack_size();
            let found =
                fill_free_workers(fleet, query, window.rack * size..(window.rack + racks) * size);
            if found.is_some() {
                return found;
            }
        }
    }
    None
}

/// Number of completely free workers in each rack of an availability zone.
struct FreeWorkersByRack {
    first: u32,
    free_workers: Vec<u32>,
}

struct RackWindow {
    rack: u32,
    free_workers: u32,
}

impl FreeWorkersByRack {
    fn new(fleet: &Fleet, query: &Query, zone: &ZoneSpan) -> FreeWorkersByRack {
        let size = fleet.rack_size();
        let count = |rack: u32| {
            let positions = rack * size..(rack + 1) * size;
            positions.filter(|position| is_wholly_free(fleet, query, *position)).count() as u32
        };
        let free_workers = (zone.first..zone.first + zone.racks).map(count).collect();
        FreeWorkersByRack { first: zone.first, free_workers }
    }

    fn windows(&self, racks: u32) -> impl Iterator<Item = RackWindow> {
        self.free_workers.windows(racks as usize).enumerate().map(|(index, window)| RackWindow {
            rack: self.first + index as u32,
            free_workers: window.iter().sum(),
        })
    }
}

/// Assigns all tasks to the completely free workers among `positions`, in order.
fn fill_free_workers(
    fleet: &Fleet,
    query: &Query,
    positions: impl Iterator<Item = u32>,
) -> Option<Vec<Slot>> {
    let mut assigner = TaskAssigner::new(query);
    for position in positions {
        if !is_wholly_free(fleet, query, position) {
            continue;
        }
        let Some(worker) = fleet.at(position) else { continue };
        let available = worker.available(worker.info.accelerators);
        assigner.add(position, worker.all_accelerators(), available.task_capacity(query.shape));
        if assigner.done() {
            return assigner.finish();
        }
    }
    None
}

fn spread_in_zone(fleet: &Fleet, query: &Query, zone: &ZoneSpan) -> Option<Vec<Slot>> {
    let each = query.shape.accelerators;
    let width = fleet.free.width();
    let size = fleet.rack_size();
    let inside = zone.first * size..(zone.first + zone.racks) * size;
    let mut masks: BTreeMap<u32, u64> = BTreeMap::new();
    let mut found = 0;
    for level in level_of(each)..=fleet.free.top() {
        for &first in fleet.free.blocks(level) {
            if found >= query.shape.tasks {
                break;
            }
            let workers = 1_u32 << level.saturating_sub(width);
            for position in first >> width..(first >> width) + workers {
                if found >= query.shape.tasks || !inside.contains(&position) {
                    continue;
                }
                let Some(worker) = fleet.at(position) else { continue };
                if !query.admits(position, worker) {
                    continue;
                }
                let offset = if level < width { first - (position << width) } else { 0 };
                let block = low_bits(1 << level.min(width)) << offset;
                let entry = masks.entry(position).or_default();
                let before = tasks_on(query, worker, *entry);
                *entry |= block;
                found += tasks_on(query, worker, *entry) - before;
            }
        }
    }
    let mut assigner = TaskAssigner::new(query);
    for (position, mask) in masks {
        let Some(worker) = fleet.at(position) else { continue };
        assigner.add(position, mask, tasks_on(query, worker, mask));
    }
    assigner.finish()
}

/// Number of tasks that fit on some accelerators of a worker, each on adjacent ones.
pub(crate) fn tasks_on(query: &Query, worker: &Worker, mask: u64) -> u32 {
    count_runs(mask, query.shape.accelerators)
        .min(worker.available(u32::MAX).task_capacity(query.shape))
}

/// Number of disjoint runs of `count` consecutive set bits in `mask`.
pub(crate) fn count_runs(mask: u64, count: u32) -> u32 {
    let mut rest = mask;
    let mut runs = 0;
    while let Some(run) = lowest_run(rest, count) {
        rest &= !run;
        runs += 1;
    }
    runs
}

/// Assigns the tasks of a gang to workers in order.
pub(crate) struct TaskAssigner<'a> {
    query: &'a Query<'a>,
    slots: Vec<Slot>,
    next: u32,
}

impl<'a> TaskAssigner<'a> {
    /// Creates an assigner that has not assigned any task.
    pub(crate) fn new(query: &'a Query<'a>) -> TaskAssigner<'a> {
        TaskAssigner { query, slots: Vec::new(), next: 0 }
    }

    /// Whether all tasks are assigned.
    pub(crate) fn done(&self) -> bool {
        self.next >= self.query.shape.tasks
    }

    /// Assigns up to `room` tasks to a worker, on accelerators in `mask`.
    pub(crate) fn add(&mut self, position: u32, mask: u64, room: u32) {
        let tasks = room.min(self.query.shape.tasks - self.next);
        if tasks == 0 {
            return;
        }
        let mut rest = mask;
        let mut taken = 0;
        for _ in 0..tasks {
            if self.query.shape.accelerators == 0 {
                break;
            }
            let Some(run) = lowest_run(rest, self.query.shape.accelerators) else { return };
            rest &= !run;
            taken |= run;
        }
        self.slots.push(Slot { position, mask: taken, first: self.next, tasks });
        self.next += tasks;
    }

    /// The placement; `None` if a task is left without a worker.
    pub(crate) fn finish(self) -> Option<Vec<Slot>> {
        (self.next >= self.query.shape.tasks).then_some(self.slots)
    }
}
