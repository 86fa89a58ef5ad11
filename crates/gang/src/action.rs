//! Actions that the caller performs for a shard.

use std::time::Duration;

use crate::Attempt;
use crate::JobState;
use crate::Ticket;
use crate::WriteId;
use model::JobId;
use model::Verdict;
use model::WorkerId;

/// Names a lease to renew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseRef {
    /// The job.
    pub job: JobId,
    /// Attempt of the job.
    pub attempt: Attempt,
}

/// Tasks to start on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskRange {
    /// Index of the first task in the gang.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
    /// Processor share of each task, in thousandths of a core.
    pub millicores: u32,
    /// Memory share of each task, in mebibytes.
    pub memory_mib: u32,
}

/// Actions that the caller performs for a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a page, on the condition that its version is still `expect`.
    Write {
        /// Id of the write, also contained in the value.
        write: WriteId,
        /// Key of the page.
        key: String,
        /// Expected version, 0 if the page must not exist.
        expect: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Read a page.
    Read {
        /// Key of the page.
        key: String,
    },
    /// Acquire leases on accelerators of a worker.
    Lease {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
        /// Indexes of the accelerators.
        accelerators: Vec<u8>,
        /// Lifetime of the lease unless tasks are started under it.
        ttl: Duration,
    },
    /// Release the leases of an attempt, stopping any tasks under them.
    Release {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
    },
    /// Start tasks under a held lease and extend the lease to `ttl`.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
        /// The tasks.
        tasks: TaskRange,
        /// Lifetime of the lease unless it is renewed.
        ttl: Duration,
    },
    /// Stop all tasks of an attempt and release its leases. Repeated until a report confirms it.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
    },
    /// Make the tasks write a checkpoint.
    Checkpoint {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
    },
    /// Limit a task to its processor share.
    Throttle {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
        /// Index of the task in the gang.
        task: u32,
        /// Processor share, in thousandths of a core.
        millicores: u32,
    },
    /// Renew the named leases in one message. The worker answers with a report; an empty list only
    /// requests the report.
    Renew {
        /// The worker.
        worker: WorkerId,
        /// Leases to renew.
        leases: Vec<LeaseRef>,
        /// Lifetime of the leases from now.
        ttl: Duration,
    },
    /// Reply to a call.
    Reply {
        /// Ticket of the call.
        ticket: Ticket,
        /// The reply.
        reply: Reply,
    },
}

impl Action {
    /// The worker that the action addresses; `None` if it addresses the store or a caller.
    pub fn worker(&self) -> Option<&WorkerId> {
        match self {
            Action::Lease { worker, .. }
            | Action::Release { worker, .. }
            | Action::Start { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Checkpoint { worker, .. }
            | Action::Throttle { worker, .. }
            | Action::Renew { worker, .. } => Some(worker),
            Action::Write { .. } | Action::Read { .. } | Action::Reply { .. } => None,
        }
    }
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job or its cancellation was accepted.
    Accepted {
        /// Whether the acceptance is stored.
        durable: bool,
    },
    /// The job or its cancellation was refused.
    Refused {
        /// Whether the job may have run.
        verdict: Verdict,
        /// Why it was refused.
        reason: String,
    },
    /// Answer to a query.
    Status {
        /// State of the job.
        state: JobState,
        /// Whether the job ran; `None` while that is open.
        verdict: Option<Verdict>,
        /// Why the job is in this state, or what it waits for.
        reason: String,
    },
}
