//! Bounds that decisions work within.

use std::time::Duration;

/// Bounds of a planner. The deployment's settings give them; none has a default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest lease that a worker grants.
    pub lease: Duration,
    /// Longest time that a worker takes to stop a task.
    pub stop: Duration,
    /// Time that a gang's first member waits for the others.
    pub gather: Duration,
    /// Slow-down of a task away from its data, or of a gang over several racks.
    pub far_factor: u32,
    /// Time for which the state of a job that has ended is kept.
    pub retention: Duration,
    /// Time within which a guaranteed job's first step has to run.
    pub reclaim: Duration,
}
