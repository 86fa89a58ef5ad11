//! Resource needs of gangs and the kinds of blocks that satisfy them.

use crate::place::tree::level_of;
use model::Adjacency;
use model::GangShape;

/// The part of a placement on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Slot {
    /// Position of the worker.
    pub(crate) position: u32,
    /// Mask of accelerators on the worker.
    pub(crate) mask: u64,
    /// Index of the first task in the gang.
    pub(crate) first: u32,
    /// Number of tasks.
    pub(crate) tasks: u32,
}

/// Amounts of resources of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Resources {
    /// Number of accelerators.
    pub(crate) accelerators: u32,
    /// Processor cores, in thousandths.
    pub(crate) millicores: u32,
    /// Memory, in mebibytes.
    pub(crate) memory: u32,
}

impl Resources {
    /// Number of tasks of a shape that fit.
    pub(crate) fn task_capacity(&self, shape: &GangShape) -> u32 {
        let by = |have: u32, each: u32| have.checked_div(each).unwrap_or(u32::MAX);
        by(self.accelerators, shape.accelerators)
            .min(by(self.millicores, shape.millicores))
            .min(by(self.memory, shape.memory_mib))
    }
}

/// Kind of block that a gang takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Extent {
    /// Adjacent accelerators on one worker.
    Worker {
        /// Number of accelerators.
        accelerators: u32,
    },
    /// Whole consecutive workers of one rack.
    Workers {
        /// Number of workers.
        count: u32,
    },
    /// Whole workers of consecutive racks.
    Racks {
        /// Number of workers.
        count: u32,
    },
    /// Any accelerators of one availability zone; only those of the same task are adjacent.
    Spread,
}

impl Extent {
    /// The kind of block that `shape` takes on workers of size `worker` in racks of `rack` workers.
    ///
    /// `None` if no block can hold it.
    pub(crate) fn of(shape: &GangShape, worker: &Resources, rack: u32) -> Option<Extent> {
        let each = worker.task_capacity(shape);
        if shape.tasks == 0 || each == 0 {
            return None;
        }
        if shape.adjacency == Adjacency::Zone {
            return Some(Extent::Spread);
        }
        if shape.tasks <= each {
            return Some(Extent::Worker { accelerators: shape.total_accelerators() });
        }
        let count = shape.tasks.div_ceil(each);
        match shape.adjacency {
            Adjacency::Worker => None,
            _ if shape.accelerators == 0 => Some(Extent::Spread),
            _ if count <= rack => Some(Extent::Workers { count }),
            Adjacency::Rack => None,
            _ => Some(Extent::Racks { count }),
        }
    }

    /// Level of the aligned block that always holds the extent; `None` if the extent is not one
    /// block.
    pub(crate) fn level(&self, width: u32) -> Option<u32> {
        match *self {
            Extent::Worker { accelerators } => Some(level_of(accelerators)),
            Extent::Workers { count } | Extent::Racks { count } => Some(width + level_of(count)),
            Extent::Spread => None,
        }
    }
}
