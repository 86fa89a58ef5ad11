//! Inputs of the shard's state machine.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Attempt;
use crate::JobSpec;
use crate::Policy;
use model::AccountId;
use model::JobId;
use model::RackId;
use model::Stamp;
use model::WorkerId;
use model::ZoneId;

/// Correlates a reply with the call that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Id of one page write, contained in the written value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u64);

/// A page as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPage {
    /// Store key of the page.
    pub key: String,
    /// Version in the store.
    pub version: u64,
    /// CBOR-encoded value.
    pub value: Vec<u8>,
}

/// Result of a page write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Committed {
        /// New version of the page.
        version: u64,
    },
    /// The page had a version other than the expected one; nothing was written.
    Conflict {
        /// Current version, 0 if the page does not exist.
        version: u64,
        /// Current value.
        value: Vec<u8>,
    },
    /// The answer was lost; the write may have taken effect, or may still take effect.
    Unknown,
    /// The store refused the write or could not be reached; nothing was written.
    Unavailable,
}

/// Result of a page read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The page exists.
    Found {
        /// Current version.
        version: u64,
        /// Current value.
        value: Vec<u8>,
    },
    /// The page does not exist.
    Absent,
    /// The store did not answer.
    Unavailable,
}

/// Answer of a worker to a lease or start request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// The worker did what was requested.
    Granted,
    /// Refused: an accelerator is leased to another job, the attempt is outdated, or the lease has
    /// expired.
    Refused,
    /// The worker tried and failed, for example to start the task.
    Failed,
    /// No answer came; the worker may have done what was requested.
    Unknown,
}

/// A worker as the VM list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Id of the worker.
    pub id: WorkerId,
    /// Rack that the worker is in.
    pub rack: RackId,
    /// Position in the rack; workers at consecutive positions are adjacent.
    pub slot: u32,
    /// Availability zone that the worker is in.
    pub zone: ZoneId,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Processor cores, in thousandths.
    pub millicores: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
    /// Whether the worker is about to be removed and takes no new work.
    pub leaving: bool,
}

/// State of a task as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// Leased, but not started.
    Held,
    /// Running.
    Running,
    /// Exited successfully.
    Done,
    /// Exited with a failure.
    Failed,
    /// Stopped by the worker because it used more memory than its share.
    Overrun,
}

/// State of one task in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// Index of the task in the gang.
    pub index: u32,
    /// State of the task.
    pub status: TaskStatus,
    /// Processor use, in thousandths of a core.
    pub millicores: u32,
    /// Memory in use, in mebibytes.
    pub memory_mib: u32,
    /// Exit code; `None` while the task has not ended or if it has none.
    pub exit: Option<i32>,
}

/// The leases of one job in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseReport {
    /// The job.
    pub job: JobId,
    /// Attempt of the job.
    pub attempt: Attempt,
    /// Indexes of the leased accelerators.
    pub accelerators: Vec<u8>,
    /// Tasks under the lease; ended tasks are included until the lease is released.
    pub tasks: Vec<TaskReport>,
    /// Age of the last complete checkpoint; `None` if there is none.
    pub checkpoint: Option<Duration>,
}

/// All leases and tasks of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Upper bound of the time since the worker made the report.
    pub age: Duration,
    /// All leases that the worker holds.
    pub leases: Vec<LeaseReport>,
}

/// The part of a client account's quota that this shard may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The client account.
    pub account: AccountId,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Inputs of the shard's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// All pages of the shard, read at the start of ownership.
    Pages {
        /// The pages.
        pages: Vec<StoredPage>,
        /// Wall-clock time.
        at: Stamp,
    },
    /// Submit a job.
    Submit {
        /// Ticket for the reply.
        ticket: Ticket,
        /// The job.
        job: JobSpec,
        /// Wall-clock time.
        at: Stamp,
        /// Whether the job counts as accepted only once it is stored. Otherwise it is accepted at
        /// once and may be lost with this owner.
        durable: bool,
    },
    /// Cancel a job.
    Cancel {
        /// Ticket for the reply.
        ticket: Ticket,
        /// The job.
        job: JobId,
    },
    /// Query the state of a job.
    Query {
        /// Ticket for the reply.
        ticket: Ticket,
        /// The job.
        job: JobId,
    },
    /// A page write completed.
    Written {
        /// Id of the write.
        write: WriteId,
        /// Result.
        result: WriteResult,
    },
    /// A page read completed.
    PageRead {
        /// Key of the page.
        key: String,
        /// Result.
        result: ReadResult,
    },
    /// A worker answered a lease request.
    Leased {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
        /// The answer.
        result: WorkerAnswer,
    },
    /// A worker answered a start request.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Attempt of the job.
        attempt: Attempt,
        /// The answer.
        result: WorkerAnswer,
    },
    /// A worker reported its leases, in answer to a renewal or unasked.
    Report {
        /// The worker.
        worker: WorkerId,
        /// The report.
        report: WorkerReport,
    },
    /// A worker stopped answering.
    WorkerSilent {
        /// The worker.
        worker: WorkerId,
    },
    /// The complete list of the shard's workers.
    Workers {
        /// The list.
        list: Vec<WorkerInfo>,
    },
    /// New configuration of client accounts and services.
    Policy {
        /// The policy.
        policy: Arc<Policy>,
    },
    /// The shard's parts of the accounts' quotas. An account that is not named may use its whole
    /// quota.
    Grants {
        /// Parts by account.
        grants: Vec<Grant>,
    },
    /// Ownership of the shard is lost; the shard takes no further action.
    Fenced,
    /// Time has passed; due timers fire.
    Tick,
}
