//! Checks that the guarantees of all accounts fit into the workers together.
//!
//! Uses best fit decreasing: guarantees are placed in order of adjacency, then from the largest to
//! the smallest, each where it leaves the least free capacity. This is exact if the sizes of
//! guarantees and racks are powers of two.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Fault;
use crate::Position;
use crate::Text;
use model::Adjacency;
use model::GangShape;
use model::ZoneId;

/// Size of the fleet: the workers of all availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneId, ZoneSize>,
}

/// Size of one availability zone; all racks and workers in it are alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSize {
    /// Number of racks.
    pub racks: u32,
    /// Number of workers in each rack.
    pub workers: u32,
    /// Resources of each worker.
    pub worker: WorkerSize,
}

/// Resources of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSize {
    /// Number of accelerators.
    pub accelerators: u32,
    /// CPU capacity, in thousandths of a core.
    pub millicores: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
}

impl WorkerSize {
    /// Number of tasks of `shape` that fit into one empty worker.
    fn tasks(&self, shape: &GangShape) -> u32 {
        let accelerators = self.accelerators / shape.accelerators.max(1);
        let cores = self.millicores / shape.millicores.max(1);
        let memory = self.memory_mib / shape.memory_mib.max(1);
        accelerators.min(cores).min(memory)
    }
}

/// Number of free accelerators of each worker in a rack.
type Rack = Vec<u32>;

/// Availability zone with the capacity that is left.
struct Zone {
    size: ZoneSize,
    racks: Vec<Rack>,
}

/// Guarantee to place, with the path of its field.
struct Guarantee<'t> {
    path: String,
    shape: &'t GangShape,
}

/// Reports each guarantee that does not fit into the workers together with the others.
pub fn check_guarantees(text: &Text, fleet: &FleetSize) -> Vec<Fault> {
    let mut zones: Vec<Zone> = fleet.zones.values().map(|size| Zone::new(*size)).collect();
    let mut guarantees = Vec::new();
    for (name, account) in &text.accounts {
        for (index, shape) in account.guarantees.iter().enumerate() {
            guarantees
                .push(Guarantee { path: format!("accounts.{name}.guarantees[{index}]"), shape });
        }
    }
    guarantees.sort_by_key(|guarantee| {
        (placement_order(guarantee.shape.adjacency), Reverse(guarantee.shape.total_accelerators()))
    });
    let mut faults = Vec::new();
    for guarantee in &guarantees {
        if !place_in_zones(&mut zones, guarantee.shape) {
            faults.push(unfit_fault(text, fleet, guarantee));
        }
    }
    faults.sort_by_key(|fault| fault.place);
    faults
}

/// Order of placement by adjacency: the lowest is placed first.
fn placement_order(adjacency: Adjacency) -> u32 {
    match adjacency {
        Adjacency::Racks => 0,
        Adjacency::Rack => 1,
        Adjacency::Worker => 2,
        Adjacency::Zone => 3,
    }
}

/// Fault of a guarantee that was not placed: either the other guarantees take up its space, or it
/// does not fit into the empty fleet either.
fn unfit_fault(text: &Text, fleet: &FleetSize, guarantee: &Guarantee<'_>) -> Fault {
    let mut empty: Vec<Zone> = fleet.zones.values().map(|size| Zone::new(*size)).collect();
    let shape = guarantee.shape;
    let gang = format!("{} x {} accelerators in one {}", shape.tasks, shape.accelerators, {
        shape.adjacency
    });
    let (message, advice) = if place_in_zones(&mut empty, shape) {
        let message = format!("{gang} does not fit beside the other guarantees");
        (message, "write a smaller shape, or fewer guarantees")
    } else {
        let message = format!("{gang} does not fit into any availability zone");
        (message, "write a smaller shape, or a wider adjacency")
    };
    Fault {
        file: text.file.clone(),
        place: text.places.get(&guarantee.path).copied().unwrap_or(Position { line: 1, column: 1 }),
        path: guarantee.path.clone(),
        message,
        advice: advice.to_owned(),
    }
}

