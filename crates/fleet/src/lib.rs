//! Membership, failure detection, shard ownership and configuration replication of entry VMs.
//!
//! [`Fleet`] is a deterministic state machine without I/O: it takes events with their time and
//! returns actions. It detects failures from heartbeats, declares a member gone only on conclusive
//! evidence, acquires shards by compare-and-swap in the store, and selects the configuration
//! revision in force. [`Apply`] is the state machine of one change to the configuration.
//!
//! Heartbeats form a tree. Members of one availability zone exchange them with each other. Each
//! zone's relay, its eligible member with the lowest incarnation, exchanges them with the relays of
//! its region; the lowest relay of the region exchanges them with those of the other regions. Only
//! relays watch the store. Correctness depends on neither the relay role nor shard ownership: two
//! relays or owners only cause extra messages and store calls.

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
