//! Events that the state machine handles and actions that it requests.

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

/// Event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from a peer.
    Message {
        /// The peer, as known from its connection or its greeting.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// Outcome of a store call. Each [`Action::Store`] must get exactly one.
    Store {
        /// Id of the call.
        call: u64,
        /// Outcome of the call.
        outcome: StoreOutcome,
    },
    /// The watch reported the configuration.
    TextSeen {
        /// Revision of the configuration.
        revision: Revision,
        /// Configuration text.
        text: Arc<str>,
    },
    /// The watch reported a member's key.
    MemberSeen(Member),
    /// The watch reported the deletion of a member's key.
    MemberLapsed(Incarnation),
    /// The watch reported a shard's key.
    OwnerSeen(Ownership),
    /// The watch reported the deletion of a shard's key.
    OwnerLapsed {
        /// The shard.
        shard: ShardId,
        /// Store revision of the deletion.
        version: Epoch,
    },
    /// The platform's VM list, or its entry VMs.
    VmList(Vec<VmEntry>),
    /// All existing placement shards.
    Shards(Vec<Shard>),
    /// The process is to leave: it accepts no new work and releases its shards.
    Drain,
    /// The process has finished its work and exits.
    Finished,
    /// Time has passed.
    Tick,
}

/// Entry VM in the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Address at which peers would reach it.
    pub address: String,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// A placement shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// Name of the shard.
    pub id: ShardId,
    /// Availability zone of the shard's workers.
    pub zone: ZoneId,
    /// Region of the shard's workers.
    pub region: RegionId,
}

/// Action that the state machine requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer; loss need not be reported.
    Send {
        /// The peer.
        to: Incarnation,
        /// Its address.
        address: String,
        /// The message.
        message: Message,
    },
    /// Send a message to an address whose member is not known yet.
    Greet {
        /// The address.
        address: String,
        /// The message.
        message: Message,
    },
    /// Replace the connection to a peer that has become silent.
    Reconnect {
        /// The peer.
        to: Incarnation,
        /// Its address.
        address: String,
    },
    /// Make a store call.
    Store {
        /// Id of the call, to be returned with its outcome.
        call: u64,
        /// The call to make.
        request: StoreRequest,
    },
    /// Start (`true`) or stop watching the configuration and the keys of members and shards.
    Watch(bool),
    /// Put a configuration in force.
    Adopt {
        /// Revision of the configuration.
        revision: Revision,
        /// Configuration text.
        text: Arc<str>,
    },
    /// Start deciding for a shard.
    Own {
        /// The shard.
        shard: ShardId,
        /// Fencing token of the decisions.
        epoch: Epoch,
    },
    /// Stop deciding for a shard immediately.
    Disown {
        /// The shard.
        shard: ShardId,
        /// Epoch that ends.
        epoch: Epoch,
    },
    /// A member became reachable.
    MemberUp(Member),
    /// A member accepts no new work.
    MemberLeaving(Incarnation),
    /// A member became unreachable or was declared gone.
    MemberDown {
        /// The member.
        incarnation: Incarnation,
        /// Whether the member was declared gone and will never act again.
        gone: bool,
    },
    /// The other members have declared this incarnation gone: exit, and restart under a new one.
    Fenced,
}

/// A store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Acquire a lease and set the member's key under it, which takes two calls. A previous lease
    /// is left to expire.
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
        /// Expected version; `None` if the key must be absent.
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

/// Purpose of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// Keep this entry VM's lease and member key.
    Membership,
    /// List members and owners of shards.
    Listing,
    /// Read the configuration.
    Configuration,
    /// Claim and release shards.
    Ownership,
}

impl StoreRequest {
    /// Returns the purpose of the call.
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

    /// Number of calls that count against the rate limit.
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
    /// The call took effect.
    Done,
    /// The lease has expired; the keys that were set under it are deleted.
    LeaseGone,
    /// Result of [`StoreRequest::List`].
    Listed {
        /// Members that have a key.
        members: Vec<Member>,
        /// Ownerships of the shards that have a key.
        owners: Vec<Ownership>,
    },
    /// Result of [`StoreRequest::Read`].
    Text {
        /// Revision of the configuration; 0 if there is none.
        revision: Revision,
        /// Configuration text.
        text: Arc<str>,
    },
    /// The claim took effect.
    Won {
        /// New version of the shard's key.
        epoch: Epoch,
    },
    /// The shard's key had another version; this is the stored ownership.
    Held(Ownership),
    /// The shard has no key.
    Absent,
    /// No answer or an error; the call may have taken effect.
    Failed,
}
