//! Types that describe the state of a shard to its callers.

use std::collections::BTreeMap;

use crate::Attempt;
use crate::JobState;
use crate::Part;
use model::AccountId;
use model::JobId;
use model::Stamp;
use model::Verdict;
use model::WorkerId;

/// Guaranteed blocks of one client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuaranteeView {
    /// The client account.
    pub account: AccountId,
    /// Number of blocks that the account uses.
    pub used: u32,
    /// Number of unused blocks that can be reclaimed at once.
    pub reclaimable: u32,
    /// Number of unused blocks that cannot be reclaimed because too few workers are left.
    pub at_risk: u32,
}

/// State of a shard at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Number of jobs in each state.
    pub jobs: BTreeMap<JobState, u32>,
    /// Number of workers in state [`WorkerState::Ready`](crate::WorkerState::Ready).
    pub ready: u32,
    /// Workers that do not answer or that the VM list no longer names.
    pub lost: Vec<WorkerId>,
    /// Workers that are quarantined or being probed.
    pub quarantined: Vec<WorkerId>,
    /// Guarantees by account.
    pub guarantees: Vec<GuaranteeView>,
    /// Number of accelerators on ready workers.
    pub accelerators: u32,
    /// Number of free accelerators on ready workers.
    pub free: u32,
    /// Share of the free accelerators that are on partly used workers, from 0 to 1.
    pub fragmentation: f64,
    /// Jobs that ended without it being known whether they ran.
    pub unknown: Vec<JobId>,
    /// Keys of pages that cannot be decoded; they are never overwritten.
    pub unreadable: Vec<String>,
    /// Whether the store was unavailable at the last call.
    pub store_down: bool,
    /// Whether ownership of the shard is lost.
    pub fenced: bool,
}

/// One transition of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The state entered.
    pub state: JobState,
    /// Wall-clock time of the transition.
    pub at: Stamp,
    /// Why the transition happened.
    pub reason: String,
}

/// How a job came to its current state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Current state.
    pub state: JobState,
    /// Whether the job ran; `None` while that is open.
    pub verdict: Option<Verdict>,
    /// Latest attempt.
    pub attempt: Attempt,
    /// Current placement.
    pub parts: Vec<Part>,
    /// Why the job waits or ended.
    pub reason: String,
    /// Transitions so far, oldest first. The middle of a long history is left out.
    pub path: Vec<Step>,
}
