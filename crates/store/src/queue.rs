//! Order and pace of calls, decided without a clock or a socket.
//!
//! Calls wait in the order of their purpose, then of their arrival. The head leaves when the rate
//! allows it and a slot is free. When calls keep failing, the queue refuses new ones at once and
//! lets a single trial through after each pause, so an outage costs the store little and its end
//! meets no flood.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::api::Purpose;
use model::Time;

/// Consecutive failures after which calls are refused.
const TRIP_FAILURES: u32 = 4;
/// First pause between trials.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(100);

/// The place of a call in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Why the call is made.
    pub purpose: Purpose,
    /// Order of arrival.
    pub number: u64,
}

/// Answer to a call that wants to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Queued {
        /// Its place.
        ticket: Ticket,
        /// A less urgent call that had to go instead.
        evicted: Option<Ticket>,
    },
    /// The queue holds nothing less urgent.
    Full,
    /// The store is failing, and no trial is due.
    Down,
}

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limits {
    pub(crate) interval: Duration,
    pub(crate) burst: u32,
    pub(crate) inflight: usize,
    pub(crate) depth: usize,
    pub(crate) backoff: Duration,
}

/// Calls that wait for their turn.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    waiting: BTreeSet<Ticket>,
    next_number: u64,
    inflight: usize,
    /// Earliest time at which an unhurried sender would send next.
    next_send: Time,
    failures: u32,
    probe_pause: Duration,
    probe_at: Time,
}

impl Queue {
    /// Makes a queue that lets `rate` calls a second pass, `burst` at once and `inflight` at a
    /// time, and holds `depth`. Pauses between trials last at most `backoff`.
    ///
    /// # Panics
    /// A limit is zero.
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

    /// Takes in a call.
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
        assert!(self.waiting.len() <= self.limits.depth, "the queue is bounded");
        Admission::Queued { ticket, evicted }
    }

    /// Lets the next call go, if one may.
    pub fn pop(&mut self, now: Time) -> Option<Ticket> {
        if self.ready_at()? > now {
            return None;
        }
        let ticket = self.waiting.pop_first()?;
        self.inflight += 1;
        self.next_send = self.next_send.max(now) + self.limits.interval;
        assert!(self.inflight <= self.limits.inflight, "calls in progress are bounded");
        Some(ticket)
    }

    /// When the next call may go; none if nothing waits or no slot is free.
    pub fn ready_at(&self) -> Option<Time> {
        let slots = if self.failures >= TRIP_FAILURES { 1 } else { self.limits.inflight };
        if self.waiting.is_empty() || self.inflight >= slots {
            return None;
        }
        let credit = self.limits.interval * (self.limits.burst - 1);
        Some((self.next_send - credit).max(self.probe_at))
    }

    /// Withdraws a call that still waits.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket)
    }

    /// Frees the slot of a call that was let go.
    pub fn finish(&mut self) {
        assert!(self.inflight > 0, "a call ended that never started");
        self.inflight -= 1;
    }

    /// Notes that the store answered.
    pub fn record_success(&mut self, now: Time) {
        if self.failures >= TRIP_FAILURES {
            let credit = self.limits.interval * (self.limits.burst - 1);
            self.next_send = self.next_send.max(now + credit);
        }
        self.failures = 0;
        self.probe_pause = MIN_PROBE_PAUSE;
        self.probe_at = Time::ZERO;
    }

    /// Notes that a call failed; gives the waiting calls that are to be refused for it.
    ///
    /// `jitter` in 0..1 spreads the trials of many clients.
    pub fn record_failure(&mut self, now: Time, jitter: f64) -> Vec<Ticket> {
        self.failures = self.failures.saturating_add(1);
        if self.failures < TRIP_FAILURES {
            return Vec::new();
        }
        self.probe_at = now + self.probe_pause.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        self.probe_pause = (self.probe_pause * 2).min(self.limits.backoff.max(MIN_PROBE_PAUSE));
        std::mem::take(&mut self.waiting).into_iter().collect()
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn is_tripped(&self, now: Time) -> bool {
        self.failures >= TRIP_FAILURES
            && (now < self.probe_at || self.inflight > 0 || !self.waiting.is_empty())
    }
}
