//! Counters and execution record of a backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use model::RequestId;

/// Request counters of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCounts {
    /// Requests whose header was received.
    pub arrived: u64,
    /// Requests that arrived while the server was leaving.
    pub refused: u64,
    /// Requests whose execution started.
    pub started: u64,
    /// Requests whose execution finished.
    pub finished: u64,
    /// Requests that had to wait for a slot.
    pub waited: u64,
    /// Maximum number of requests executed concurrently.
    pub peak: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) counts: BackendCounts,
    pub(crate) runs: BTreeMap<RequestId, u32>,
    running: u64,
    leaving_since: Option<Instant>,
    pub(crate) last_arrival: Option<Duration>,
}

impl Record {
    /// Counts an arriving request; returns whether the server accepts it.
    pub(crate) fn record_arrival(&mut self) -> bool {
        self.counts.arrived += 1;
        let Some(leaving_since) = self.leaving_since else { return true };
        self.last_arrival = Some(leaving_since.elapsed());
        self.counts.refused += 1;
        false
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    pub(crate) fn set_leaving(&mut self, leaving: bool) {
        self.leaving_since = leaving.then(Instant::now);
        self.last_arrival = None;
    }

    pub(crate) fn record_start(&mut self, id: RequestId) {
        self.counts.started += 1;
        self.running += 1;
        self.counts.peak = self.counts.peak.max(self.running);
        *self.runs.entry(id).or_default() += 1;
    }

    pub(crate) fn record_finish(&mut self) {
        assert!(self.running > 0, "a request finished that had not started");
        self.running -= 1;
        self.counts.finished += 1;
    }
}
