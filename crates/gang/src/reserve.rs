//! Room kept for a gang that is blocked.

use crate::place::need::Slot;
use model::JobId;
use model::Time;

/// Room kept for a gang that is blocked, until the jobs in it have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    /// The gang.
    pub(crate) job: JobId,
    /// What it will take.
    pub(crate) slots: Vec<Slot>,
    /// When all of it is expected to be free.
    pub(crate) at: Time,
}
