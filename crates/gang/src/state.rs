//! Life cycles of jobs and workers, interpreted from the charts in `charts/`.

use std::sync::LazyLock;

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::EnumString;
use strum::VariantArray;

use chart::Machine;
use model::Verdict;

/// State of a job.
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
pub enum JobState {
    /// Waits for capacity.
    Queued,
    /// Acquires leases; nothing runs and nothing is stored.
    Leasing,
    /// Holds all leases; the store is asked to commit the placement.
    Committing,
    /// The placement is stored; tasks are being started.
    Starting,
    /// All tasks run.
    Running,
    /// Writes a checkpoint before it is stopped for another job.
    Preempting,
    /// Its tasks are being stopped, or their leases are lapsing.
    Stopping,
    /// A new owner asks the workers what runs.
    Recovering,
    /// All tasks ended well; that is being stored.
    Finishing,
    /// It ran.
    Done,
    /// It was stopped because it fails wherever it runs.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// No set of workers can hold it any more.
    Impossible,
    /// It may have run and will not run again.
    Unknown,
}

/// What happens to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, EnumString, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum JobEvent {
    /// A stored placement was found that another owner made.
    Found,
    /// A block was chosen for it.
    Placed,
    /// All leases are held.
    Held,
    /// The leases or the commit failed before anything could run.
    Dropped,
    /// The store committed its placement.
    Committed,
    /// All tasks run.
    Started,
    /// It has to make room.
    Preempted,
    /// A task, a worker or a lease was lost, or it is to be stopped.
    Broken,
    /// All tasks ended well.
    Finished,
    /// Its end is stored.
    Stored,
    /// Nothing of it runs any more, and it may run again.
    Requeued,
    /// Nothing of it runs, and it failed too often.
    GaveUp,
    /// Cancelled, and nothing of it runs.
    Cancelled,
    /// No set of workers can hold it.
    #[strum(serialize = "ruled")]
    Infeasible,
    /// Whether it ran cannot be told.
    #[strum(serialize = "lost")]
    OutcomeUnknown,
}

impl JobState {
    /// Whether the job will never run again.
    pub fn is_final(self) -> bool {
        JOB.is_final(self)
    }

    /// Whether the job ran, once that is settled.
    pub fn verdict(self) -> Option<Verdict> {
        match self {
            JobState::Done => Some(Verdict::Ran),
            JobState::Unknown => Some(Verdict::Unknown),
            _ => None,
        }
    }

    /// Whether it has leases at workers, or may have.
    pub fn is_placed(self) -> bool {
        !self.is_final() && self != JobState::Queued
    }
}

/// State of a worker.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    AsRefStr,
    Display,
    EnumString,
    VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum WorkerState {
    /// Takes work.
    Ready,
    /// Does not answer.
    Silent,
    /// About to go away: takes no new work.
    Leaving,
    /// Failed different jobs in a row: takes no work but probes.
    Quarantined,
    /// Quarantined, and tried with one job.
    Probing,
    /// Gone from the VM list.
    Gone,
}

/// What happens to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, EnumString, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum WorkerEvent {
    /// It answered.
    Answered,
    /// It does not answer.
    #[strum(serialize = "muted")]
    Unresponsive,
    /// The VM list says that it is leaving.
    Left,
    /// The VM list says that it stays.
    Returned,
    /// It failed too many different jobs in a row.
    #[strum(serialize = "struck")]
    Quarantined,
    /// The pause since the last probe is over.
    #[strum(serialize = "probed")]
    ProbeDue,
    /// A task ended well on it.
    Passed,
    /// No job came to try it for long enough.
    #[strum(serialize = "paroled")]
    ProbeTimedOut,
    /// The VM list no longer names it.
    Removed,
}

/// The job chart.
pub(crate) static JOB: LazyLock<Machine<JobState, JobEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/job.json")));
/// The worker chart.
pub(crate) static WORKER: LazyLock<Machine<WorkerState, WorkerEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/worker.json")));
