//! Requests by id: those in progress and those whose answers are kept.

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

/// Memory of an entry besides its body, for the bound on kept answers.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// Steps of a request that are kept.
const MAX_STEPS: usize = 24;

/// Callers that may wait for one request.
pub(crate) const MAX_WAITERS: usize = 16;

/// Who waits for an answer.
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

/// A request and what became of it.
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
    /// Expected slot time in microseconds at the time of queueing.
    pub(crate) cost: u64,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) attempts: Vec<Attempt>,
    /// Attempts made since it was last taken up.
    pub(crate) attempt_count: u32,
    /// Number of the last attempt; never used twice, so that late reports match nothing.
    pub(crate) last_attempt: u32,
    /// Attempts that were stopped as stragglers.
    pub(crate) straggler_stops: u32,
    /// Whether an attempt may have run that is over.
    pub(crate) exposed: bool,
    /// Whether a home that has ended may have run it before.
    pub(crate) adopted: bool,
    /// When a paused request is queued again.
    pub(crate) resume_at: Time,
    /// Its timer.
    pub(crate) timer_at: Option<Time>,
    pub(crate) answer: Option<Answer>,
    pub(crate) settled_at: Time,
    pub(crate) steps: Vec<Step>,
}

impl Entry {
    /// Whether no attempt is left and none will come.
    pub(crate) fn is_settled(&self) -> bool {
        self.answer.is_some()
    }

    /// Adds somebody who waits, unless too many do.
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

    /// Requests that are not settled.
    pub(crate) fn unsettled(&self) -> usize {
        self.unsettled
    }

    pub(crate) fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Keeps the answer of a request that is settled.
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

    /// Takes up a settled request again.
    pub(crate) fn reopen(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.answer.take().is_some()
        {
            self.unsettled += 1;
        }
    }

    /// Forgets the oldest kept answer if it is older than `keep` or the bytes exceed `most`.
    pub(crate) fn evict_oldest(&mut self, now: Time, keep: Duration, most: usize) -> bool {
        let Some(oldest) = self.kept.front() else { return false };
        if now.since(oldest.settled_at) < keep && self.kept_bytes <= most {
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
    /// Digest of what the request asks for, to tell a repeat from another request.
    pub(crate) fn digest(&self) -> u128 {
        let service = xxh3_64(self.service.as_str().as_bytes());
        let seed = xxh3_64_with_seed(self.account.as_str().as_bytes(), service);
        xxh3_128_with_seed(&self.body, seed)
    }
}
