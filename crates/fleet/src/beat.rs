//! Messages between entry VMs.
//!
//! A heartbeat says which revision of the configuration its sender has in force, how long ago the
//! store confirmed that there is no higher one, whom the sender hears, and what has changed in its
//! view since the receiver last acknowledged. Durations travel, times do not: clocks of two VMs
//! have nothing in common.

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

/// What one entry VM sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A heartbeat.
    #[serde(rename = "beat")]
    Heartbeat(Box<Heartbeat>),
    /// Asks for the configuration.
    Fetch {
        /// The revision that the sender has in force.
        have: Revision,
    },
    /// The configuration.
    Text {
        /// Its revision.
        revision: Revision,
        /// What it says.
        body: TextBody,
    },
    /// Tells an incarnation that the others hold it for gone.
    Fenced {
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// The sender has finished and exits.
    #[serde(rename = "bye")]
    Exit,
}

/// A configuration on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TextBody {
    /// All of it.
    #[serde(rename = "whole")]
    Full(Arc<str>),
    /// The difference from a revision that the receiver has.
    Splice(Splice),
}

/// One text as a replaced range of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Splice {
    /// Revision of the text that it applies to.
    pub base: Revision,
    /// First byte replaced.
    #[serde(rename = "at")]
    pub offset: u64,
    /// Number of bytes replaced.
    #[serde(rename = "cut")]
    pub removed_bytes: u64,
    /// What takes their place.
    #[serde(rename = "put")]
    pub inserted: Arc<str>,
    /// Hash of the result.
    #[serde(rename = "sum")]
    pub checksum: u64,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of this heartbeat among those from this sender to this receiver.
    #[serde(rename = "s")]
    pub seq: u64,
    /// The last heartbeat that came the other way.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
    /// Whether the sender only answers: it would not send to this receiver by itself.
    #[serde(rename = "p", default, skip_serializing_if = "is_false")]
    pub reply_only: bool,
    /// The sender, until the receiver has acknowledged a heartbeat.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub member: Option<Member>,
    /// Revision that the sender has in force.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Age of the store's word that no revision is higher.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub check_age: Option<Duration>,
    /// Members of the sender's availability zone that it hears directly.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub heard_peers: Vec<HeardPeer>,
    /// What changed in the sender's view since the receiver acknowledged.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<ViewUpdate>,
    /// Position in the sender's changes that `news` reaches.
    #[serde(rename = "u")]
    pub updates_end: u64,
    /// Position in the receiver's changes that the sender has.
    #[serde(rename = "a")]
    pub ack: u64,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Acknowledges a heartbeat and says how long the answer waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The heartbeat's number.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Microseconds from its receipt to this answer.
    #[serde(rename = "w")]
    pub held_us: u64,
}

/// A member that the sender hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardPeer {
    /// The member.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Milliseconds since it was heard.
    #[serde(rename = "w")]
    pub age_ms: u32,
    /// Highest revision that it was known to have in force.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// One change in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewUpdate {
    /// A member and its phase.
    Member {
        /// The member.
        member: Member,
        /// Its phase.
        phase: Phase,
    },
    /// Who owns a shard.
    Owner(Ownership),
    /// Who is heard in an availability zone.
    #[serde(rename = "roll")]
    Roster(ZoneRoster),
    /// That a roll still holds, and what its members have in force.
    #[serde(rename = "pulse")]
    Keepalive(ZoneKeepalive),
}

/// Who owns a shard. The higher epoch holds; within one epoch, the release does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ownership {
    /// The shard.
    pub shard: ShardId,
    /// Version of the store's key at the claim.
    pub epoch: Epoch,
    /// Whether the owner has let go of it.
    pub released: bool,
    /// The owner.
    pub owner: Incarnation,
}

/// Who is heard in an availability zone, as its relay sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRoster {
    /// The availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Number of this roll; the highest holds.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Who made it.
    #[serde(rename = "y")]
    pub relay: Incarnation,
    /// Its members that are not gone.
    #[serde(rename = "m")]
    pub members: Vec<RosterEntry>,
}

/// That the roll of an availability zone still holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneKeepalive {
    /// The availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Number of this pulse; the highest holds.
    #[serde(rename = "s")]
    pub seq: u64,
    /// Number of the roll.
    #[serde(rename = "o")]
    pub roster_seq: u64,
    /// Revision that all members heard there have in force, or a higher one.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// A member in the roll of its availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The member.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Whether anyone there hears it.
    #[serde(rename = "h")]
    pub heard: bool,
}
