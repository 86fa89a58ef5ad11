//! How soon work is wanted.

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
    /// A caller waits for the answer.
    Interactive,
    /// The answer may take its time.
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
    /// Starts within two seconds, preempting where it must.
    Urgent,
    /// Runs inside the quota of its client account.
    Normal,
    /// Uses what nobody else wants and is preempted first.
    Spare,
}
