//! What follows from the store's answers.

use crate::Attempt;
use crate::Ticket;
use crate::page::Record;
use model::JobId;

/// What becomes true once a page is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// A job is accepted.
    Accepted {
        /// The call to answer.
        ticket: Ticket,
        /// The job.
        job: JobId,
    },
    /// A cancellation is accepted.
    Cancel {
        /// The call to answer.
        ticket: Ticket,
    },
    /// A placement is committed.
    Placed {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
    },
    /// What becomes of a stopped job is kept.
    Vacated {
        /// The job.
        job: JobId,
        /// The attempt that was stopped.
        attempt: Attempt,
    },
    /// A job's end is kept.
    Ended {
        /// The job.
        job: JobId,
    },
}

/// What the store's answer means.
#[derive(Debug, Default)]
pub(crate) struct PageOutcome {
    /// Marks that are true now.
    pub(crate) effects: Vec<Effect>,
    /// Marks that certainly did not reach the store.
    pub(crate) rejected: Vec<Effect>,
    /// Records of another owner that take the place of ours.
    pub(crate) merged: Vec<Record>,
    /// The page they are from.
    pub(crate) page: usize,
    /// Whether a page was claimed just now.
    pub(crate) claimed: bool,
    /// Whether a later owner has written.
    pub(crate) fenced: bool,
}
