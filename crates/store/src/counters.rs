//! Counts of calls by purpose and outcome.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use crate::api::Purpose;
use crate::error::Error;

const PURPOSES: usize = Purpose::VARIANTS.len();
const OUTCOMES: usize = Outcome::VARIANTS.len();

/// How a call ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, AsRefStr, Display, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The store answered.
    Answered,
    /// The store refused it.
    Rejected,
    /// It was sent and got no answer.
    Unanswered,
    /// It was never sent.
    Unsent,
}

impl Outcome {
    /// Whether the call reached the store, as far as the client can tell.
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

/// Calls of one purpose that ended in one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// Why they were made.
    pub purpose: Purpose,
    /// How they ended.
    pub outcome: Outcome,
    /// How many there were.
    pub calls: u64,
}

/// Counts at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// One count for each purpose and outcome that occurred.
    pub counts: Vec<Count>,
    /// Calls that were sent a second time.
    pub retries: u64,
    /// Watches opened at the store.
    pub watches: u64,
    /// Connections made.
    pub connections: u64,
}

impl Counters {
    /// Calls of one purpose that ended in one way.
    pub fn calls(&self, purpose: Purpose, outcome: Outcome) -> u64 {
        self.counts
            .iter()
            .filter(|count| count.purpose == purpose && count.outcome == outcome)
            .map(|count| count.calls)
            .sum()
    }

    /// Calls that left, whatever became of them.
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
