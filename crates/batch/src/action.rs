//! What a planner wants done.

use std::sync::Arc;

use crate::job::JobState;
use crate::record::Record;
use crate::spec::JobId;
use crate::spec::Spec;
use crate::spec::StepKey;
use crate::spec::TaskKey;
use crate::spec::WorkerId;

/// What a planner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store these records, or remove the job where there is none. The next commit comes after the
    /// answer to this one.
    Commit(Vec<(JobId, Option<Record>)>),
    /// Tell a worker to start a run.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The job's spec, whose payload goes along.
        spec: Arc<Spec>,
        /// End of the lease on the worker's clock, in ms.
        deadline: u64,
        /// Checkpoint to resume from; empty for none.
        saved: String,
        /// Ticket of the advice service, where the queue needs one.
        ticket: Option<String>,
    },
    /// Ask the advice service which workers may run a step. The next call comes after the answer
    /// to this one.
    Advise {
        /// The step.
        step: StepKey,
        /// The workers in question.
        workers: Vec<WorkerId>,
    },
    /// Tell a worker to stop a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
    },
    /// Renew the lease of all that runs on a worker, and ask for its runs and ends.
    Renew {
        /// The worker.
        worker: WorkerId,
        /// End of the lease on the worker's clock, in ms; none leaves it as it is.
        deadline: Option<u64>,
        /// Last end that it may forget.
        seen: u64,
        /// How long it may wait for an end, in ms.
        wait: u64,
    },
    /// Log a decision.
    Note(Note),
    /// Give up ownership: another owner has a higher fencing token.
    Resign,
}

/// A decision to be logged.
#[derive(Clone, Debug, PartialEq, strum::AsRefStr)]
#[strum(serialize_all = "snake_case")]
pub enum Note {
    /// Tasks of a step got their places.
    Placed {
        /// The job.
        job: JobId,
        /// The step.
        step: usize,
        /// Tasks that were placed.
        tasks: usize,
        /// Tasks that wait on.
        missing: usize,
        /// How urgent the step is.
        rank: String,
        /// Time since the owner has known the job, in ms.
        age: u64,
    },
    /// No place was found for a step; noted when it starts to wait.
    Waits {
        /// The job.
        job: JobId,
        /// The step.
        step: usize,
        /// Tasks without a place.
        missing: usize,
        /// How urgent the step is.
        rank: String,
        /// Workers that take runs.
        usable: usize,
        /// Accelerators free on them.
        free: u64,
    },
    /// Runs are stopped to make room for a more urgent step.
    Reclaims {
        /// The job that gets the room.
        job: JobId,
        /// Tasks that room is made for.
        tasks: usize,
        /// The runs that are stopped.
        stopped: Vec<TaskKey>,
    },
    /// A worker gets no new runs for a while.
    #[strum(serialize = "shuns")]
    BacksOff {
        /// The worker.
        worker: WorkerId,
        /// Why.
        why: &'static str,
        /// For how long, in ms.
        span: u64,
    },
    /// A job's run failed on a worker, which others avoid for a while.
    #[strum(serialize = "doubts")]
    Suspects {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// For how long, in ms.
        span: u64,
    },
    /// A worker leaves orders undone, or carries them out again.
    #[strum(serialize = "heeds")]
    AnswersOrders {
        /// The worker.
        worker: WorkerId,
        /// Whether it carries out orders.
        heeds: bool,
    },
    /// A run is given up; its task gets another unless its job has ended.
    GivesUp {
        /// The task.
        task: TaskKey,
        /// The worker.
        worker: WorkerId,
        /// Why.
        why: &'static str,
    },
    /// A job has come to its end.
    Ends {
        /// The job.
        job: JobId,
        /// How.
        state: JobState,
        /// Time since the owner has known the job, in ms.
        age: u64,
    },
}
