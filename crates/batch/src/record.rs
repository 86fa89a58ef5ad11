//! The stored state of a job.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::job::JobState;
use crate::spec::WorkerId;

/// Stored state of one task.
///
/// Short names, since a wide job stores hundreds of these.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskRecord {
    /// Highest run number given out.
    #[serde(rename = "r", skip_serializing_if = "is_zero")]
    pub run: u32,
    /// Numbers of the runs that ended failed.
    #[serde(rename = "f", skip_serializing_if = "BTreeSet::is_empty")]
    pub failures: BTreeSet<u32>,
    /// Whether its work is done.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Worker that may hold the run, with the start of its incarnation in ms of Unix time.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub place: Option<(WorkerId, u64)>,
    /// Checkpoint to resume from; empty for none.
    #[serde(rename = "c", skip_serializing_if = "String::is_empty")]
    pub saved: String,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Stored state of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// What callers are shown.
    pub state: JobState,
    /// Whether any task has ever been placed.
    pub begun: bool,
    /// Tasks by occurrence and step; empty once the job has ended.
    pub turns: Vec<Vec<Vec<TaskRecord>>>,
}
