//! Store calls of one entry VM: rate limit, backoff and health.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::StoreRequest;
use crate::tuning::MAX_LOSSY_BACKOFF;
use crate::tuning::MAX_STORE_CALLS;
use crate::tuning::OUTAGE_SILENCE_LIMIT;
use crate::tuning::STORE_BACKOFF_RANGE;
use crate::tuning::STORE_CALL_TIMEOUT;
use crate::tuning::STORE_CALL_WINDOW;
use model::Time;

/// Number of consecutive failures after which the backoff stops doubling.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Store call without an outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub(crate) request: StoreRequest,
    pub(crate) sent_at: Time,
    /// Number of the view's latest change when the call was made.
    pub(crate) view_change: u64,
}

/// Store calls of one entry VM, with their rate limit and backoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreCalls {
    last_id: u64,
    pending: BTreeMap<u64, PendingCall>,
    recent_calls: VecDeque<Time>,
    failures: u32,
    backoff_until: Time,
    last_answer: Option<Time>,
    health_since: Time,
}

impl StoreCalls {
    /// Whether the last completed call was answered.
    pub(crate) fn is_healthy(&self) -> bool {
        self.failures == 0 && self.last_answer.is_some()
    }

    /// When [`StoreCalls::is_healthy`] last changed.
    pub(crate) fn health_since(&self) -> Time {
        self.health_since
    }

    /// When the store last answered; `None` if it never did.
    pub(crate) fn last_answer(&self) -> Option<Time> {
        self.last_answer
    }

    /// Whether an identical call is pending.
    pub(crate) fn is_pending(&self, request: &StoreRequest) -> bool {
        self.pending.values().any(|pending| pending.request == *request)
    }

    /// Whether a request for a new lease is pending.
    pub(crate) fn is_joining(&self) -> bool {
        let join = |pending: &PendingCall| matches!(pending.request, StoreRequest::Join { .. });
        self.pending.values().any(join)
    }

    /// Starts a call and returns its id, unless the backoff or the rate limit forbids it.
    pub(crate) fn start(
        &mut self,
        now: Time,
        request: &StoreRequest,
        view_change: u64,
    ) -> Option<u64> {
        let probing = self.failures > 0 && !self.pending.is_empty();
        let cost = request.cost() as usize;
        self.drop_expired(now);
        if now < self.backoff_until
            || probing
            || self.recent_calls.len() + cost > MAX_STORE_CALLS as usize
        {
            return None;
        }
        self.recent_calls.extend(std::iter::repeat_n(now, cost));
        assert!(
            self.recent_calls.len() <= MAX_STORE_CALLS as usize,
            "store call rate over the limit"
        );
        self.last_id += 1;
        self.pending.insert(
            self.last_id,
            PendingCall { request: request.clone(), sent_at: now, view_change },
        );
        Some(self.last_id)
    }

    /// Removes and returns the pending call of an outcome; `None` if the call has already timed
    /// out.
    pub(crate) fn finish(&mut self, call: u64) -> Option<PendingCall> {
        self.pending.remove(&call)
    }

    /// Records that the store answered.
    pub(crate) fn record_answer(&mut self, now: Time) {
        if !self.is_healthy() {
            self.health_since = now;
        }
        self.failures = 0;
        self.backoff_until = Time::ZERO;
        self.last_answer = Some(now);
    }

    /// Records a failure and starts the backoff; `jitter` between 0 and 1 spreads the retries.
    pub(crate) fn record_failure(&mut self, now: Time, jitter: f64) {
        if self.is_healthy() {
            self.health_since = now;
        }
        let backoff =
            STORE_BACKOFF_RANGE.0.saturating_mul(1 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        // A store that still answers some calls is lossy, not down, so the backoff stays short.
        let lossy = self.last_answer.is_some_and(|at| now.since(at) < OUTAGE_SILENCE_LIMIT);
        let limit = if lossy { MAX_LOSSY_BACKOFF } else { STORE_BACKOFF_RANGE.1 };
        let wait = backoff.min(limit).mul_f64(0.5 + jitter / 2.0);
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = now + wait;
    }

    /// Returns a pending call that has exceeded its timeout.
    pub(crate) fn overdue(&self, now: Time) -> Option<u64> {
        let late = |pending: &&PendingCall| now.since(pending.sent_at) > STORE_CALL_TIMEOUT;
        let (call, _) = self.pending.iter().find(|(_, pending)| late(pending))?;
        Some(*call)
    }

    fn drop_expired(&mut self, now: Time) {
        while self.recent_calls.front().is_some_and(|at| now.since(*at) >= STORE_CALL_WINDOW) {
            self.recent_calls.pop_front();
        }
    }
}
