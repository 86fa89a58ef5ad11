//! Job specifications, attempts and placements.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use model::AccountId;
use model::Epoch;
use model::GangShape;
use model::JobId;
use model::Priority;
use model::ServiceId;
use model::WorkerId;

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id chosen by the caller. Submitting the same id again is idempotent.
    pub id: JobId,
    /// Client account whose quota the job uses.
    pub account: AccountId,
    /// Service that the job belongs to. Run times are learned per service.
    pub service: ServiceId,
    /// Number of tasks, resources of each, and how close to each other they must run.
    pub shape: GangShape,
    /// Scheduling priority.
    pub priority: Priority,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Whether its tasks can write a checkpoint and resume from it.
    pub checkpoint: bool,
    /// Run time that the account declared, or zero if it declared none.
    pub declared: Duration,
}

impl JobSpec {
    /// Whether the job may be started again after an attempt that may have run.
    pub fn rerunnable(&self) -> bool {
        self.idempotent || self.checkpoint
    }
}

/// Fencing token of one attempt to run a job; later attempts have higher ones.
///
/// The upper bits hold the epoch of the shard's owner, so at the workers any attempt of a later
/// owner outranks all attempts of earlier ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u64);

const ATTEMPT_COUNT_BITS: u32 = 24;

impl Attempt {
    /// The lowest attempt above this one that an owner with `epoch` may use.
    pub fn next(self, epoch: Epoch) -> Attempt {
        Attempt((self.0 + 1).max(epoch.0 << ATTEMPT_COUNT_BITS))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0 >> ATTEMPT_COUNT_BITS, self.0 & ((1 << ATTEMPT_COUNT_BITS) - 1))
    }
}

/// The part of a gang that runs on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The worker.
    pub worker: WorkerId,
    /// Indexes of the accelerators on that worker.
    pub accelerators: Vec<u8>,
    /// Index of the first task in the gang.
    pub first: u32,
    /// Number of tasks on this worker.
    pub tasks: u32,
}
