//! How long requests run.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Distribution of run times: exponential around a mean, with stragglers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Mean of those that do not straggle; zero runs at once.
    pub mean: Duration,
    /// Whether all run exactly as long as the mean.
    pub constant: bool,
    /// Share of stragglers.
    pub straggler_share: f64,
    /// How many times longer a straggler runs.
    pub straggler_factor: f64,
}

impl ServiceTime {
    /// Every request runs this long.
    pub const fn constant(mean: Duration) -> ServiceTime {
        ServiceTime { mean, constant: true, straggler_share: 0.0, straggler_factor: 1.0 }
    }

    /// Exponential run times.
    pub const fn exponential(mean: Duration) -> ServiceTime {
        ServiceTime { mean, constant: false, straggler_share: 0.0, straggler_factor: 1.0 }
    }

    /// The same with a share of stragglers, which run `factor` times longer.
    pub const fn with_stragglers(self, straggler_share: f64, straggler_factor: f64) -> ServiceTime {
        ServiceTime { straggler_share, straggler_factor, ..self }
    }

    /// Draws one run time.
    pub fn draw(&self, rng: &mut impl Rng) -> Duration {
        let spread = if self.constant { 1.0 } else { -(1.0 - rng.random::<f64>()).ln() };
        let straggles = rng.random::<f64>() < self.straggler_share;
        self.mean.mul_f64(if straggles { spread * self.straggler_factor } else { spread })
    }
}
