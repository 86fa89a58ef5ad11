//! Record of the calls that the store received.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;

/// Maximum number of recorded calls; older ones are dropped.
const MAX_RECORDED_CALLS: usize = 1 << 20;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// A range read.
    Range,
    /// An unconditional put.
    Put,
    /// A transaction.
    Txn,
    /// A lease grant.
    Grant,
    /// A lease keep-alive.
    KeepAlive,
    /// A lease revocation.
    Revoke,
    /// A watch; counted once, however long its stream stays open.
    Watch,
}

#[derive(Clone, Copy, Debug)]
struct RecordedCall {
    at: Time,
    kind: CallKind,
}

/// Calls in the order in which they were received.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    calls: VecDeque<RecordedCall>,
}

impl Calls {
    pub(crate) fn record(&mut self, at: Time, kind: CallKind) {
        if self.calls.len() == MAX_RECORDED_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(RecordedCall { at, kind });
    }

    pub(crate) fn count(&self, kind: Option<CallKind>) -> u64 {
        self.calls.iter().filter(|call| kind.is_none_or(|kind| call.kind == kind)).count() as u64
    }

    pub(crate) fn count_since(&self, from: Time) -> u64 {
        self.calls.iter().rev().take_while(|call| call.at >= from).count() as u64
    }

    /// Returns the maximum number of calls within any time window of this length.
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
