//! Group commit of job pages.
//!
//! Every page has at most one write in flight. Changes made meanwhile are written together with the
//! next one. If the answer to a write is lost, the page is read back: its value contains the id of
//! the write that made it. If the page does not show the write, the write is repeated under a new
//! id with the same expected version, so only one of a late first write and the repeated one can
//! take effect.
//!
//! An owner acts on a page's jobs only once it has written the page itself, which claims it: from
//! then on an older owner cannot change the page. The last page is always kept empty and claimed,
//! and a page is created only after its predecessor is stored, so an older owner cannot accept jobs
//! into a page that the new owner does not know.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Action;
use crate::ReadResult;
use crate::Settings;
use crate::WriteId;
use crate::WriteResult;
use crate::effect::Effect;
use crate::effect::PageOutcome;
use crate::page::PageValue;
use crate::page::Record;
use crate::page::page_key;
use crate::rate_limit::RateLimiter;
use model::Epoch;
use model::Incarnation;
use model::JobId;
use model::ShardId;
use model::Time;

/// Delay before the store is retried after a failure.
const STORE_BACKOFF: Duration = Duration::from_millis(250);
/// Factor by which a page may exceed its size limit while the next page is being created.
const OVERFLOW_FACTOR: usize = 4;

/// A write of which it is not known whether it took effect.
#[derive(Clone, Copy, Debug)]
struct UnresolvedWrite {
    write: WriteId,
    /// How many of the page's effects, counted from the first, the write stores.
    effect_count: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Page {
    key: String,
    version: u64,
    /// Whether this owner has written the page.
    pub(crate) claimed: bool,
    /// Jobs on the page.
    pub(crate) jobs: BTreeSet<JobId>,
    bytes: usize,
    /// Time of the oldest change that is not in any write yet.
    dirty_since: Option<Time>,
    urgent: bool,
    in_flight: Option<WriteId>,
    /// Writes since the last known version, the one in flight included.
    unresolved: Vec<UnresolvedWrite>,
    /// Effects that follow once the page is stored, oldest first.
    effects: Vec<Effect>,
    read_in_flight: bool,
    /// Whether the page must be read back because the answer to a write was lost.
    read_needed: bool,
    /// Earliest time of the next write or read.
    next_io: Time,
}

impl Page {
    fn new(key: String, version: u64) -> Page {
        Page {
            key,
            version,
            claimed: false,
            jobs: BTreeSet::new(),
            bytes: 0,
            dirty_since: None,
            urgent: false,
            in_flight: None,
            unresolved: Vec::new(),
            effects: Vec::new(),
            read_in_flight: false,
            read_needed: false,
            next_io: Time::ZERO,
        }
    }

    fn due_at(&self) -> Option<Time> {
        let idle = self.in_flight.is_none() && !self.read_in_flight;
        (idle && (self.dirty_since.is_some() || self.read_needed)).then_some(self.next_io)
    }
}

/// All pages of a shard and their pending writes.
#[derive(Debug)]
pub(crate) struct Pages {
    shard: ShardId,
    owner: Incarnation,
    epoch: Epoch,
    write_interval: Duration,
    size_limit: usize,
    pages: Vec<Page>,
    write_limiter: RateLimiter,
    read_limiter: RateLimiter,
    /// Number of the last write id that was used.
    last_write: u64,
    /// Page of each write in flight.
    in_flight: BTreeMap<WriteId, usize>,
    /// Pages that have something to write or read, or a write in flight.
    active: BTreeSet<usize>,
    /// Keys of pages that cannot be decoded; they are never overwritten.
    pub(crate) unreadable: BTreeSet<String>,
    /// Whether the store was unavailable at the last answered call.
    pub(crate) down: bool,
}

impl Pages {
    /// Creates a set without pages. Ids of writes are derived from `seed`.
    pub(crate) fn new(
        settings: &Settings,
        shard: ShardId,
        owner: Incarnation,
        epoch: Epoch,
        seed: u64,
    ) -> Pages {
        Pages {
            shard,
            owner,
            epoch,
            write_interval: settings.write_interval,
            size_limit: settings.page_bytes,
            pages: Vec::new(),
            write_limiter: RateLimiter::new(settings.write_rate),
            read_limiter: RateLimiter::new(settings.read_rate),
            last_write: seed << 20,
            in_flight: BTreeMap::new(),
            active: BTreeSet::new(),
            unreadable: BTreeSet::new(),
            down: false,
        }
    }

    /// Registers a stored page and schedules its claim; returns its records to the caller.
    pub(crate) fn load(&mut self, now: Time, key: &str, version: u64, value: &[u8]) -> PageOutcome {
        let mut outcome = PageOutcome::default();
        let decoded = match PageValue::decode(key, value) {
            Ok(decoded) => decoded,
            Err(_) => {
                self.unreadable.insert(key.to_owned());
                return outcome;
            }
        };
        outcome.fenced = self.is_superseded_by(&decoded);
        outcome.page = self.pages.len();
        let mut page = Page::new(key.to_owned(), version);
        page.jobs = decoded.jobs.iter().map(|record| record.spec.id).collect();
        page.bytes = decoded.jobs.iter().map(Record::size).sum();
        self.pages.push(page);
        self.mark_dirty(now, outcome.page, false, None);
        outcome.merged = decoded.jobs;
        outcome
    }

