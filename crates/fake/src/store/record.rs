//! Counts of calls.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;

/// Calls that are remembered with their times.
const MAX_REMEMBERED: usize = 1 << 20;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// A read.
    Range,
    /// An unconditional write.
    Put,
    /// A transaction.
    Txn,
    /// A new lease.
    Grant,
    /// A renewal of a lease.
    KeepAlive,
    /// The end of a lease.
    Revoke,
    /// A watch; it counts once, however long it waits.
    Watch,
}

#[derive(Clone, Copy, Debug)]
struct Stamped {
    at: Time,
    kind: CallKind,
}

/// The calls that the store was sent.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    calls: VecDeque<Stamped>,
}

impl Calls {
    pub(crate) fn record(&mut self, at: Time, kind: CallKind) {
        if self.calls.len() == MAX_REMEMBERED {
            self.calls.pop_front();
        }
        self.calls.push_back(Stamped { at, kind });
    }

    pub(crate) fn count(&self, kind: Option<CallKind>) -> u64 {
        self.calls.iter().filter(|call| kind.is_none_or(|kind| call.kind == kind)).count() as u64
    }

    pub(crate) fn since(&self, from: Time) -> u64 {
        self.calls.iter().rev().take_while(|call| call.at >= from).count() as u64
    }

    /// Most calls in any span of time this long.
    pub(crate) fn peak(&self, window: Duration) -> u64 {
        let mut recent = VecDeque::new();
        let mut peak = 0;
        for call in &self.calls {
            recent.push_back(call.at);
            while recent.front().is_some_and(|first| call.at.since(*first) >= window) {
                recent.pop_front();
            }
            peak = peak.max(recent.len());
        }
        peak as u64
    }

    pub(crate) fn clear(&mut self) {
        self.calls.clear();
    }
}
