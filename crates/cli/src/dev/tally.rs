//! Counts of the outcomes that callers were told.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hdrhistogram::Histogram;

use model::Class;
use model::JobId;
use model::RequestId;

/// Longest latency that the histograms record, in microseconds; longer ones are clamped.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallerOutcome {
    /// It ran, and its response was returned.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// No usable response arrived.
    Lost,
}

/// Histogram of latencies.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Latencies { histogram: histogram.unwrap_or_else(|_| unreachable!("bounds are constant")) }
    }
}

impl Latencies {
    /// Records a latency.
    pub fn add(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.histogram.saturating_record(micros.clamp(1, MAX_LATENCY_US));
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Latency at `quantile`, which ranges from 0 to 1.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_quantile(quantile))
    }
}

/// Everything that callers were told, for comparison with what actually ran.
#[derive(Debug, Default)]
pub struct Tally {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<CallerOutcome, u64>,
    /// Number of responses without a result, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Requests that received the response of another request.
    pub mismatched: Vec<RequestId>,
    /// Idempotent requests, which may run more than once.
    pub idempotent: BTreeSet<RequestId>,
    /// Requests whose caller was told that they did not run.
    pub not_run: Vec<RequestId>,
    /// Requests whose caller was told that they ran.
    pub ran: Vec<RequestId>,
    /// Latencies of requests by class.
    pub latencies: BTreeMap<Class, Latencies>,
    /// Number of accepted jobs whose verdict is final, by state.
    pub jobs: BTreeMap<String, u64>,
    /// Number of refused jobs, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Times from the submission of a job to its final verdict.
    pub completions: Latencies,
    /// Accepted jobs with the properties that violations are checked against.
    pub gangs: BTreeMap<JobId, fake::Gang>,
}

impl Tally {
    /// Counts an outcome.
    pub fn add(&mut self, outcome: CallerOutcome) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Counts a reason.
    pub fn add_reason(&mut self, reason: &str) {
        *self.reasons.entry(reason.to_owned()).or_default() += 1;
    }

    /// Number of requests with this outcome.
    pub fn count(&self, outcome: CallerOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }
}
