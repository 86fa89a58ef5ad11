//! Counts answers and checks each against its own request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hdrhistogram::Histogram;

use model::Class;
use model::JobId;
use model::RequestId;

/// Longest wait that the histograms hold, in microseconds.
const MAX_WAIT_US: u64 = 600_000_000;

/// What became of one request, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallerOutcome {
    /// It ran, and this is its answer.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// No answer came.
    Lost,
}

/// Waits of one kind.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        let histogram = Histogram::new_with_bounds(1, MAX_WAIT_US, 3);
        Latencies { histogram: histogram.unwrap_or_else(|_| unreachable!("bounds are constant")) }
    }
}

impl Latencies {
    /// Counts one wait.
    pub fn add(&mut self, wait: Duration) {
        let micros = u64::try_from(wait.as_micros()).unwrap_or(MAX_WAIT_US);
        self.histogram.saturating_record(micros.clamp(1, MAX_WAIT_US));
    }

    /// Number of waits.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// A quantile.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_quantile(quantile))
    }
}

/// Everything that callers were told.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests by what their callers were told.
    pub outcomes: BTreeMap<CallerOutcome, u64>,
    /// Reasons other than an answer.
    pub reasons: BTreeMap<String, u64>,
    /// Answers that belong to another request.
    pub mismatched: Vec<RequestId>,
    /// Requests that may run more than once.
    pub idempotent: BTreeSet<RequestId>,
    /// Requests whose caller was told that they did not run.
    pub not_run: Vec<RequestId>,
    /// Requests whose caller was told that they ran.
    pub ran: Vec<RequestId>,
    /// Waits by latency class.
    pub waits: BTreeMap<Class, Latencies>,
    /// Jobs accepted, by what became of them.
    pub jobs: BTreeMap<String, u64>,
    /// Jobs refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Times from submission to completion.
    pub completions: Latencies,
    /// Jobs as their submitters know them.
    pub gangs: BTreeMap<JobId, fake::Gang>,
}

impl Tally {
    /// Counts what a caller was told.
    pub fn add(&mut self, outcome: CallerOutcome) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Counts a reason.
    pub fn reason(&mut self, reason: &str) {
        *self.reasons.entry(reason.to_owned()).or_default() += 1;
    }

    /// Number of requests with this end.
    pub fn count(&self, outcome: CallerOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }
}
