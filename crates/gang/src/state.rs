//! State machines of jobs and workers, defined by the state charts in `charts/`.

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
    /// Queued for capacity.
    Queued,
    /// Acquiring leases on all its workers; no task runs and no placement is stored.
    Leasing,
    /// Holds all leases; the placement is being written to the store.
    Committing,
    /// The placement is stored; the tasks are being started.
    Starting,
    /// All tasks run.
    Running,
    /// Preempted: writes a checkpoint before it is stopped.
    Preempting,
    /// Its tasks are being stopped, or their leases are expiring.
    Stopping,
    /// A new owner of the shard is asking the workers which tasks run.
    Recovering,
    /// All tasks succeeded; the result is being stored.
    Finishing,
    /// All tasks succeeded.
    Done,
    /// Given up after failures on several workers, or after one failure if it may run only once.
    Failed,
    /// Cancelled.
    Cancelled,
    /// Ended because it does not fit on the listed workers, even if all were idle.
    Impossible,
    /// It may have run, and must not be started again.
    Unknown,
}

/// Events of the job state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, EnumString, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum JobEvent {
    /// A placement by an earlier owner was read from the store.
    Found,
    /// A placement was chosen and its leases were requested.
    Placed,
    /// All workers granted their leases.
    Held,
    /// A lease was refused, lost or late; nothing can have run.
    Dropped,
    /// The placement is stored.
    Committed,
    /// All tasks run.
    Started,
    /// The job is preempted by another one.
    Preempted,
    /// The gang must be stopped: a task, worker or lease was lost, or the job was cancelled or
    /// preempted.
    Broken,
    /// All tasks succeeded.
    Finished,
    /// The result is stored.
    Stored,
    /// No task runs any more, and the job may be started again.
    Requeued,
    /// No task runs any more, and the job is not retried after its failures.
    GaveUp,
    /// The job was cancelled and no task runs any more.
    Cancelled,
    /// The job has not fitted on the listed workers for
    /// [`Settings::infeasible_after`](crate::Settings).
    #[strum(serialize = "ruled")]
    Infeasible,
    /// It is unknown whether the job ran, and it may not be started again.
    #[strum(serialize = "lost")]
    OutcomeUnknown,
}

impl JobState {
    /// Whether the job has ended for good.
    pub fn is_final(self) -> bool {
        JOB.is_final(self)
    }

    /// Whether the job ran, as far as the state alone tells; `None` otherwise.
    pub fn verdict(self) -> Option<Verdict> {
        match self {
            JobState::Done => Some(Verdict::Ran),
            JobState::Unknown => Some(Verdict::Unknown),
            _ => None,
        }
    }

    /// Whether the job holds leases on workers, or may hold some.
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
    /// Answers and takes new work.
    Ready,
    /// Does not answer; takes no new work.
    Silent,
    /// Marked as leaving in the VM list: takes no new work.
    Leaving,
    /// Too many different jobs failed on it: takes no work until its next probe is due.
    Quarantined,
    /// Probed after a quarantine: takes one job at a time.
    Probing,
    /// No longer in the VM list.
    Gone,
}

/// Events of the worker state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, EnumString, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum WorkerEvent {
    /// The worker answered.
    Answered,
    /// The worker does not answer.
    #[strum(serialize = "muted")]
    Unresponsive,
    /// The VM list marks the worker as leaving.
    Left,
    /// The VM list names the worker again, or no longer marks it as leaving.
    Returned,
    /// Too many different jobs failed on the worker, or a job failed while it was being probed.
    #[strum(serialize = "struck")]
    Quarantined,
    /// The time until the next probe is over.
    #[strum(serialize = "probed")]
    ProbeDue,
    /// A job succeeded on the worker.
    Passed,
    /// No job was placed on the worker for [`Settings::probe_timeout`](crate::Settings) after a
    /// probe was due.
    #[strum(serialize = "paroled")]
    ProbeTimedOut,
    /// The VM list no longer names the worker.
    Removed,
}

/// State machine of jobs.
pub(crate) static JOB: LazyLock<Machine<JobState, JobEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/job.json")));
/// State machine of workers.
pub(crate) static WORKER: LazyLock<Machine<WorkerState, WorkerEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/worker.json")));
