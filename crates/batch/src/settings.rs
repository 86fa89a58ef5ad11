//! Time limits of the planner.

use std::time::Duration;

use crate::ViewBounds;

/// Time limits of a planner. The deployment's settings provide them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest lease that a worker grants.
    pub lease: Duration,
    /// Longest time that a worker needs to stop a task.
    pub stop: Duration,
    /// Time for which the state of an ended job is kept in the store.
    pub retention: Duration,
    /// Times from which starts have to respect changes in the store.
    pub bounds: ViewBounds,
}
