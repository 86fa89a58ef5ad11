//! Consequences of page writes.

use crate::Attempt;
use crate::Ticket;
use crate::page::Record;
use model::JobId;

/// Follow-up that is due once the page that carries it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// A job's acceptance is stored.
    Accepted {
        /// Call to answer.
        ticket: Ticket,
        /// The job.
        job: JobId,
    },
    /// A cancellation is stored.
    Cancel {
        /// Call to answer.
        ticket: Ticket,
    },
    /// A placement is stored.
    Placed {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The stage of a job whose gang is gone is stored.
    Released {
        /// The job.
        job: JobId,
        /// The attempt that was stopped.
        attempt: Attempt,
    },
    /// The success of a job is stored.
    Ended {
        /// The job.
        job: JobId,
    },
}

/// Consequences of an answer of the store.
#[derive(Debug, Default)]
pub(crate) struct PageOutcome {
    /// Effects that are stored now.
    pub(crate) effects: Vec<Effect>,
    /// Effects that certainly were not stored.
    pub(crate) rejected: Vec<Effect>,
    /// Records read from the store that replace the ones in memory.
    pub(crate) merged: Vec<Record>,
    /// Index of the page.
    pub(crate) page: usize,
    /// Whether this owner has now written the page for the first time.
    pub(crate) claimed: bool,
    /// Whether a later owner has written the page, or it cannot be decoded any more.
    pub(crate) fenced: bool,
}
