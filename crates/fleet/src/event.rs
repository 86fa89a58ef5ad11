//! What the machine is told, and what it wants done.

use std::sync::Arc;
use std::time::Duration;

use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use crate::Member;
use crate::Message;
use crate::Ownership;
use model::Epoch;
use model::Incarnation;
use model::RegionId;
use model::Revision;
use model::ShardId;
use model::VmId;
use model::ZoneId;

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from a peer.
    Message {
        /// The peer, as its connection was opened or as it introduced itself.
        from: Incarnation,
        /// What it said.
        message: Message,
    },
    /// The outcome of a store call. Each [`Action::Store`] gets exactly one.
    Store {
        /// Which call.
        call: u64,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// The watch showed the configuration.
    TextSeen {
        /// Its revision.
        revision: Revision,
        /// What it says.
        text: Arc<str>,
    },
    /// The watch showed a member's key.
    MemberSeen(Member),
    /// The watch showed that a member's key is gone.
    MemberLapsed(Incarnation),
    /// The watch showed a shard's key.
    OwnerSeen(Ownership),
    /// The watch showed that a shard's key is gone.
    OwnerLapsed {
        /// The shard.
        shard: ShardId,
        /// Store revision of the deletion.
        version: Epoch,
    },
    /// The platform's list of VMs, or the part of it that concerns entry VMs.
    VmList(Vec<VmEntry>),
    /// All placement shards that exist.
    Shards(Vec<Shard>),
    /// The process is to leave: it takes no new work and lets go of its shards.
    Drain,
    /// The process has finished all its work and will exit.
    Finished,
    /// Time has passed.
    Tick,
}

/// One entry VM in the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Address by which peers would reach it.
    pub address: String,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// A placement shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// Its name.
    pub id: ShardId,
    /// Availability zone of its workers.
    pub zone: ZoneId,
    /// Region of its workers.
    pub region: RegionId,
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; a lost one needs no report.
    Send {
        /// The peer.
        to: Incarnation,
        /// Its address.
        address: String,
        /// What to say.
        message: Message,
    },
    /// Send a message to whoever listens at an address.
    Greet {
        /// The address.
        address: String,
        /// What to say.
        message: Message,
    },
    /// Close the connection to a peer and open a new one: the old one went silent.
    Reconnect {
        /// The peer.
        to: Incarnation,
        /// Its address.
        address: String,
    },
    /// Make a store call.
    Store {
        /// Names the call in its outcome.
        call: u64,
        /// What to do.
        request: StoreRequest,
    },
    /// Start or stop watching the configuration and the keys of members and shards.
    Watch(bool),
    /// Put a configuration in force.
    Adopt {
        /// Its revision.
        revision: Revision,
        /// What it says.
        text: Arc<str>,
    },
    /// Start to decide for a shard.
    Own {
        /// The shard.
        shard: ShardId,
        /// Fencing number of its decisions.
        epoch: Epoch,
    },
    /// Stop to decide for a shard, at once.
    Disown {
        /// The shard.
        shard: ShardId,
        /// The epoch that ends.
        epoch: Epoch,
    },
    /// A member is heard.
    MemberUp(Member),
    /// A member takes no new work.
    MemberLeaving(Incarnation),
    /// A member is out of reach, or gone for good.
    MemberDown {
        /// The member.
        incarnation: Incarnation,
        /// Whether it is certain that it will never act again.
        gone: bool,
    },
    /// The others hold this incarnation for gone: finish, and start again under a new one.
    Fenced,
}

/// A store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Take out a lease and set the member's key under it: two calls. A lease held before is
    /// left to lapse.
    Join {
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renew the lease.
    Renew,
    /// List the keys of members and shards.
    List,
    /// Read the configuration.
    Read,
    /// Set a shard's key under the lease if its version is as expected.
    Claim {
        /// The shard.
        shard: ShardId,
        /// Expected version; nothing means that the key is absent.
        expect: Option<Epoch>,
    },
    /// Delete a shard's key if its version is as expected.
    Release {
        /// The shard.
        shard: ShardId,
        /// Expected version.
        epoch: Epoch,
    },
    /// Revoke the lease.
    Leave,
}

/// Why a store call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// Holding a place among the entry VMs.
    Membership,
    /// Seeing who else is there.
    Listing,
    /// Seeing the configuration.
    Configuration,
    /// Holding shards.
    Ownership,
}

impl StoreRequest {
    /// Why the call is made.
    pub fn purpose(&self) -> Purpose {
        match self {
            StoreRequest::Join { .. } | StoreRequest::Renew | StoreRequest::Leave => {
                Purpose::Membership
            }
            StoreRequest::List => Purpose::Listing,
            StoreRequest::Read => Purpose::Configuration,
            StoreRequest::Claim { .. } | StoreRequest::Release { .. } => Purpose::Ownership,
        }
    }

    /// Number of calls that the store counts.
    pub fn cost(&self) -> u32 {
        match self {
            StoreRequest::Join { .. } => 2,
            _ => 1,
        }
    }
}

/// Outcome of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It took effect, or the lease was renewed.
    Done,
    /// The lease is gone, and with it the keys that were set under it.
    LeaseGone,
    /// What [`StoreRequest::List`] found.
    Listed {
        /// Members with a key.
        members: Vec<Member>,
        /// Shards with a key.
        owners: Vec<Ownership>,
    },
    /// What [`StoreRequest::Read`] found.
    Text {
        /// Revision, or 0 if there is none.
        revision: Revision,
        /// What it says.
        text: Arc<str>,
    },
    /// The claim took effect.
    Won {
        /// New version of the shard's key.
        epoch: Epoch,
    },
    /// The shard's key had another version.
    Held(Ownership),
    /// The shard has no key.
    Absent,
    /// No answer, or an error: the call may have taken effect.
    Failed,
}
