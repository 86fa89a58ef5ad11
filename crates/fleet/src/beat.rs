//! Messages between entry VMs.
//!
//! A heartbeat carries the revision that its sender has in force, how long ago the store confirmed
//! that there is no higher one, which members the sender hears, and what has changed in its view
//! since the receiver's last acknowledgement. Messages carry durations, never points in time: the
//! clocks of two VMs are not comparable.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Member;
use crate::Phase;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;
use model::ZoneId;

/// Message from one entry VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A heartbeat.
    #[serde(rename = "beat")]
    Heartbeat(Box<Heartbeat>),
    /// Requests the configuration.
    Fetch {
        /// Revision that the sender has in force.
        have: Revision,
    },
    /// The configuration.
    Text {
        /// Revision of the configuration.
        revision: Revision,
        /// Text, in full or as a splice.
        body: TextBody,
    },
    /// Tells an incarnation that the other members have declared it gone.
    Fenced {
        /// The fenced incarnation.
        incarnation: Incarnation,
    },
    /// The sender has finished its work and exits.
    #[serde(rename = "bye")]
    Exit,
}

/// Configuration text as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TextBody {
    /// Complete text.
    #[serde(rename = "whole")]
    Full(Arc<str>),
    /// Difference to a revision that the receiver has.
    Splice(Splice),
}

/// Text encoded as the replacement of one byte range of another text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Splice {
    /// Revision of the text that the splice applies to.
    pub base: Revision,
    /// Offset of the first replaced byte.
    #[serde(rename = "at")]
    pub offset: u64,
    /// Number of replaced bytes.
    #[serde(rename = "cut")]
    pub removed_bytes: u64,
    /// Text that replaces them.
    #[serde(rename = "put")]
    pub inserted: Arc<str>,
    /// XXH3 hash of the resulting text.
    #[serde(rename = "sum")]
    pub checksum: u64,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number among the heartbeats from this sender to this receiver; 0 in a greeting.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Acknowledgement of the last heartbeat received from the receiver.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
    /// Whether the sender only answers the receiver's heartbeats and initiates none to it.
    #[serde(rename = "p", default, skip_serializing_if = "is_false")]
    pub reply_only: bool,
    /// Description of the sender, until the receiver has acknowledged a heartbeat.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub member: Option<Member>,
    /// Revision that the sender has in force.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Time since the store confirmed that no revision is higher; `None` if it never did, and in a
    /// greeting.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub check_age: Option<Duration>,
    /// Members of the sender's availability zone that it hears directly; empty for other zones.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub heard_peers: Vec<HeardPeer>,
    /// Changes of the sender's view after the receiver's acknowledged position.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<ViewUpdate>,
    /// Number of the sender's last view change that `updates` covers.
    #[serde(rename = "u")]
    pub updates_end: u64,
    /// Number of the receiver's last view change that the sender has received.
    #[serde(rename = "a")]
    pub ack: u64,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Acknowledgement of a heartbeat, with the time that it waited at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Sequence number of the heartbeat.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Microseconds from the receipt of the heartbeat to this acknowledgement.
    #[serde(rename = "w")]
    pub held_us: u64,
}

/// Member that the sender hears directly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardPeer {
    /// The member.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Milliseconds since it was last heard.
    #[serde(rename = "w")]
    pub age_ms: u32,
    /// Highest revision that it is known to have in force.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// Change of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewUpdate {
    /// Phase of a member.
    Member {
        /// The member.
        member: Member,
        /// Its phase.
        phase: Phase,
    },
    /// Owner of a shard.
    Owner(Ownership),
    /// Members of an availability zone and whether they are heard.
    #[serde(rename = "roll")]
    Roster(ZoneRoster),
    /// Confirmation that a roster is still valid, with the revision in force in its zone.
    #[serde(rename = "pulse")]
    Keepalive(ZoneKeepalive),
}

/// Owner of a shard. The higher epoch wins; within one epoch, the release wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ownership {
    /// The shard.
    pub shard: ShardId,
    /// Version of the shard's key in the store after the claim.
    pub epoch: Epoch,
    /// Whether the owner has released the shard.
    pub released: bool,
    /// The owner.
    pub owner: Incarnation,
}

/// Members of an availability zone as its relay sees them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRoster {
    /// The availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Sequence number; the highest wins.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Relay that published the roster.
    #[serde(rename = "y")]
    pub relay: Incarnation,
    /// Members of the zone that are not gone.
    #[serde(rename = "m")]
    pub members: Vec<RosterEntry>,
}

/// Confirmation by a zone's relay that its roster is still valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneKeepalive {
    /// The availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Sequence number; the highest wins.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Sequence number of the confirmed roster.
    #[serde(rename = "o")]
    pub roster_seq: u64,
    /// Every member heard in the zone has this revision or a higher one in force.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// Member in the roster of its availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The member.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Whether any member of the zone hears it.
    #[serde(rename = "h")]
    pub heard: bool,
}
