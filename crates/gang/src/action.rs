//! What a shard asks for.

use std::time::Duration;

use crate::Attempt;
use crate::JobState;
use crate::Ticket;
use crate::WriteId;
use model::JobId;
use model::Verdict;
use model::WorkerId;

/// A lease that is to be renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseRef {
    /// The job.
    pub job: JobId,
    /// Its attempt.
    pub attempt: Attempt,
}

/// The tasks that a worker is to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskRange {
    /// Number of the first task in the gang.
    pub first: u32,
    /// How many tasks.
    pub count: u32,
    /// Processor share of each, in thousandths of a core.
    pub millicores: u32,
    /// Memory share of each, in mebibytes.
    pub memory_mib: u32,
}

/// What a shard asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a page if its version is still `expect`.
    Write {
        /// Identity of the write, also in the value.
        write: WriteId,
        /// The page.
        key: String,
        /// Version that the page must have, 0 if it must be absent.
        expect: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Read a page.
    Read {
        /// The page.
        key: String,
    },
    /// Take leases at a worker.
    Lease {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
        /// Accelerators, by number.
        accelerators: Vec<u8>,
        /// How long the lease lasts unless tasks are started under it.
        ttl: Duration,
    },
    /// Give up leases, stopping whatever runs under them.
    Release {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// Start tasks under a held lease, which then lasts `ttl`.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
        /// The tasks.
        tasks: TaskRange,
        /// How long the lease lasts unless it is renewed.
        ttl: Duration,
    },
    /// Stop all tasks of an attempt and give up its leases; repeated until a report confirms it.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// Write a checkpoint.
    Checkpoint {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// Hold a task to its processor share.
    Throttle {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
        /// Number of the task in the gang.
        task: u32,
        /// Its share, in thousandths of a core.
        millicores: u32,
    },
    /// Renew all leases named, in one message; answered by a report. Without leases it only asks.
    Renew {
        /// The worker.
        worker: WorkerId,
        /// The leases.
        leases: Vec<LeaseRef>,
        /// How long they last from now.
        ttl: Duration,
    },
    /// Answer a call.
    Reply {
        /// The call.
        ticket: Ticket,
        /// The answer.
        reply: Reply,
    },
}

impl Action {
    /// The worker that it is for, if it is for one.
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

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job, or its cancellation, is accepted.
    Accepted {
        /// Whether it is in the store.
        durable: bool,
    },
    /// It is not accepted.
    Refused {
        /// Whether the job may have run.
        verdict: Verdict,
        /// Why.
        reason: String,
    },
    /// How the job stands.
    Status {
        /// Its state.
        state: JobState,
        /// Whether it ran, once that is settled.
        verdict: Option<Verdict>,
        /// Why it is in this state, or what it waits for.
        reason: String,
    },
}
