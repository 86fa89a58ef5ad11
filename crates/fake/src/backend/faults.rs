//! Faults of a backend server.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Faults of a backend server. Shares are of requests; the default has none.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendFaults {
    /// Connections are refused.
    pub refuse: bool,
    /// Share that ends with the connection before the body is read.
    pub before_read: f64,
    /// Share that ends with the connection after the body is read, without running.
    pub after_read: f64,
    /// Share that runs and ends with the connection instead of an answer.
    pub after_run: f64,
    /// Share that runs and ends with the connection in the middle of the answer.
    pub mid_answer: f64,
    /// Share that runs and is never answered.
    pub silent: f64,
    /// Share that runs and is answered late.
    pub late: f64,
    /// How late.
    pub late_by: Duration,
    /// Share that runs and is answered with status 500.
    pub fail: f64,
    /// Factor on every service time.
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

/// What goes wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mishap {
    BeforeRead,
    AfterRead,
    AfterRun,
    MidAnswer,
    Silent,
    Late,
    Fail,
}

impl BackendFaults {
    /// Draws what goes wrong with one request; at most one thing does.
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> Option<Mishap> {
        let shares = [
            (self.before_read, Mishap::BeforeRead),
            (self.after_read, Mishap::AfterRead),
            (self.after_run, Mishap::AfterRun),
            (self.mid_answer, Mishap::MidAnswer),
            (self.silent, Mishap::Silent),
            (self.late, Mishap::Late),
            (self.fail, Mishap::Fail),
        ];
        let mut drawn: f64 = rng.random();
        for (share, mishap) in shares {
            if drawn < share {
                return Some(mishap);
            }
            drawn -= share;
        }
        None
    }
}
