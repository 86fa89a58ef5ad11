//! Fault injection for workers.

use std::time::Duration;

/// Faults that a worker injects.
///
/// Shares are fractions of calls, leases, starts or tasks between 0 and 1. The default injects no
/// faults.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerFaults {
    /// Whether calls are accepted but neither executed nor answered. Tasks continue until their
    /// leases lapse.
    pub silent: bool,
    /// Delay before a call takes effect.
    pub delay: Duration,
    /// Share of calls that take effect but get no answer: their connection is closed.
    pub lose_answer: f64,
    /// Share of lease calls that are refused.
    pub refuse_leases: f64,
    /// Share of start calls that fail.
    pub fail_start: f64,
    /// Share of tasks that fail shortly after their start.
    pub fail_tasks: f64,
    /// Share of tasks that exceed their memory limit.
    pub overrun: f64,
    /// Speed of the clock on which leases expire, relative to real time.
    pub clock_rate: f64,
    /// Age of the resource usage in reports.
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
    /// Returns faults with which every task is started and then fails.
    pub fn fail_all_tasks() -> WorkerFaults {
        WorkerFaults { fail_tasks: 1.0, ..WorkerFaults::default() }
    }
}
