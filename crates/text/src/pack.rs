//! Whether all guarantees fit into the workers together.
//!
//! Blocks are placed from the widest to the narrowest, each where it leaves the least free, which
//! is exact for blocks whose sizes are powers of two in racks whose sizes are too.

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

/// The workers of all availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneId, ZoneSize>,
}

/// The workers of one availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSize {
    /// Number of racks.
    pub racks: u32,
    /// Workers in each rack.
    pub workers: u32,
    /// Size of each worker.
    pub worker: WorkerSize,
}

/// What one worker has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSize {
    /// Accelerators.
    pub accelerators: u32,
    /// Processor cores, in thousandths.
    pub millicores: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
}

impl WorkerSize {
    /// Tasks of `shape` that one worker holds.
    fn tasks(&self, shape: &GangShape) -> u32 {
        let accelerators = self.accelerators / shape.accelerators.max(1);
        let cores = self.millicores / shape.millicores.max(1);
        let memory = self.memory_mib / shape.memory_mib.max(1);
        accelerators.min(cores).min(memory)
    }
}

/// Free accelerators of each worker of a rack.
type Rack = Vec<u32>;

struct Zone {
    size: ZoneSize,
    racks: Vec<Rack>,
}

struct Guarantee<'t> {
    path: String,
    shape: &'t GangShape,
}

/// Reports each guarantee that does not fit into the workers beside the others.
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

fn placement_order(adjacency: Adjacency) -> u32 {
    match adjacency {
        Adjacency::Racks => 0,
        Adjacency::Rack => 1,
        Adjacency::Worker => 2,
        Adjacency::Zone => 3,
    }
}

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

fn place_in_zones(zones: &mut [Zone], shape: &GangShape) -> bool {
    zones.sort_by_key(|zone| zone.racks.iter().flatten().map(|free| u64::from(*free)).sum::<u64>());
    zones.iter_mut().any(|zone| zone.place(shape))
}

impl Zone {
    fn new(size: ZoneSize) -> Zone {
        let rack = vec![size.worker.accelerators; size.workers as usize];
        Zone { size, racks: vec![rack; size.racks as usize] }
    }

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
