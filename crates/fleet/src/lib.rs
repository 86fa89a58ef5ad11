//! One entry VM among the others: membership, ownership of shards, spread of the configuration.
//!
//! [`Fleet`] is a deterministic machine: it is told events with the time, and answers with
//! actions. It decides who is within reach from heartbeats, who is gone from evidence that leaves
//! no doubt, which shards this entry VM owns by compare-and-swap in the store, and which revision
//! of the configuration is in force. [`Apply`] is the machine of one change to the configuration.
//!
//! Heartbeats follow a tree. Members of one availability zone hear each other; the relay of each
//! zone, its lowest eligible incarnation, hears the relays of its region; the lowest of these
//! hears those of the other regions. Only relays watch the store. Nothing that must hold rests on
//! who is a relay or an owner: two of either waste messages and calls, no more.

mod apply;
mod beat;
mod beats;
mod calls;
mod event;
mod machine;
mod member;
mod membership;
mod ownership;
mod record;
mod shard;
mod snapshot;
mod spread;
mod store;
mod tree;
#[cfg(feature = "trial")]
pub mod trial;
pub mod tuning;
mod view;
mod wait;

pub use apply::Answer;
pub use apply::Apply;
pub use apply::Outcome;
pub use apply::Step;
pub use beat::Echo;
pub use beat::HeardPeer;
pub use beat::Heartbeat;
pub use beat::Message;
pub use beat::Ownership;
pub use beat::RosterEntry;
pub use beat::Splice;
pub use beat::TextBody;
pub use beat::ViewUpdate;
pub use beat::ZoneKeepalive;
pub use beat::ZoneRoster;
pub use event::Action;
pub use event::Event;
pub use event::Purpose;
pub use event::Shard;
pub use event::StoreOutcome;
pub use event::StoreRequest;
pub use event::VmEntry;
pub use machine::Fleet;
pub use member::Member;
pub use member::MemberState;
pub use member::Phase;
pub use record::PastRevision;
pub use record::Record;
pub use record::RecordError;
pub use record::WriteId;
pub use snapshot::MemberView;
pub use snapshot::Snapshot;
pub use snapshot::StoreHealth;
pub use spread::TextState;
pub use tuning::StoreIntervals;
pub use wait::Progress;
pub use wait::Wait;
