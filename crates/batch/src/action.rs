//! Output actions of a planner.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::job::JobState;
use crate::record::Fate;
use crate::record::Record;
use crate::spec::JobId;
use crate::spec::Spec;
use crate::spec::StepKey;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use crate::views::View;
use model::Time;

/// Output action of a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store these records, and remove the jobs whose record is `None`. No further commit is issued
    /// until [`Event::Committed`](crate::Event::Committed) arrives for this one.
    Commit(Vec<(JobId, Option<Record>)>),
    /// Tell a worker to start a run.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        address: SocketAddr,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The job's specification, whose payload is sent with the start.
        spec: Arc<Spec>,
        /// End of the lease on the worker's clock, in ms.
        deadline: u64,
        /// Checkpoint to resume from; empty for none.
        saved: String,
        /// Ticket of the advice service; `None` where the queue needs none.
        ticket: Option<String>,
        /// Fencing token.
        token: u64,
        /// Latest time at which it may be sent. Later, the views of the outside world on which it
        /// is based are too old, and [`StartResult::NotSent`](crate::StartResult::NotSent) is
        /// reported instead.
        send_by: Time,
    },
    /// Ask the advice service which workers may run a step. No further call is issued until this
    /// one is answered or has failed.
    Advise {
        /// The step.
        step: StepKey,
        /// The candidate workers.
        workers: Vec<WorkerId>,
    },
    /// Tell a worker to stop a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        address: SocketAddr,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Fencing token.
        token: u64,
    },
    /// Renew the lease of all runs on a worker, and ask for its active runs and ends.
    Renew {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        address: SocketAddr,
        /// End of the lease on the worker's clock, in ms; `None` leaves the lease unchanged.
        deadline: Option<u64>,
        /// Sequence number up to which the worker may discard ends.
        seen: u64,
        /// How long the worker may delay its answer until a run ends, in ms.
        wait: u64,
        /// Fencing token.
        token: u64,
    },
    /// Make a worker refuse calls with a lower fencing token. Only a refusal of this call is
    /// reported.
    Fence {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        address: SocketAddr,
        /// Fencing token.
        token: u64,
    },
    /// Log a decision.
    Note(Note),
    /// Give up ownership, since another owner has a higher fencing token.
    Resign,
}

/// A decision to be logged.
#[derive(Clone, Debug, PartialEq, strum::AsRefStr)]
#[strum(serialize_all = "snake_case")]
pub enum Note {
    /// Tasks of a step were placed on workers.
    Placed {
        /// The job.
        job: JobId,
        /// The step.
        step: usize,
        /// Number of tasks placed.
        tasks: usize,
        /// Number of tasks that still wait for a worker.
        missing: usize,
        /// Scheduling rank of the step.
        rank: String,
        /// Age of the job as this owner knows it, in ms.
        age: u64,
    },
    /// No worker was found for a step; logged once, when the step starts to wait.
    Waits {
        /// The job.
        job: JobId,
        /// The step.
        step: usize,
        /// Number of tasks without a worker.
        missing: usize,
        /// Scheduling rank of the step.
        rank: String,
        /// Number of workers that accept new runs.
        usable: usize,
        /// Number of free accelerators on them.
        free: u64,
    },
    /// Runs are preempted in favour of a more urgent step.
    Reclaims {
        /// The job that gets the capacity.
        job: JobId,
        /// Number of tasks that the capacity is reserved for.
        tasks: usize,
        /// Tasks whose runs are stopped.
        stopped: Vec<TaskKey>,
        /// What stopping them costs, in core-milliseconds; an accelerator counts as eight cores.
        cost: u64,
    },
    /// A view has become too old for starts while some are due, or is fresh again.
    HoldsStarts {
        /// The view.
        view: View,
        /// Whether it holds up starts.
        holds: bool,
        /// Its age in ms; `None` if it has not been read yet.
        age: Option<u64>,
        /// Number of starts that wait.
        starts: usize,
    },
    /// A step that does not fit now gets a reservation; logged once for each step.
    Reserves {
        /// The job.
        job: JobId,
        /// The step.
        step: usize,
        /// Number of tasks that the reservation is for.
        tasks: u32,
        /// Number of workers that it includes.
        workers: usize,
        /// Time until it is expected to begin, in ms.
        wait: u64,
    },
    /// A worker gets no new runs for a limited time.
    #[strum(serialize = "shuns")]
    BacksOff {
        /// The worker.
        worker: WorkerId,
        /// Reason.
        why: &'static str,
        /// For how long, in ms.
        span: u64,
    },
    /// A run failed on a worker, which other tasks avoid for a limited time.
    #[strum(serialize = "doubts")]
    Suspects {
        /// The worker.
        worker: WorkerId,
        /// The job whose run failed.
        job: JobId,
        /// For how long, in ms.
        span: u64,
    },
    /// Runs make much less progress on a worker than elsewhere, so other workers are preferred.
    Slow {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker has stopped answering starts and stops, or answers them again.
    #[strum(serialize = "heeds")]
    AnswersOrders {
        /// The worker.
        worker: WorkerId,
        /// Whether it answers orders.
        heeds: bool,
    },
    /// Calls to a worker carry a higher fencing token from now on.
    RaisesToken {
        /// The worker.
        worker: WorkerId,
        /// The token.
        token: u64,
    },
    /// A new owner has restored the stored jobs and adopts their runs.
    Adopts {
        /// Number of jobs that have not ended, or still have runs.
        jobs: usize,
        /// Number of runs that workers may have.
        runs: usize,
        /// Number of these runs whose jobs have ended.
        ended_runs: usize,
        /// Number of runs that are being stopped, whether or not their jobs have ended.
        stopping: usize,
    },
    /// A worker has started again as another incarnation, and the runs placed on it are lost.
    Crashed {
        /// The worker.
        worker: WorkerId,
        /// Tasks whose runs may have been there.
        tasks: Vec<TaskKey>,
    },
    /// The worker of a run went silent or crashed soon after the start.
    Loses {
        /// The task.
        task: TaskKey,
        /// The worker.
        worker: WorkerId,
        /// What is known of the run.
        fate: Fate,
        /// Number of workers that the task has lost in a row; the job fails or the step waits with
        /// the third.
        losses: usize,
    },
    /// An entry of the directory names no worker to use, since its service is not configured; logged
    /// once for each change.
    IgnoresEntry {
        /// The worker whose entry it replaces.
        worker: WorkerId,
        /// The service.
        service: String,
    },
    /// A run is given up as lost; its task is scheduled again unless its job has ended.
    GivesUp {
        /// The task.
        task: TaskKey,
        /// The worker.
        worker: WorkerId,
        /// Reason.
        why: &'static str,
    },
    /// A job has more tasks than an owner can handle, and fails.
    Oversized {
        /// The job.
        job: JobId,
        /// Number of its tasks.
        tasks: u64,
    },
    /// A job has ended.
    Ends {
        /// The job.
        job: JobId,
        /// Final state of the job.
        state: JobState,
        /// Age of the job as this owner knows it, in ms.
        age: u64,
    },
}
