//! Learned ratio of actual to estimated run times.
//!
//! Callers' estimates are off, but the tasks of one queue and step are usually off by a similar
//! factor. The factor is learned from the runs that complete.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of queues whose ratios are kept; the one without a run for the longest time is
/// dropped for another.
const MAX_QUEUES: usize = 128;
/// Maximum number of steps of a queue's jobs with a ratio of their own; later steps share the last.
const MAX_STEPS: usize = 8;
/// Number of runs from which a ratio is used.
const MIN_RUNS: u32 = 3;
/// Weight of a run in the mean is one over the number of runs, but not less than one over this
/// number, so that the mean follows changes within some tens of runs.
const MAX_WEIGHT_DIVISOR: u32 = 16;
/// A ratio of one.
const PERMILLE: u64 = 1_000;
/// Range of accepted ratios. Beyond it, the estimate or the measurement is an error.
const RATIO_RANGE: (u64, u64) = (PERMILLE / 20, PERMILLE * 20);

/// Learned ratios of actual to estimated run times, by queue and step.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    queues: BTreeMap<String, Queue>,
    /// Number of runs recorded.
    recorded: u64,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    steps: Vec<Ratio>,
    /// Number of the run that was recorded last.
    last: u64,
}

/// Exponentially weighted mean of a ratio.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    permille: u64,
    runs: u32,
}

impl Ratio {
    fn record(&mut self, permille: u64) {
        self.runs = self.runs.saturating_add(1);
        let divisor = u64::from(self.runs.min(MAX_WEIGHT_DIVISOR));
        self.permille = (self.permille * (divisor - 1) + permille) / divisor;
    }
}

impl RunTimes {
    /// Records that a run which was estimated to take `estimate` took `actual`.
    pub fn record(&mut self, queue: &str, step: usize, estimate: Duration, actual: Duration) {
        let Some(permille) = (actual.as_micros() * u128::from(PERMILLE))
            .checked_div(estimate.as_micros())
            .and_then(|permille| u64::try_from(permille).ok())
        else {
            return;
        };
        if !self.queues.contains_key(queue) {
            self.make_room();
            self.queues.insert(queue.to_owned(), Queue::default());
        }
        let Some(known) = self.queues.get_mut(queue) else { return };
        self.recorded += 1;
        known.last = self.recorded;
        let step = step.min(MAX_STEPS - 1);
        if known.steps.len() <= step {
            known.steps.resize(step + 1, Ratio::default());
        }
        known.steps[step].record(permille.clamp(RATIO_RANGE.0, RATIO_RANGE.1));
    }

    /// Run time to be expected where the caller's estimate is `estimate`; `None` if there is none.
    pub fn expected(&self, queue: &str, step: usize, estimate: Duration) -> Option<Duration> {
        if estimate.is_zero() {
            return None;
        }
        let ratio =
            self.queues.get(queue).and_then(|known| known.steps.get(step.min(MAX_STEPS - 1)));
        let permille =
            ratio.filter(|ratio| ratio.runs >= MIN_RUNS).map_or(PERMILLE, |r| r.permille);
        let micros = estimate.as_micros() * u128::from(permille) / u128::from(PERMILLE);
        Some(Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)))
    }

    /// Number of queues with a ratio.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Whether no ratio is known.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    fn make_room(&mut self) {
        if self.queues.len() < MAX_QUEUES {
            return;
        }
        let stalest = self.queues.iter().min_by_key(|(_, queue)| queue.last);
        if let Some(name) = stalest.map(|(name, _)| name.clone()) {
            self.queues.remove(&name);
        }
    }
}
