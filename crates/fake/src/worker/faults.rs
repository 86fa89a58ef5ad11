//! Faults of a worker.

use std::time::Duration;

/// Faults of a worker. Shares are of calls or tasks; the default has none.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerFaults {
    /// Calls are taken in and never answered nor given effect. Tasks go on until leases lapse.
    pub silent: bool,
    /// Every call waits this long before it takes effect.
    pub delay: Duration,
    /// Share of calls that take effect and end with the connection instead of an answer.
    pub lose_answer: f64,
    /// Share of leases that are refused.
    pub refuse_leases: f64,
    /// Share of starts that fail.
    pub fail_start: f64,
    /// Share of tasks that fail soon after their start.
    pub fail_tasks: f64,
    /// Share of tasks that take more memory than their share.
    pub overrun: f64,
    /// Speed of the clock by which the worker counts leases.
    pub clock_rate: f64,
    /// Age of the usage figures in reports.
    pub lag: Duration,
}

impl Default for WorkerFaults {
    fn default() -> WorkerFaults {
        WorkerFaults {
            silent: false,
            delay: Duration::ZERO,
            lose_answer: 0.0,
            refuse_leases: 0.0,
            fail_start: 0.0,
            fail_tasks: 0.0,
            overrun: 0.0,
            clock_rate: 1.0,
            lag: Duration::ZERO,
        }
    }
}

impl WorkerFaults {
    /// Starts what it is asked to, and everything fails.
    pub fn fail_all_tasks() -> WorkerFaults {
        WorkerFaults { fail_tasks: 1.0, ..WorkerFaults::default() }
    }
}
