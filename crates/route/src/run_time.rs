//! Run time estimates, learned from finished runs; declared run times are not trusted.

use std::time::Duration;

/// Weight of a new run in the moving averages.
const EWMA_GAIN: f64 = 1.0 / 16.0;
/// Mean run time in microseconds assumed before any run was observed.
const INITIAL_MEAN_MICROS: f64 = 10_000.0;

/// Exponentially weighted mean and mean deviation of the run times of one service, in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct RunTimeEstimate {
    mean: f64,
    deviation: f64,
    observed: bool,
}

impl RunTimeEstimate {
    /// Creates an estimate without observations.
    pub(crate) fn new() -> RunTimeEstimate {
        RunTimeEstimate {
            mean: INITIAL_MEAN_MICROS,
            deviation: INITIAL_MEAN_MICROS / 2.0,
            observed: false,
        }
    }

    /// Updates the estimate with the run time of one run.
    pub(crate) fn observe(&mut self, run: Duration) {
        let micros = run.as_micros() as f64;
        if !self.observed {
            self.observed = true;
            self.mean = micros;
            self.deviation = micros / 2.0;
            return;
        }
        let error = micros - self.mean;
        self.mean += error * EWMA_GAIN;
        self.deviation += (error.abs() - self.deviation) * EWMA_GAIN;
    }

    /// Whether any run has been observed.
    pub(crate) fn is_known(&self) -> bool {
        self.observed
    }

    /// Expected run time in microseconds.
    pub(crate) fn mean_micros(&self) -> u64 {
        self.mean as u64
    }

    /// Expected run time.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_micros())
    }

    /// Run time that few runs exceed: the mean plus three mean deviations.
    pub(crate) fn tail(&self) -> Duration {
        Duration::from_micros((self.mean + 3.0 * self.deviation) as u64)
    }

    /// Ratio of `run` to the mean.
    pub(crate) fn ratio(&self, run: Duration) -> f64 {
        run.as_micros() as f64 / self.mean.max(1.0)
    }
}
