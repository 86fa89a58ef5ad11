//! What a client account asks for when it submits a job.

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
    /// Its id, which the caller may repeat at will.
    pub id: JobId,
    /// Who pays for it.
    pub account: AccountId,
    /// What kind of work it is; run times are learned by service.
    pub service: ServiceId,
    /// Resources of all tasks.
    pub shape: GangShape,
    /// How soon it is wanted.
    pub priority: Priority,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its tasks can write a checkpoint and resume from it.
    pub checkpoint: bool,
    /// Run time that the account declared.
    pub declared: Duration,
}

impl JobSpec {
    /// Whether a further attempt is allowed after one that may have run.
    pub fn rerunnable(&self) -> bool {
        self.idempotent || self.checkpoint
    }
}

/// Fencing number of one attempt to run a job: a later attempt has a higher one.
///
/// The owner's epoch stands in the upper half, so that an attempt of a later owner outranks all
/// attempts of earlier ones at the workers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u64);

const ATTEMPT_COUNT_BITS: u32 = 24;

impl Attempt {
    /// The first attempt above this one that an owner with `epoch` may make.
    pub fn next(self, epoch: Epoch) -> Attempt {
        Attempt((self.0 + 1).max(epoch.0 << ATTEMPT_COUNT_BITS))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0 >> ATTEMPT_COUNT_BITS, self.0 & ((1 << ATTEMPT_COUNT_BITS) - 1))
    }
}

/// The part of a gang that one worker holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The worker.
    pub worker: WorkerId,
    /// Its accelerators, by number.
    pub accelerators: Vec<u8>,
    /// Number of the first task.
    pub first: u32,
    /// How many tasks run here.
    pub tasks: u32,
}
