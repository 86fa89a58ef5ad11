//! What a planner wants done.

use std::sync::Arc;

use crate::record::Record;
use crate::spec::JobId;
use crate::spec::Spec;
use crate::spec::TaskKey;
use crate::spec::WorkerId;

/// What a planner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store these records, all or none. The next commit comes after the answer to this one.
    Commit(Vec<(JobId, Record)>),
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
    Hold {
        /// The worker.
        worker: WorkerId,
        /// End of the lease on the worker's clock, in ms; none leaves it as it is.
        deadline: Option<u64>,
        /// Last end that it may forget.
        seen: u64,
        /// How long it may wait for an end, in ms.
        wait: u64,
    },
    /// Give up ownership: another owner has a higher fencing token.
    Resign,
}
