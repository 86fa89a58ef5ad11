//! What a shard is told.

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

/// Ties a reply to the call that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Identity of one page write, kept in the written value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u64);

/// A page as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPage {
    /// Its key.
    pub key: String,
    /// Its version there.
    pub version: u64,
    /// Its CBOR value.
    pub value: Vec<u8>,
}

/// How a page write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Committed {
        /// Version of the page now.
        version: u64,
    },
    /// The page had another version; nothing was written.
    Conflict {
        /// Version found, 0 if the page is absent.
        version: u64,
        /// Value found.
        value: Vec<u8>,
    },
    /// The answer was lost; the write may have taken effect, or may still.
    Unknown,
    /// The store refused or could not be reached; nothing was written.
    Unavailable,
}

/// How a page read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The page is there.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: Vec<u8>,
    },
    /// There is no such page.
    Absent,
    /// The store did not answer.
    Unavailable,
}

/// What a worker answered to a lease or a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// Done.
    Granted,
    /// Refused: an accelerator is held, the attempt is outdated, or the lease has lapsed.
    Refused,
    /// The worker tried and failed, for example to start the task.
    Failed,
    /// No answer came; it may have been done.
    Unknown,
}

/// A worker of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Its id.
    pub id: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// Its position in the rack; consecutive positions are adjacent.
    pub slot: u32,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Processor cores, in thousandths.
    pub millicores: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
    /// Whether it is about to go away and takes no new work.
    pub leaving: bool,
}

/// State of a task as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// Leased and not started.
    Held,
    /// Runs.
    Running,
    /// Exited well.
    Done,
    /// Exited badly.
    Failed,
    /// Stopped by the worker because it took more memory than its share.
    Overrun,
}

/// One task in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// Its number in the gang.
    pub index: u32,
    /// Its state.
    pub status: TaskStatus,
    /// Processor use, in thousandths of a core.
    pub millicores: u32,
    /// Memory in use, in mebibytes.
    pub memory_mib: u32,
    /// Exit code, once it has ended.
    pub exit: Option<i32>,
}

/// One job's leases in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseReport {
    /// The job.
    pub job: JobId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Accelerators held.
    pub accelerators: Vec<u8>,
    /// Tasks under the lease, ended ones included until the lease is released.
    pub tasks: Vec<TaskReport>,
    /// How long ago the last checkpoint was complete.
    pub checkpoint: Option<Duration>,
}

/// Everything a worker holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Upper bound on the time since the worker took the report.
    pub age: Duration,
    /// All leases held, ended tasks included until released.
    pub leases: Vec<LeaseReport>,
}

/// The part of an account's quota that this shard may hand out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The client account.
    pub account: AccountId,
    /// Accelerators.
    pub accelerators: u32,
}

/// What a shard is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// All pages of the shard, read when ownership begins.
    Pages {
        /// The pages.
        pages: Vec<StoredPage>,
        /// Wall-clock time.
        at: Stamp,
    },
    /// A job to accept.
    Submit {
        /// Names the reply.
        ticket: Ticket,
        /// The job.
        job: JobSpec,
        /// Wall-clock time.
        at: Stamp,
        /// Whether acceptance waits for the store.
        durable: bool,
    },
    /// A job to cancel.
    Cancel {
        /// Names the reply.
        ticket: Ticket,
        /// The job.
        job: JobId,
    },
    /// A job to describe.
    Query {
        /// Names the reply.
        ticket: Ticket,
        /// The job.
        job: JobId,
    },
    /// A page write ended.
    Written {
        /// The write.
        write: WriteId,
        /// How it ended.
        result: WriteResult,
    },
    /// A page read ended.
    PageRead {
        /// The page.
        key: String,
        /// How it ended.
        result: ReadResult,
    },
    /// A worker answered a lease.
    Leased {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
        /// The answer.
        result: WorkerAnswer,
    },
    /// A worker answered a start.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
        /// The answer.
        result: WorkerAnswer,
    },
    /// What a worker holds: the answer to a renewal, or sent by itself.
    Report {
        /// The worker.
        worker: WorkerId,
        /// The report.
        report: WorkerReport,
    },
    /// A worker does not answer.
    WorkerSilent {
        /// The worker.
        worker: WorkerId,
    },
    /// The whole list of workers of the shard.
    Workers {
        /// The list.
        list: Vec<WorkerInfo>,
    },
    /// The accounts and services of a newer configuration.
    Policy {
        /// The policy.
        policy: Arc<Policy>,
    },
    /// The shard's parts of the accounts' quotas; an account without one has its whole quota.
    Grants {
        /// The parts.
        grants: Vec<Grant>,
    },
    /// Ownership is lost: act no more.
    Fenced,
    /// Time has passed.
    Tick,
}
