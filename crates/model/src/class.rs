//! Latency classes of services and priorities of jobs.

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::EnumString;
use strum::VariantArray;

/// Latency class of a service.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// A caller waits for the response.
    Interactive,
    /// The response may be delayed.
    Batch,
}

/// Priority of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Starts within two seconds, preempting other jobs if necessary.
    Urgent,
    /// Runs within the quota of its client account.
    Normal,
    /// Uses otherwise idle resources and is preempted first.
    Spare,
}
