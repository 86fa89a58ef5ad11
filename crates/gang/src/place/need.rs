//! What a job needs, and where it can get it.

use crate::place::tree::level_of;
use model::Adjacency;
use model::GangShape;

/// What a gang takes of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Slot {
    /// Position of the worker.
    pub(crate) position: u32,
    /// Accelerators, by number.
    pub(crate) mask: u64,
    /// Number of the first task.
    pub(crate) first: u32,
    /// How many tasks.
    pub(crate) tasks: u32,
}

/// Resources that a worker can give.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Resources {
    /// Accelerators.
    pub(crate) accelerators: u32,
    /// Processor cores, in thousandths.
    pub(crate) millicores: u32,
    /// Memory, in mebibytes.
    pub(crate) memory: u32,
}

impl Resources {
    /// How many tasks of a shape fit.
    pub(crate) fn task_capacity(&self, shape: &GangShape) -> u32 {
        let by = |have: u32, each: u32| have.checked_div(each).unwrap_or(u32::MAX);
        by(self.accelerators, shape.accelerators)
            .min(by(self.millicores, shape.millicores))
            .min(by(self.memory, shape.memory_mib))
    }
}

/// Which kind of block a gang takes on workers of a given size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Extent {
    /// Adjacent accelerators of one worker.
    Worker {
        /// How many.
        accelerators: u32,
    },
    /// Whole consecutive workers of one rack.
    Workers {
        /// How many.
        count: u32,
    },
    /// Whole workers of consecutive racks.
    Racks {
        /// How many workers.
        count: u32,
    },
    /// Any accelerators of the availability zone, those of a task adjacent.
    Spread,
}

impl Extent {
    /// The block that `shape` takes on workers like `worker`, eight or so to a rack of `rack`.
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
            return Some(Extent::Worker { accelerators: shape.total() });
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

    /// Level of the aligned block that surely holds the extent; `None` if it is not one block.
    pub(crate) fn level(&self, width: u32) -> Option<u32> {
        match *self {
            Extent::Worker { accelerators } => Some(level_of(accelerators)),
            Extent::Workers { count } | Extent::Racks { count } => Some(width + level_of(count)),
            Extent::Spread => None,
        }
    }
}
