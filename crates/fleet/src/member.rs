//! Entry VMs and the life cycle that another entry VM sees of each.

use std::sync::LazyLock;

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use chart::Machine;
use model::Incarnation;
use model::RegionId;
use model::VmId;
use model::ZoneId;

/// One run of an entry VM's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Drawn at random when the process starts.
    pub incarnation: Incarnation,
    /// Name of its VM.
    pub vm: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// Address by which peers reach it.
    pub address: String,
}

/// What a member has announced, or what is certain about it. It only ever grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Takes new work.
    Serving,
    /// Takes no new work and finishes what it has.
    Leaving,
    /// Will never act again.
    Gone,
}

/// State of a member as another one sees it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Listed, never heard.
    Unknown,
    /// Heard lately.
    Live,
    /// Out of reach; it may still run.
    Silent,
    /// Takes no new work.
    Leaving,
    /// Will never act again.
    Gone,
}

/// What moves a member from one state to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum MemberEvent {
    /// Somebody heard it.
    Heard,
    /// Nobody has heard it for too long.
    Missed,
    /// It said that it is leaving.
    Leave,
    /// It is certain that it has ended.
    Lost,
}

/// Chart of a member's life cycle.
pub(crate) static MEMBER: LazyLock<Machine<MemberState, MemberEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/member.json")));
