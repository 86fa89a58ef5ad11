//! Data types shared by every crate: ids, latency classes, job priorities, gang shapes, verdicts
//! and time.
//!
//! The crate contains no scheduling or routing logic. A type belongs here once two crates exchange
//! it; any other type stays in the crate whose logic uses it.

mod class;
mod id;
mod shape;
mod time;
mod verdict;

pub use class::Class;
pub use class::Priority;
pub use id::AccountId;
pub use id::BackendId;
pub use id::Epoch;
pub use id::Incarnation;
pub use id::JobId;
pub use id::ParseIdError;
pub use id::RackId;
pub use id::RegionId;
pub use id::RequestId;
pub use id::Revision;
pub use id::ServiceId;
pub use id::ShardId;
pub use id::VmId;
pub use id::WorkerId;
pub use id::ZoneId;
pub use shape::Adjacency;
pub use shape::GangShape;
pub use time::Stamp;
pub use time::Time;
pub use verdict::Verdict;