    /// Adds an empty last page.
    pub(crate) fn add_page(&mut self, now: Time) {
        let prefix = crate::page::page_prefix(&self.shard);
        let keys = self.pages.iter().map(|page| page.key.as_str());
        let keys = keys.chain(self.unreadable.iter().map(String::as_str));
        let last = keys.filter_map(|key| key.strip_prefix(&prefix)?.parse::<usize>().ok()).max();
        let number = last.map_or(0, |last| last + 1);
        self.pages.push(Page::new(page_key(&self.shard, number), 0));
        self.mark_dirty(now, self.pages.len() - 1, true, None);
    }

    /// Whether this owner has written every page.
    pub(crate) fn all_claimed(&self) -> bool {
        !self.pages.is_empty() && self.pages.iter().all(|page| page.claimed)
    }

    /// Whether this owner has written the page.
    pub(crate) fn claimed(&self, page: usize) -> bool {
        self.pages[page].claimed
    }

    /// Assigns a new record to a page; `None` while too many records wait for the next page.
    pub(crate) fn assign(&mut self, now: Time, record: &Record) -> Option<usize> {
        let size = record.size();
        let last = self.pages.len().checked_sub(1)?;
        let has_room = |page: &Page| page.claimed && page.bytes + size <= self.size_limit;
        let chosen = self.pages[..last].iter().rposition(has_room).unwrap_or(last);
        let page = &mut self.pages[chosen];
        if chosen == last && page.bytes + size > OVERFLOW_FACTOR * self.size_limit {
            return None;
        }
        page.bytes += size;
        page.jobs.insert(record.spec.id);
        self.mark_dirty(now, chosen, false, None);
        Some(chosen)
    }

    /// Removes a job from its page.
    pub(crate) fn remove(&mut self, now: Time, page: usize, record: &Record) {
        let entry = &mut self.pages[page];
        if entry.jobs.remove(&record.spec.id) {
            entry.bytes = entry.bytes.saturating_sub(record.size());
            self.mark_dirty(now, page, false, None);
        }
    }

    /// Schedules a write of a page; `effect` follows once it is stored.
    pub(crate) fn mark_dirty(
        &mut self,
        now: Time,
        page: usize,
        urgent: bool,
        effect: Option<Effect>,
    ) {
        let entry = &mut self.pages[page];
        entry.dirty_since.get_or_insert(now);
        entry.urgent |= urgent;
        entry.effects.extend(effect);
        self.active.insert(page);
    }

    /// Issues the page writes and reads that are due, as far as the rate limits allow.
    pub(crate) fn flush<'a>(
        &mut self,
        now: Time,
        record: impl Fn(&JobId) -> Option<&'a Record>,
        out: &mut Vec<Action>,
    ) {
        if self.pages.last().is_some_and(|page| page.claimed && !page.jobs.is_empty()) {
            self.add_page(now);
        }
        let mut due: Vec<usize> = self.active.iter().copied().collect();
        due.retain(|&page| self.pages[page].due_at().is_some_and(|at| at <= now));
        due.sort_by_key(|&page| (!self.pages[page].urgent, self.pages[page].dirty_since, page));
        for page in due {
            let sent = match self.pages[page].read_needed {
                true => self.read(now, page, out),
                false => self.write(now, page, &record, out),
            };
            if !sent {
                break;
            }
        }
    }

    fn read(&mut self, now: Time, page: usize, out: &mut Vec<Action>) -> bool {
        if !self.read_limiter.try_acquire(now) {
            return false;
        }
        let entry = &mut self.pages[page];
        entry.read_needed = false;
        entry.read_in_flight = true;
        out.push(Action::Read { key: entry.key.clone() });
        true
    }

