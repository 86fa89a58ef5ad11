//! Fault injection for backend servers.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Faults that a backend server injects.
///
/// Shares are fractions of requests between 0 and 1. At most one of them applies to a request, so
/// their sum must not exceed 1. The default injects no faults.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendFaults {
    /// Whether connections are refused.
    pub refuse: bool,
    /// Share whose connection is closed before the body is read.
    pub before_read: f64,
    /// Share whose connection is closed after the body is read, without execution.
    pub after_read: f64,
    /// Share that is executed and whose connection is then closed without an answer.
    pub after_run: f64,
    /// Share that is executed and whose connection is closed in the middle of the answer.
    pub mid_answer: f64,
    /// Share that is executed and never answered, with the connection left open.
    pub silent: f64,
    /// Share that is executed and answered with a delay of `late_by`.
    pub late: f64,
    /// Delay of late answers.
    pub late_by: Duration,
    /// Share that is executed and answered with status 500.
    pub fail: f64,
    /// Factor by which all service times are multiplied.
    pub slowdown: f64,
}

impl Default for BackendFaults {
    fn default() -> BackendFaults {
        BackendFaults {
            refuse: false,
            before_read: 0.0,
            after_read: 0.0,
            after_run: 0.0,
            mid_answer: 0.0,
            silent: 0.0,
            late: 0.0,
            late_by: Duration::ZERO,
            fail: 0.0,
            slowdown: 1.0,
        }
    }
}

/// Fault injected into one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFault {
    BeforeRead,
    AfterRead,
    AfterRun,
    MidAnswer,
    Silent,
    Late,
    Fail,
}

impl BackendFaults {
    /// Draws the fault of one request; `None` if it is handled normally.
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> Option<RequestFault> {
        let shares = [
            (self.before_read, RequestFault::BeforeRead),
            (self.after_read, RequestFault::AfterRead),
            (self.after_run, RequestFault::AfterRun),
            (self.mid_answer, RequestFault::MidAnswer),
            (self.silent, RequestFault::Silent),
            (self.late, RequestFault::Late),
            (self.fail, RequestFault::Fail),
        ];
        let mut drawn: f64 = rng.random();
        for (share, fault) in shares {
            if drawn < share {
                return Some(fault);
            }
            drawn -= share;
        }
        None
    }
}
