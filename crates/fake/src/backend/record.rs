//! What a backend server did.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use model::RequestId;

/// Counts of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCounts {
    /// Requests whose head arrived.
    pub arrived: u64,
    /// Requests refused because the server was leaving.
    pub refused: u64,
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests that had to wait for a slot.
    pub waited: u64,
    /// Requests that ran at once, at most.
    pub peak: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) counts: BackendCounts,
    pub(crate) runs: BTreeMap<RequestId, u32>,
    running: u64,
    left_at: Option<Instant>,
    pub(crate) last_arrival: Option<Duration>,
}

impl Record {
    /// Notes a request and says whether the server takes it.
    pub(crate) fn arrive(&mut self) -> bool {
        self.counts.arrived += 1;
        let Some(left_at) = self.left_at else { return true };
        self.last_arrival = Some(left_at.elapsed());
        self.counts.refused += 1;
        false
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.left_at.is_some()
    }

    pub(crate) fn leave(&mut self, leaving: bool) {
        self.left_at = leaving.then(Instant::now);
        self.last_arrival = None;
    }

    pub(crate) fn start(&mut self, id: RequestId) {
        self.counts.started += 1;
        self.running += 1;
        self.counts.peak = self.counts.peak.max(self.running);
        *self.runs.entry(id).or_default() += 1;
    }

    pub(crate) fn finish(&mut self) {
        assert!(self.running > 0, "a request ended that never ran");
        self.running -= 1;
        self.counts.finished += 1;
    }
}
