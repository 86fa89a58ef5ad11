//! Store calls of one entry VM: pacing, backoff and health.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::StoreRequest;
use crate::tuning::BACKOFF;
use crate::tuning::CALL_TIMEOUT;
use crate::tuning::CALL_WINDOW;
use crate::tuning::LOSSY_BACKOFF;
use crate::tuning::MAX_CALLS;
use crate::tuning::OUTAGE_SILENCE;
use model::Time;

/// Failures after which the wait grows no more.
const MAX_FAILURES: u32 = 5;

/// A store call without an outcome so far.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) request: StoreRequest,
    pub(crate) sent: Time,
    /// The view's change number when the call was made.
    pub(crate) change: u64,
}

/// Store calls of one entry VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    next: u64,
    pending: BTreeMap<u64, Pending>,
    window: VecDeque<Time>,
    failures: u32,
    hold: Time,
    answered: Option<Time>,
    since: Time,
}

impl Calls {
    /// Whether the last call got an answer.
    pub(crate) fn is_healthy(&self) -> bool {
        self.failures == 0 && self.answered.is_some()
    }

    /// Since when [`Calls::is_healthy`] has had its value.
    pub(crate) fn since(&self) -> Time {
        self.since
    }

    /// When the store last answered.
    pub(crate) fn answered(&self) -> Option<Time> {
        self.answered
    }

    /// Whether a call like `request` has no outcome so far.
    pub(crate) fn is_pending(&self, request: &StoreRequest) -> bool {
        self.pending.values().any(|pending| pending.request == *request)
    }

    /// Whether a lease is being taken out.
    pub(crate) fn is_joining(&self) -> bool {
        let join = |pending: &Pending| matches!(pending.request, StoreRequest::Join { .. });
        self.pending.values().any(join)
    }

    /// Starts a call, unless the store needs rest or the rate is used up.
    pub(crate) fn start(&mut self, now: Time, request: &StoreRequest, change: u64) -> Option<u64> {
        let probing = self.failures > 0 && !self.pending.is_empty();
        let cost = request.cost() as usize;
        self.trim(now);
        if now < self.hold || probing || self.window.len() + cost > MAX_CALLS as usize {
            return None;
        }
        self.window.extend(std::iter::repeat_n(now, cost));
        assert!(self.window.len() <= MAX_CALLS as usize, "store call rate over the limit");
        self.next += 1;
        self.pending.insert(self.next, Pending { request: request.clone(), sent: now, change });
        Some(self.next)
    }

    /// Takes the call that an outcome belongs to; a late outcome has none.
    pub(crate) fn finish(&mut self, call: u64) -> Option<Pending> {
        self.pending.remove(&call)
    }

    /// Records an answer.
    pub(crate) fn succeed(&mut self, now: Time) {
        if !self.is_healthy() {
            self.since = now;
        }
        self.failures = 0;
        self.hold = Time::ZERO;
        self.answered = Some(now);
    }

    /// Records a failure; `jitter` from 0 to 1 spreads the next call.
    pub(crate) fn fail(&mut self, now: Time, jitter: f64) {
        if self.is_healthy() {
            self.since = now;
        }
        let longest = BACKOFF.0.saturating_mul(1 << self.failures.min(MAX_FAILURES));
        // A store that still answers some calls is not down: keep asking.
        let lossy = self.answered.is_some_and(|at| now.since(at) < OUTAGE_SILENCE);
        let most = if lossy { LOSSY_BACKOFF } else { BACKOFF.1 };
        let wait = longest.min(most).mul_f64(0.5 + jitter / 2.0);
        self.failures = self.failures.saturating_add(1);
        self.hold = now + wait;
    }

    /// A call whose outcome is overdue.
    pub(crate) fn overdue(&self, now: Time) -> Option<u64> {
        let late = |pending: &&Pending| now.since(pending.sent) > CALL_TIMEOUT;
        let (call, _) = self.pending.iter().find(|(_, pending)| late(pending))?;
        Some(*call)
    }

    fn trim(&mut self, now: Time) {
        while self.window.front().is_some_and(|at| now.since(*at) >= CALL_WINDOW) {
            self.window.pop_front();
        }
    }
}
