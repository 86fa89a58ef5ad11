//! Priority queue with rate limit, concurrency limit and circuit breaker. It performs no I/O and
//! takes the time as a parameter.
//!
//! Calls are ordered by purpose, then by arrival. The first one is admitted when the rate limit
//! allows it and a slot is free. After consecutive failures the circuit breaker opens: the queue
//! refuses calls at once and admits a single probe after each pause. An outage therefore causes
//! little load on the store, and its end no burst of calls.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::api::Purpose;
use model::Time;

/// Consecutive failures that open the circuit breaker.
const TRIP_FAILURES: u32 = 4;
/// Pause before the first probe; it doubles with each failed one.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Position of a call in the queue; the lowest is admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Purpose of the call.
    pub purpose: Purpose,
    /// Sequence number, in order of arrival.
    pub number: u64,
}

/// Result of adding a call to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call is queued.
    Queued {
        /// Position of the call.
        ticket: Ticket,
        /// Less urgent call that was removed to make room, if the queue was full.
        evicted: Option<Ticket>,
    },
    /// The queue is full and holds no less urgent call.
    Full,
    /// The circuit breaker is open, and no probe is due.
    Down,
}

/// Limits of a queue, as given to [`Queue::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Time between calls at the average rate.
    pub(crate) interval: Duration,
    pub(crate) burst: u32,
    pub(crate) inflight: usize,
    pub(crate) depth: usize,
    pub(crate) backoff: Duration,
}

/// Queued calls, the state of the rate limit and that of the circuit breaker.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    waiting: BTreeSet<Ticket>,
    next_number: u64,
    inflight: usize,
    /// Time at which the next call would be due without bursts (the theoretical arrival time of
    /// GCRA).
    next_send: Time,
    /// Consecutive failures.
    failures: u32,
    probe_pause: Duration,
    probe_at: Time,
}

impl Queue {
    /// Creates a queue that admits `rate` calls per second on average and up to `burst` at once,
    /// allows `inflight` calls in progress and holds up to `depth` queued calls. The pause between
    /// probes is at most `backoff`.
    ///
    /// # Panics
    /// `rate`, `burst`, `inflight` or `depth` is zero.
    pub fn new(rate: f64, burst: u32, inflight: usize, depth: usize, backoff: Duration) -> Queue {
        assert!(rate > 0.0 && burst > 0 && inflight > 0 && depth > 0, "queue limits must not be 0");
        let interval = Duration::from_secs_f64(1.0 / rate);
        Queue {
            limits: Limits { interval, burst, inflight, depth, backoff },
            waiting: BTreeSet::new(),
            next_number: 0,
            inflight: 0,
            next_send: Time::ZERO,
            failures: 0,
            probe_pause: MIN_PROBE_PAUSE,
            probe_at: Time::ZERO,
        }
    }

    /// Adds a call, replacing the least urgent one if the queue is full.
    pub fn push(&mut self, now: Time, purpose: Purpose) -> Admission {
        if self.is_tripped(now) {
            return Admission::Down;
        }
        let ticket = Ticket { purpose, number: self.next_number };
        let mut evicted = None;
        if self.waiting.len() >= self.limits.depth {
            let least_urgent = self.waiting.last().copied();
            let Some(least_urgent) = least_urgent.filter(|ticket| ticket.purpose > purpose) else {
                return Admission::Full;
            };
            self.waiting.remove(&least_urgent);
            evicted = Some(least_urgent);
        }
        self.next_number += 1;
        self.waiting.insert(ticket);
        assert!(self.waiting.len() <= self.limits.depth, "the queue exceeds its depth");
        Admission::Queued { ticket, evicted }
    }

    /// Admits the next call if it is due and a slot is free.
    pub fn pop(&mut self, now: Time) -> Option<Ticket> {
        if self.ready_at()? > now {
            return None;
        }
        let ticket = self.waiting.pop_first()?;
        self.inflight += 1;
        self.next_send = self.next_send.max(now) + self.limits.interval;
        assert!(self.inflight <= self.limits.inflight, "calls in progress exceed the limit");
        Some(ticket)
    }

    /// When the next call can be admitted; `None` if the queue is empty or no slot is free.
    pub fn ready_at(&self) -> Option<Time> {
        let slots = if self.failures >= TRIP_FAILURES { 1 } else { self.limits.inflight };
        if self.waiting.is_empty() || self.inflight >= slots {
            return None;
        }
        let credit = self.limits.interval * (self.limits.burst - 1);
        Some((self.next_send - credit).max(self.probe_at))
    }

    /// Removes a queued call. Returns whether it was still queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket)
    }

    /// Frees the slot of an admitted call.
    pub fn finish(&mut self) {
        assert!(self.inflight > 0, "finish() was called without a call in progress");
        self.inflight -= 1;
    }

    /// Records a success, which closes the circuit breaker. If it was open, the burst allowance
    /// starts empty.
    pub fn record_success(&mut self, now: Time) {
        if self.failures >= TRIP_FAILURES {
            let credit = self.limits.interval * (self.limits.burst - 1);
            self.next_send = self.next_send.max(now + credit);
        }
        self.failures = 0;
        self.probe_pause = MIN_PROBE_PAUSE;
        self.probe_at = Time::ZERO;
    }

    /// Records a failure. If the circuit breaker is then open, removes all queued calls and returns
    /// them; the caller must refuse them.
    ///
    /// `jitter` in 0..1 spreads the probes of many clients.
    pub fn record_failure(&mut self, now: Time, jitter: f64) -> Vec<Ticket> {
        self.failures = self.failures.saturating_add(1);
        if self.failures < TRIP_FAILURES {
            return Vec::new();
        }
        self.probe_at = now + self.probe_pause.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        self.probe_pause = (self.probe_pause * 2).min(self.limits.backoff.max(MIN_PROBE_PAUSE));
        std::mem::take(&mut self.waiting).into_iter().collect()
    }

    /// Number of queued calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the circuit breaker refuses new calls: it is open, and either no probe is due or one
    /// is already queued or in progress.
    fn is_tripped(&self, now: Time) -> bool {
        self.failures >= TRIP_FAILURES
            && (now < self.probe_at || self.inflight > 0 || !self.waiting.is_empty())
    }
}
