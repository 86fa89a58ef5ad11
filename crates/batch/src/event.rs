//! What a planner is told.

use std::sync::Arc;

use crate::Advice;
use crate::Policy;
use crate::directory::WorkerInfo;
use crate::record::Record;
use crate::spec::JobId;
use crate::spec::Submission;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Its work is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that a worker lists as at work.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint; empty for none.
    pub saved: String,
    /// Progress, 0 to 100.
    pub percent: u32,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Number of the end in the worker's incarnation, from one.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Last checkpoint; empty for none.
    pub saved: String,
}

/// A worker's answer to a lease renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewalReport {
    /// When the call was sent.
    pub sent: Time,
    /// The worker's clock, in ms.
    pub clock: u64,
    /// Start of the worker's incarnation, in ms of Unix time.
    pub incarnation: u64,
    /// Runs at work.
    pub running: Vec<RunReport>,
    /// Ends that are not acknowledged.
    pub ended: Vec<End>,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fence,
    /// It has stopped or ended this run or a later one.
    Old,
    /// The lease had run out on arrival.
    Late,
    /// It lacks room.
    Room,
    /// The ticket of the advice service is missing or has run out.
    Ticket,
    /// It is not healthy.
    Unwell,
    /// It is another incarnation.
    Reborn,
    /// It holds the order for malformed.
    Malformed,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The run is there.
    Taken,
    /// Nothing was done.
    Refused(Refusal),
    /// Nobody knows.
    Unknown,
}

/// What a planner is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration in force.
    Configured(Arc<Policy>),
    /// The workers that the directory lists.
    Listed(Vec<WorkerInfo>),
    /// A job is in the store.
    Accepted(JobId, Submission),
    /// A job with its stored state, read at a takeover.
    Restored(JobId, Submission, Option<Record>),
    /// All stored jobs have been handed over.
    RestoreComplete,
    /// A caller cancelled a job.
    Cancelled(JobId),
    /// A worker answered a renewal.
    Renewed(WorkerId, RenewalReport),
    /// A renewal was not answered.
    RenewalFailed(WorkerId),
    /// A worker has seen a higher fencing token, or the ownership's lease has ended.
    Deposed,
    /// A renewal met another incarnation.
    Replaced(WorkerId),
    /// What became of a start at a worker.
    Started(WorkerId, TaskKey, u32, StartResult),
    /// A worker answered a stop, or not.
    Stopped(WorkerId, TaskKey, u32, bool),
    /// The advice service answered, or not.
    Advised(Option<Advice>),
    /// The last commit is in the store.
    Committed,
    /// Time has passed.
    Tick,
}