    fn write<'a>(
        &mut self,
        now: Time,
        page: usize,
        record: impl Fn(&JobId) -> Option<&'a Record>,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.write_limiter.try_acquire(now) {
            return false;
        }
        self.last_write += 1;
        let write = WriteId(self.last_write);
        let entry = &mut self.pages[page];
        assert!(entry.in_flight.is_none(), "page {} has two writes in flight", entry.key);
        let jobs: Vec<&Record> = entry.jobs.iter().filter_map(record).collect();
        let value = PageValue::encode(self.epoch, self.owner, write, &jobs);
        entry.bytes = jobs.iter().map(|job| job.size()).sum();
        entry.in_flight = Some(write);
        entry.unresolved.push(UnresolvedWrite { write, effect_count: entry.effects.len() });
        entry.dirty_since = None;
        entry.urgent = false;
        entry.next_io = now + self.write_interval;
        self.in_flight.insert(write, page);
        out.push(Action::Write { write, key: entry.key.clone(), expect: entry.version, value });
        true
    }

    /// Handles the result of a write.
    pub(crate) fn written(
        &mut self,
        now: Time,
        write: WriteId,
        result: WriteResult,
    ) -> PageOutcome {
        let Some(page) = self.in_flight.remove(&write) else { return PageOutcome::default() };
        self.pages[page].in_flight = None;
        if result != WriteResult::Unknown {
            self.down = result == WriteResult::Unavailable;
        }
        match result {
            WriteResult::Committed { version } => self.resolve_write(page, write, version),
            WriteResult::Conflict { version, value } => self.on_found(now, page, version, &value),
            WriteResult::Unknown => {
                self.pages[page].read_needed = true;
                PageOutcome::default()
            }
            WriteResult::Unavailable => self.on_unavailable(now, page, write),
        }
    }

    fn on_unavailable(&mut self, now: Time, page: usize, write: WriteId) -> PageOutcome {
        let entry = &mut self.pages[page];
        entry.unresolved.retain(|open| open.write != write);
        entry.next_io = now + STORE_BACKOFF;
        let mut outcome = PageOutcome { page, ..PageOutcome::default() };
        if entry.unresolved.is_empty() {
            let answers_call =
                |effect: &Effect| matches!(effect, Effect::Accepted { .. } | Effect::Cancel { .. });
            outcome.rejected = entry.effects.iter().copied().filter(answers_call).collect();
            entry.effects.retain(|effect| !answers_call(effect));
        }
        self.mark_dirty(now, page, false, None);
        outcome
    }

    /// Handles the result of a read.
    pub(crate) fn page_read(&mut self, now: Time, key: &str, result: ReadResult) -> PageOutcome {
        let read_in_flight = |page: &Page| page.key == key && page.read_in_flight;
        let Some(page) = self.pages.iter().position(read_in_flight) else {
            return PageOutcome::default();
        };
        self.pages[page].read_in_flight = false;
        self.down = result == ReadResult::Unavailable;
        match result {
            ReadResult::Found { version, value } => self.on_found(now, page, version, &value),
            ReadResult::Absent => {
                self.pages[page].version = 0;
                self.mark_dirty(now, page, true, None);
                PageOutcome::default()
            }
            ReadResult::Unavailable => {
                let entry = &mut self.pages[page];
                entry.read_needed = true;
                entry.next_io = now + STORE_BACKOFF;
                PageOutcome::default()
            }
        }
    }

    /// Handles the version and value that a conflict or a read has shown.
    fn on_found(&mut self, now: Time, page: usize, version: u64, value: &[u8]) -> PageOutcome {
        if version == 0 {
            self.pages[page].version = 0;
            self.mark_dirty(now, page, true, None);
            return PageOutcome::default();
        }
        let Ok(decoded) = PageValue::decode(&self.pages[page].key, value) else {
            self.unreadable.insert(self.pages[page].key.clone());
            return PageOutcome { fenced: true, ..PageOutcome::default() };
        };
        if self.is_superseded_by(&decoded) {
            return PageOutcome { fenced: true, ..PageOutcome::default() };
        }
        if decoded.owner == self.owner && decoded.epoch == self.epoch {
            let open = self.pages[page].unresolved.iter().any(|open| open.write == decoded.write);
            if open {
                return self.resolve_from_read(now, page, decoded.write, version);
            }
            self.pages[page].version = version;
            self.mark_dirty(now, page, true, None);
            return PageOutcome::default();
        }
        let entry = &mut self.pages[page];
        entry.version = version;
        // Unresolved writes of this owner expected an older version and can no longer take effect.
        entry.unresolved.clear();
        let mut outcome = PageOutcome { page, ..PageOutcome::default() };
        if !entry.claimed {
            entry.jobs.extend(decoded.jobs.iter().map(|record| record.spec.id));
            outcome.merged = decoded.jobs;
        }
        self.mark_dirty(now, page, true, None);
        outcome
    }

    fn resolve_from_read(
        &mut self,
        now: Time,
        page: usize,
        write: WriteId,
        version: u64,
    ) -> PageOutcome {
        let outcome = self.resolve_write(page, write, version);
        self.mark_dirty(now, page, false, None);
        outcome
    }

    fn resolve_write(&mut self, page: usize, write: WriteId, version: u64) -> PageOutcome {
        let entry = &mut self.pages[page];
        let open = entry.unresolved.iter().find(|open| open.write == write);
        let effect_count = open.map_or(0, |open| open.effect_count);
        entry.unresolved.clear();
        entry.version = version;
        let claimed = !std::mem::replace(&mut entry.claimed, true);
        let effects = entry.effects.drain(..effect_count).collect();
        if entry.dirty_since.is_none() && entry.effects.is_empty() {
            self.active.remove(&page);
        }
        PageOutcome { effects, claimed, page, ..PageOutcome::default() }
    }

    fn is_superseded_by(&self, value: &PageValue) -> bool {
        value.epoch > self.epoch || (value.epoch == self.epoch && value.owner != self.owner)
    }

    /// When the next write or read is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let due = self.active.iter().filter_map(|&page| {
            let at = self.pages[page].due_at()?;
            let allowed = if self.pages[page].read_needed {
                self.read_limiter.next_free()
            } else {
                self.write_limiter.next_free()
            };
            Some(at.max(allowed))
        });
        due.min()
    }
}
