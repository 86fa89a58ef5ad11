//! Placement of gangs.
//!
//! The accelerators of a shard form a linear address space: first those of a worker, then the
//! workers of a rack, then the racks of an availability zone, each padded to a power of two. Blocks
//! of adjacent accelerators are aligned intervals of that space, split and merged as in a buddy
//! allocator.

pub(crate) mod earliest;
pub(crate) mod fleet;
pub(crate) mod layout;
pub(crate) mod preemption;
pub(crate) mod resources;
pub(crate) mod search;
pub(crate) mod tree;
