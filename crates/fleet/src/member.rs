//! Entry VMs and the life cycle of each as seen by another entry VM.

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

/// One process of an entry VM. A restart creates a new member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Random number that the process draws at start.
    pub incarnation: Incarnation,
    /// Name of the VM that it runs on.
    pub vm: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// Address at which peers reach it.
    pub address: String,
}

/// Phase that a member announced or that was established about it. It never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Accepts new work.
    Serving,
    /// Accepts no new work and finishes its current work.
    Leaving,
    /// Has ended, or is fenced and will never act again.
    Gone,
}

/// State of a member as seen by another member.
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
    /// Listed, but never heard from.
    Unknown,
    /// Heard from recently.
    Live,
    /// Unreachable; its process may still run.
    Silent,
    /// Accepts no new work.
    Leaving,
    /// Has ended, or is fenced and will never act again.
    Gone,
}

/// Event that changes a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum MemberEvent {
    /// The member became reachable.
    Heard,
    /// Nobody has heard from it for too long.
    Missed,
    /// It announced that it is leaving.
    Leave,
    /// It was declared gone.
    Lost,
}

/// State chart of a member.
pub(crate) static MEMBER: LazyLock<Machine<MemberState, MemberEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/member.json")));