/// Places a shape in the fullest zone that has room. Returns whether there is one.
fn place_in_zones(zones: &mut [Zone], shape: &GangShape) -> bool {
    zones.sort_by_key(|zone| zone.racks.iter().flatten().map(|free| u64::from(*free)).sum::<u64>());
    zones.iter_mut().any(|zone| zone.place(shape))
}

impl Zone {
    fn new(size: ZoneSize) -> Zone {
        let rack = vec![size.worker.accelerators; size.workers as usize];
        Zone { size, racks: vec![rack; size.racks as usize] }
    }

    /// Reserves capacity for a shape, if there is enough.
    fn place(&mut self, shape: &GangShape) -> bool {
        let per_worker = self.size.worker.tasks(shape);
        if per_worker == 0 {
            return false;
        }
        let workers = shape.tasks.div_ceil(per_worker) as usize;
        match shape.adjacency {
            Adjacency::Worker => workers <= 1 && self.place_worker(shape.total_accelerators()),
            Adjacency::Rack if workers <= 1 => self.place_worker(shape.total_accelerators()),
            Adjacency::Rack => self.place_rack(workers),
            Adjacency::Racks => self.place_racks(workers),
            Adjacency::Zone => self.place_zone(shape, per_worker),
        }
    }

    /// Reserves accelerators on the worker that has the fewest free ones among those that suffice.
    fn place_worker(&mut self, accelerators: u32) -> bool {
        let workers = self.racks.iter_mut().flatten();
        let best = workers.filter(|free| **free >= accelerators).min();
        match best {
            Some(free) => {
                *free -= accelerators;
                true
            }
            None => false,
        }
    }

    /// Reserves consecutive empty workers in one rack, preferring the fullest rack and positions
    /// aligned to the next power of two.
    fn place_rack(&mut self, workers: usize) -> bool {
        let full = self.size.worker.accelerators;
        let mut rack_order: Vec<usize> = (0..self.racks.len()).collect();
        rack_order.sort_by_key(|r| self.racks[*r].iter().map(|free| u64::from(*free)).sum::<u64>());
        for r in rack_order {
            let rack = &mut self.racks[r];
            let step = workers.next_power_of_two();
            let starts = (0..rack.len()).step_by(step).chain(0..rack.len());
            let fits = |at: &usize| {
                rack.get(*at..at + workers).is_some_and(|run| run.iter().all(|f| *f == full))
            };
            if let Some(at) = starts.into_iter().find(fits) {
                rack[at..at + workers].fill(0);
                return true;
            }
        }
        false
    }

    /// Reserves empty workers across consecutive empty racks, or in one rack if they fit.
    fn place_racks(&mut self, workers: usize) -> bool {
        let full = self.size.worker.accelerators;
        let width = self.size.workers.max(1) as usize;
        let count = workers.div_ceil(width);
        if count <= 1 {
            return self.place_rack(workers);
        }
        let is_free = |rack: &Rack| rack.iter().all(|f| *f == full);
        let Some(at) = self.racks.windows(count).position(|run| run.iter().all(is_free)) else {
            return false;
        };
        let taken = self.racks[at..at + count].iter_mut().flatten().take(workers);
        taken.for_each(|free| *free = 0);
        true
    }

    /// Reserves capacity for the tasks on any workers of the zone.
    fn place_zone(&mut self, shape: &GangShape, per_worker: u32) -> bool {
        let tasks_in = |free: u32| (free / shape.accelerators.max(1)).min(per_worker);
        let total: u64 = self.racks.iter().flatten().map(|free| u64::from(tasks_in(*free))).sum();
        if total < u64::from(shape.tasks) {
            return false;
        }
        let mut left = shape.tasks;
        for free in self.racks.iter_mut().flatten() {
            let tasks = tasks_in(*free).min(left);
            *free -= tasks * shape.accelerators;
            left -= tasks;
        }
        true
    }
}
