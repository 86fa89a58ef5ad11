//! Bounds that decisions work within.

use std::time::Duration;

/// Bounds of a planner. The deployment's settings give them; none has a default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest lease that a worker grants.
    pub lease: Duration,
    /// Longest time that a worker takes to stop a task.
    pub stop: Duration,
    /// Time for which the state of a job that has ended is kept.
    pub retention: Duration,
}
