//! Input events of a planner.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Advice;
use crate::Policy;
use crate::View;
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
    /// It completed its work.
    Done,
    /// It failed, whether the task or the worker was the cause.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended first.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// An active run, as reported by its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint; empty for none.
    pub saved: String,
    /// Progress in percent, 0 to 100.
    pub percent: u32,
}

/// The end of a run, as reported by its worker until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Sequence number of the end in the worker's incarnation, from one.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Last checkpoint; empty for none.
    pub saved: String,
}

/// A worker's answer to a lease renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewalReport {
    /// When the renewal was sent.
    pub sent: Time,
    /// The worker's clock when it answered, in ms.
    pub clock: u64,
    /// Start of the worker's incarnation, in ms of Unix time.
    pub incarnation: u64,
    /// Active runs.
    pub running: Vec<RunReport>,
    /// Ends that have not been acknowledged, or the first of them.
    pub ended: Vec<End>,
    /// Whether there may be further ends for which the answer had no room.
    pub truncated: bool,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It has seen a higher fencing token, of which [`Event::Fenced`] tells.
    Fence,
    /// It has already stopped or ended this run or a later one.
    Old,
    /// The lease had already expired when the start arrived.
    Late,
    /// It lacks free capacity.
    Room,
    /// The ticket of the advice service is missing or has expired.
    Ticket,
    /// It is unhealthy.
    Unwell,
    /// Another worker answered.
    Reborn,
    /// It rejected the order as malformed.
    Malformed,
}

/// Result of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The worker has the run.
    Taken,
    /// The worker refused the start and did nothing.
    Refused(Refusal),
    /// No answer arrived, so the worker may or may not have the run.
    Unknown,
    /// The start was not sent, since the time until which it may be sent had passed.
    NotSent,
}

/// Input event of a planner.
#[derive(Clone, Debug)]
pub enum Event {
    /// The configuration now in force.
    Configured(Arc<Policy>),
    /// All workers that the directory lists now.
    Listed(Vec<WorkerInfo>),
    /// A new job has been stored.
    Accepted(JobId, Submission),
    /// A job and its stored state, read when ownership is taken over.
    Restored(JobId, Submission, Option<Record>),
    /// All stored jobs have been passed to the planner.
    RestoreComplete,
    /// A caller cancelled a job.
    Cancelled(JobId),
    /// The store has confirmed the ownership, in answer to a call sent at this time.
    Confirmed(Time),
    /// A view includes all changes that were acknowledged before this time. The events that carry
    /// these changes precede it.
    Viewed(View, Time),
    /// The availability zones that are evacuated now.
    Evacuated(BTreeSet<String>),
    /// A worker answered a lease renewal.
    Renewed(WorkerId, RenewalReport),
    /// A worker did not answer a lease renewal.
    RenewalFailed(WorkerId),
    /// A transaction of this owner has been stored at this revision, the first of which is that of
    /// the claim. The revisions serve as fencing tokens.
    Stored(u64),
    /// The ownership's lease has expired.
    Deposed,
    /// A worker refused a call that carried this fencing token, since it has seen a higher one.
    Fenced(WorkerId, u64),
    /// A renewal was answered by another worker, which has the address now.
    Replaced(WorkerId),
    /// Result of a start: worker, task, run number and result.
    Started(WorkerId, TaskKey, u32, StartResult),
    /// Result of a stop: worker, task, run number and whether the worker answered.
    Stopped(WorkerId, TaskKey, u32, bool),
    /// Answer of the advice service; `None` if it refused the call or did not answer.
    Advised(Option<Advice>),
    /// The last commit has been stored.
    Committed,
    /// Nothing but the passing of time.
    Tick,
}
