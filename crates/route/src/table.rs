//! Table of requests by id: those in progress, and settled ones whose answers are kept.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::Answer;
use crate::Call;
use crate::RequestState;
use crate::Step;
use crate::Ticket;
use crate::server::Lane;
use model::Incarnation;
use model::RequestId;
use model::Time;

/// Estimated size of an entry in bytes without its answer body, for the limit on kept answers.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// Maximum number of recorded steps of a request.
const MAX_STEPS: usize = 24;

/// Maximum number of waiters for one request.
pub(crate) const MAX_WAITERS: usize = 16;

/// A local caller or a peer that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    Ticket(Ticket),
    Peer(Incarnation),
}

/// One attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) server: usize,
    pub(crate) started: Time,
    pub(crate) lane: Lane,
    /// Whether it counts as a straggler.
    pub(crate) straggler: bool,
}

/// A request and its state.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) service: usize,
    pub(crate) pool: usize,
    pub(crate) account: usize,
    pub(crate) digest: u128,
    pub(crate) state: RequestState,
    pub(crate) body: Bytes,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) lane: Lane,
    /// Expected slot time in microseconds when it was queued.
    pub(crate) cost: u64,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) attempts: Vec<Attempt>,
    /// Attempts made since it was admitted or, after an unknown outcome, run again.
    pub(crate) attempt_count: u32,
    /// Number of the last attempt. Numbers are never reused, so that late reports match no attempt.
    pub(crate) last_attempt: u32,
    /// How often it was stopped as a straggler.
    pub(crate) straggler_stops: u32,
    /// Whether an earlier attempt may have run it.
    pub(crate) exposed: bool,
    /// Whether a home that has ended may have run it before.
    pub(crate) adopted: bool,
    /// When it is queued again, if paused.
    pub(crate) resume_at: Time,
    /// When its timer fires, if set.
    pub(crate) timer_at: Option<Time>,
    pub(crate) answer: Option<Answer>,
    /// When it was settled; meaningless before.
    pub(crate) settled_at: Time,
    pub(crate) steps: Vec<Step>,
}

impl Entry {
    /// Whether the request is settled: no attempt is left and none will follow.
    pub(crate) fn is_settled(&self) -> bool {
        self.answer.is_some()
    }

    /// Adds a waiter, unless [`MAX_WAITERS`] wait already.
    pub(crate) fn add_waiter(&mut self, waiter: Waiter) {
        if !self.waiters.contains(&waiter) && self.waiters.len() < MAX_WAITERS {
            self.waiters.push(waiter);
        }
    }

    pub(crate) fn push_step(&mut self, step: Step) {
        if self.steps.len() < MAX_STEPS {
            self.steps.push(step);
        }
    }

    fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.answer.as_ref().map_or(0, |answer| answer.body.len())
    }
}

/// A kept answer, in order of settling.
#[derive(Debug)]
struct KeptAnswer {
    id: RequestId,
    settled_at: Time,
    size: usize,
}

/// Requests by id.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<RequestId, Box<Entry>>,
    kept: VecDeque<KeptAnswer>,
    kept_bytes: usize,
    unsettled: usize,
}

impl Table {
    pub(crate) fn get(&self, id: RequestId) -> Option<&Entry> {
        self.entries.get(&id).map(Box::as_ref)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry> {
        self.entries.get_mut(&id).map(Box::as_mut)
    }

    pub(crate) fn insert(&mut self, id: RequestId, entry: Entry) {
        if !entry.is_settled() {
            self.unsettled += 1;
        }
        let old = self.entries.insert(id, Box::new(entry));
        assert!(old.is_none(), "request {id} is in the table twice");
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestId, &Entry)> {
        self.entries.iter().map(|(id, entry)| (id, entry.as_ref()))
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of requests that are not settled.
    pub(crate) fn unsettled(&self) -> usize {
        self.unsettled
    }

    pub(crate) fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Settles a request with an answer, which is kept.
    pub(crate) fn store_answer(&mut self, id: RequestId, answer: Answer, now: Time) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        assert!(entry.attempts.is_empty(), "request {id} is settled with an attempt in progress");
        assert!(!entry.is_settled(), "request {id} is settled twice");
        entry.answer = Some(answer);
        entry.settled_at = now;
        entry.body = Bytes::new();
        entry.waiters = Vec::new();
        entry.attempts = Vec::new();
        let size = entry.size();
        self.kept_bytes += size;
        self.unsettled -= 1;
        self.kept.push_back(KeptAnswer { id, settled_at: now, size });
    }

    /// Reopens a settled request.
    pub(crate) fn reopen(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.answer.take().is_some()
        {
            self.unsettled += 1;
        }
    }

    /// Evicts the oldest kept answer if it is at least `ttl` old or the kept answers exceed
    /// `max_bytes`; returns whether one was evicted.
    pub(crate) fn evict_oldest(&mut self, now: Time, ttl: Duration, max_bytes: usize) -> bool {
        let Some(oldest) = self.kept.front() else { return false };
        if now.since(oldest.settled_at) < ttl && self.kept_bytes <= max_bytes {
            return false;
        }
        self.kept_bytes -= oldest.size;
        let (id, settled_at) = (oldest.id, oldest.settled_at);
        self.kept.pop_front();
        if self
            .entries
            .get(&id)
            .is_some_and(|entry| entry.is_settled() && entry.settled_at == settled_at)
        {
            self.entries.remove(&id);
        }
        true
    }
}

impl Call {
    /// Digest of service, account and body, to tell a repeat from a different request.
    pub(crate) fn digest(&self) -> u128 {
        let service = xxh3_64(self.service.as_str().as_bytes());
        let seed = xxh3_64_with_seed(self.account.as_str().as_bytes(), service);
        xxh3_128_with_seed(&self.body, seed)
    }
}
