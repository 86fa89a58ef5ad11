//! Service times of requests.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Distribution of service times: constant or exponential, with an optional share of stragglers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Mean over the requests that are not stragglers; zero finishes them immediately.
    pub mean: Duration,
    /// Whether every request takes exactly the mean instead of an exponentially distributed time.
    pub constant: bool,
    /// Share of requests that are stragglers, between 0 and 1.
    pub straggler_share: f64,
    /// Factor by which the service time of a straggler is multiplied.
    pub straggler_factor: f64,
}

impl ServiceTime {
    /// Returns a constant service time.
    pub const fn constant(mean: Duration) -> ServiceTime {
        ServiceTime { mean, constant: true, straggler_share: 0.0, straggler_factor: 1.0 }
    }

    /// Returns exponentially distributed service times.
    pub const fn exponential(mean: Duration) -> ServiceTime {
        ServiceTime { mean, constant: false, straggler_share: 0.0, straggler_factor: 1.0 }
    }

    /// Adds a share of stragglers, which take `straggler_factor` times as long.
    pub const fn with_stragglers(self, straggler_share: f64, straggler_factor: f64) -> ServiceTime {
        ServiceTime { straggler_share, straggler_factor, ..self }
    }

    /// Draws one service time.
    pub fn draw(&self, rng: &mut impl Rng) -> Duration {
        let spread = if self.constant { 1.0 } else { -(1.0 - rng.random::<f64>()).ln() };
        let straggles = rng.random::<f64>() < self.straggler_share;
        self.mean.mul_f64(if straggles { spread * self.straggler_factor } else { spread })
    }
}
