//! What a shard shows of itself.

use std::collections::BTreeMap;

use crate::Attempt;
use crate::JobState;
use crate::Part;
use model::AccountId;
use model::JobId;
use model::Stamp;
use model::Verdict;
use model::WorkerId;

/// Guarantees of one client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuaranteeView {
    /// The client account.
    pub account: AccountId,
    /// Blocks in use by the account itself.
    pub used: u32,
    /// Blocks that can be reclaimed at once.
    pub reclaimable: u32,
    /// Blocks for which too few workers are left.
    pub at_risk: u32,
}

/// State of a shard at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Number of jobs in each state.
    pub jobs: BTreeMap<JobState, u32>,
    /// Number of workers that take work.
    pub ready: u32,
    /// Workers that do not answer or are gone while jobs were placed on them.
    pub lost: Vec<WorkerId>,
    /// Workers that take no work but probes.
    pub quarantined: Vec<WorkerId>,
    /// Guarantees by account.
    pub guarantees: Vec<GuaranteeView>,
    /// Accelerators on workers that take work.
    pub accelerators: u32,
    /// Free accelerators among them.
    pub free: u32,
    /// Share of free accelerators outside whole free workers, from 0 to 1.
    pub fragmentation: f64,
    /// Jobs of which it is unknown whether they ran.
    pub unknown: Vec<JobId>,
    /// Pages that cannot be decoded; they are left alone.
    pub unreadable: Vec<String>,
    /// Whether the last answer of the store is missing or was a failure.
    pub store_down: bool,
    /// Whether ownership is lost.
    pub fenced: bool,
}

/// One step of a job through its chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The state entered.
    pub state: JobState,
    /// Wall-clock time.
    pub at: Stamp,
    /// Why.
    pub reason: String,
}

/// How a job came to its present state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Its state.
    pub state: JobState,
    /// Whether it ran, once that is settled.
    pub verdict: Option<Verdict>,
    /// Its latest attempt.
    pub attempt: Attempt,
    /// Where it is placed.
    pub parts: Vec<Part>,
    /// Why it waits or ended.
    pub reason: String,
    /// Its path, oldest first; the middle of a long one is left out.
    pub path: Vec<Step>,
}
