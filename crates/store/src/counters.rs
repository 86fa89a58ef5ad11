//! Counters of calls by purpose and outcome, retries, watches and connections.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use crate::api::Purpose;
use crate::error::Error;

const PURPOSES: usize = Purpose::VARIANTS.len();
const OUTCOMES: usize = Outcome::VARIANTS.len();

/// Result of a call, as counted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, AsRefStr, Display, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The store responded with success.
    Answered,
    /// The store rejected the request, which had no effect.
    Rejected,
    /// The request was sent but got no valid response, or an error that leaves its effect open.
    Unanswered,
    /// The request was not sent.
    Unsent,
}

impl Outcome {
    /// Whether the request was sent. It may still not have reached the store.
    pub fn was_sent(self) -> bool {
        self != Outcome::Unsent
    }

    pub(crate) fn of(error: &Error) -> Outcome {
        match error {
            Error::Rejected { .. } => Outcome::Rejected,
            Error::Closed { .. }
            | Error::Timeout { .. }
            | Error::Failed { .. }
            | Error::Malformed(_) => Outcome::Unanswered,
            Error::Url { .. }
            | Error::Full { .. }
            | Error::Expired { .. }
            | Error::Down { .. }
            | Error::Connect { .. }
            | Error::Unsent { .. } => Outcome::Unsent,
        }
    }
}

/// Number of calls with one purpose and one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// Purpose of the calls.
    pub purpose: Purpose,
    /// Outcome of the calls.
    pub outcome: Outcome,
    /// Number of calls.
    pub calls: u64,
}

/// Snapshot of a client's counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Nonzero counts, ordered by purpose and outcome.
    pub counts: Vec<Count>,
    /// Calls that were retried.
    pub retries: u64,
    /// Watch streams opened.
    pub watches: u64,
    /// Connections established.
    pub connections: u64,
}

impl Counters {
    /// Number of calls with this purpose and outcome.
    pub fn calls(&self, purpose: Purpose, outcome: Outcome) -> u64 {
        self.counts
            .iter()
            .filter(|count| count.purpose == purpose && count.outcome == outcome)
            .map(|count| count.calls)
            .sum()
    }

    /// Number of calls that were sent, whatever their outcome.
    pub fn sent(&self) -> u64 {
        self.counts.iter().filter(|count| count.outcome.was_sent()).map(|count| count.calls).sum()
    }
}

#[derive(Debug, Default)]
pub(crate) struct AtomicCounters {
    calls: [[AtomicU64; OUTCOMES]; PURPOSES],
    pub(crate) retries: AtomicU64,
    pub(crate) watches: AtomicU64,
    pub(crate) connections: AtomicU64,
}

impl AtomicCounters {
    pub(crate) fn record(&self, purpose: Purpose, outcome: Outcome) {
        self.calls[purpose as usize][outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn counters(&self) -> Counters {
        Counters {
            counts: self.counts(),
            retries: self.retries.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
        }
    }

    fn counts(&self) -> Vec<Count> {
        let mut counts = Vec::new();
        for &purpose in Purpose::VARIANTS {
            for &outcome in Outcome::VARIANTS {
                let calls = self.calls[purpose as usize][outcome as usize].load(Ordering::Relaxed);
                if calls > 0 {
                    counts.push(Count { purpose, outcome, calls });
                }
            }
        }
        counts
    }
}
