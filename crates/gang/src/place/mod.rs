//! Where gangs are placed.
//!
//! Accelerators of a shard lie on a line: those of a worker first, then the workers of a rack, then
//! the racks of an availability zone, each padded to a power of two. Blocks of adjacent
//! accelerators are aligned intervals of that line, split and merged as in a buddy allocator.

pub(crate) mod fleet;
pub(crate) mod layout;
pub(crate) mod need;
pub(crate) mod search;
pub(crate) mod take;
pub(crate) mod tree;
pub(crate) mod wait;
