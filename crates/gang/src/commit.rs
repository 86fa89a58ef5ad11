//! Group commit of pages.
//!
//! Every page has at most one write in flight. Changes made meanwhile go out together with the
//! next one. A write whose answer is lost is settled by reading the page back: its id is in the
//! value. If the page does not show it, the write is repeated under a new id with the same
//! expected version, so that a late first write and the repeat exclude each other.
//!
//! An owner acts on a page's jobs only once it has written the page itself. From then on an older
//! owner cannot change it. The last page is always kept empty and claimed, and a page is created
//! only after its predecessor is stored, so an older owner cannot accept jobs in a page that the
//! new one does not know.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Action;
use crate::ReadResult;
use crate::Settings;
use crate::WriteId;
use crate::WriteResult;
use crate::mark::Mark;
use crate::mark::Outcome;
use crate::pace::Pace;
use crate::page::PageValue;
use crate::page::Record;
use crate::page::page_key;
use model::Epoch;
use model::Incarnation;
use model::JobId;
use model::ShardId;
use model::Time;

/// Pause after the store failed.
const BACKOFF: Duration = Duration::from_millis(250);
/// A page may grow to this many times its usual size while the next one is being created.
const OVERFLOW: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Open {
    write: WriteId,
    marks: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Page {
    key: String,
    version: u64,
    /// Whether this owner has written it.
    pub(crate) claimed: bool,
    /// Its jobs.
    pub(crate) jobs: BTreeSet<JobId>,
    bytes: usize,
    dirty: Option<Time>,
    urgent: bool,
    flight: Option<WriteId>,
    open: Vec<Open>,
    marks: Vec<Mark>,
    reading: bool,
    read: bool,
    next: Time,
}

impl Page {
    fn new(key: String, version: u64) -> Page {
        Page {
            key,
            version,
            claimed: false,
            jobs: BTreeSet::new(),
            bytes: 0,
            dirty: None,
            urgent: false,
            flight: None,
            open: Vec::new(),
            marks: Vec::new(),
            reading: false,
            read: false,
            next: Time::ZERO,
        }
    }

    fn waiting(&self) -> Option<Time> {
        let idle = self.flight.is_none() && !self.reading;
        (idle && (self.dirty.is_some() || self.read)).then_some(self.next)
    }
}

/// All pages of a shard.
#[derive(Debug)]
pub(crate) struct Pages {
    shard: ShardId,
    me: Incarnation,
    epoch: Epoch,
    gather: Duration,
    limit: usize,
    pages: Vec<Page>,
    writes: Pace,
    reads: Pace,
    sequence: u64,
    flights: BTreeMap<WriteId, usize>,
    busy: BTreeSet<usize>,
    /// Pages that cannot be decoded; they are left alone.
    pub(crate) unreadable: BTreeSet<String>,
    /// Whether the store failed at the last call.
    pub(crate) down: bool,
}

impl Pages {
    /// No pages yet.
    pub(crate) fn new(
        settings: &Settings,
        shard: ShardId,
        me: Incarnation,
        epoch: Epoch,
        seed: u64,
    ) -> Pages {
        Pages {
            shard,
            me,
            epoch,
            gather: settings.write_interval,
            limit: settings.page_bytes,
            pages: Vec::new(),
            writes: Pace::new(settings.write_rate),
            reads: Pace::new(settings.read_rate),
            sequence: seed << 20,
            flights: BTreeMap::new(),
            busy: BTreeSet::new(),
            unreadable: BTreeSet::new(),
            down: false,
        }
    }

    /// Takes in a stored page; its records are the caller's to keep.
    pub(crate) fn load(&mut self, now: Time, key: &str, version: u64, value: &[u8]) -> Outcome {
        let mut outcome = Outcome::default();
        let decoded = match PageValue::decode(key, value) {
            Ok(decoded) => decoded,
            Err(_) => {
                self.unreadable.insert(key.to_owned());
                return outcome;
            }
        };
        outcome.fenced = self.outranked(&decoded);
        outcome.page = self.pages.len();
        let mut page = Page::new(key.to_owned(), version);
        page.jobs = decoded.jobs.iter().map(|record| record.spec.id).collect();
        page.bytes = decoded.jobs.iter().map(Record::size).sum();
        self.pages.push(page);
        self.touch(now, outcome.page, false, None);
        outcome.merged = decoded.jobs;
        outcome
    }

    /// Begins the empty last page.
    pub(crate) fn extend(&mut self, now: Time) {
        let prefix = crate::page::page_prefix(&self.shard);
        let keys = self.pages.iter().map(|page| page.key.as_str());
        let keys = keys.chain(self.unreadable.iter().map(String::as_str));
        let last = keys.filter_map(|key| key.strip_prefix(&prefix)?.parse::<usize>().ok()).max();
        let number = last.map_or(0, |last| last + 1);
        self.pages.push(Page::new(page_key(&self.shard, number), 0));
        self.touch(now, self.pages.len() - 1, true, None);
    }

    /// Whether all pages have been written by this owner.
    pub(crate) fn settled(&self) -> bool {
        !self.pages.is_empty() && self.pages.iter().all(|page| page.claimed)
    }

    /// Whether this owner has written a page.
    pub(crate) fn claimed(&self, page: usize) -> bool {
        self.pages[page].claimed
    }

    /// The page that takes a new record, or `None` while too many wait.
    pub(crate) fn assign(&mut self, now: Time, record: &Record) -> Option<usize> {
        let size = record.size();
        let last = self.pages.len().checked_sub(1)?;
        let roomy = |page: &Page| page.claimed && page.bytes + size <= self.limit;
        let chosen = self.pages[..last].iter().rposition(roomy).unwrap_or(last);
        let page = &mut self.pages[chosen];
        if chosen == last && page.bytes + size > OVERFLOW * self.limit {
            return None;
        }
        page.bytes += size;
        page.jobs.insert(record.spec.id);
        self.touch(now, chosen, false, None);
        Some(chosen)
    }

    /// Removes a job from its page.
    pub(crate) fn remove(&mut self, now: Time, page: usize, record: &Record) {
        let entry = &mut self.pages[page];
        if entry.jobs.remove(&record.spec.id) {
            entry.bytes = entry.bytes.saturating_sub(record.size());
            self.touch(now, page, false, None);
        }
    }

    /// Has a page written soon, after which `mark` is true.
    pub(crate) fn touch(&mut self, now: Time, page: usize, urgent: bool, mark: Option<Mark>) {
        let entry = &mut self.pages[page];
        entry.dirty.get_or_insert(now);
        entry.urgent |= urgent;
        entry.marks.extend(mark);
        self.busy.insert(page);
    }

    /// Sends the writes and reads that are due.
    pub(crate) fn flush<'a>(
        &mut self,
        now: Time,
        record: impl Fn(&JobId) -> Option<&'a Record>,
        out: &mut Vec<Action>,
    ) {
        if self.pages.last().is_some_and(|page| page.claimed && !page.jobs.is_empty()) {
            self.extend(now);
        }
        let mut due: Vec<usize> = self.busy.iter().copied().collect();
        due.retain(|&page| self.pages[page].waiting().is_some_and(|at| at <= now));
        due.sort_by_key(|&page| (!self.pages[page].urgent, self.pages[page].dirty, page));
        for page in due {
            let sent = match self.pages[page].read {
                true => self.read(now, page, out),
                false => self.write(now, page, &record, out),
            };
            if !sent {
                break;
            }
        }
    }

    fn read(&mut self, now: Time, page: usize, out: &mut Vec<Action>) -> bool {
        if !self.reads.take(now) {
            return false;
        }
        let entry = &mut self.pages[page];
        entry.read = false;
        entry.reading = true;
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
        if !self.writes.take(now) {
            return false;
        }
        self.sequence += 1;
        let write = WriteId(self.sequence);
        let entry = &mut self.pages[page];
        assert!(entry.flight.is_none(), "page {} has two writes in flight", entry.key);
        let jobs: Vec<&Record> = entry.jobs.iter().filter_map(record).collect();
        let value = PageValue::encode(self.epoch, self.me, write, &jobs);
        entry.bytes = jobs.iter().map(|job| job.size()).sum();
        entry.flight = Some(write);
        entry.open.push(Open { write, marks: entry.marks.len() });
        entry.dirty = None;
        entry.urgent = false;
        entry.next = now + self.gather;
        self.flights.insert(write, page);
        out.push(Action::Write { write, key: entry.key.clone(), expect: entry.version, value });
        true
    }

    /// Takes the answer to a write.
    pub(crate) fn written(&mut self, now: Time, write: WriteId, result: WriteResult) -> Outcome {
        let Some(page) = self.flights.remove(&write) else { return Outcome::default() };
        self.pages[page].flight = None;
        if result != WriteResult::Unknown {
            self.down = result == WriteResult::Unavailable;
        }
        match result {
            WriteResult::Committed { version } => self.resolve(page, write, version),
            WriteResult::Conflict { version, value } => self.found(now, page, version, &value),
            WriteResult::Unknown => {
                self.pages[page].read = true;
                Outcome::default()
            }
            WriteResult::Unavailable => self.refused(now, page, write),
        }
    }

    fn refused(&mut self, now: Time, page: usize, write: WriteId) -> Outcome {
        let entry = &mut self.pages[page];
        entry.open.retain(|open| open.write != write);
        entry.next = now + BACKOFF;
        let mut outcome = Outcome { page, ..Outcome::default() };
        if entry.open.is_empty() {
            let calls = |mark: &Mark| matches!(mark, Mark::Accepted { .. } | Mark::Cancel { .. });
            outcome.failed = entry.marks.iter().copied().filter(calls).collect();
            entry.marks.retain(|mark| !calls(mark));
        }
        self.touch(now, page, false, None);
        outcome
    }

    /// Takes the answer to a read.
    pub(crate) fn page_read(&mut self, now: Time, key: &str, result: ReadResult) -> Outcome {
        let reading = |page: &Page| page.key == key && page.reading;
        let Some(page) = self.pages.iter().position(reading) else { return Outcome::default() };
        self.pages[page].reading = false;
        self.down = result == ReadResult::Unavailable;
        match result {
            ReadResult::Found { version, value } => self.found(now, page, version, &value),
            ReadResult::Absent => {
                self.pages[page].version = 0;
                self.touch(now, page, true, None);
                Outcome::default()
            }
            ReadResult::Unavailable => {
                let entry = &mut self.pages[page];
                entry.read = true;
                entry.next = now + BACKOFF;
                Outcome::default()
            }
        }
    }

    /// A page was found in the store with this value.
    fn found(&mut self, now: Time, page: usize, version: u64, value: &[u8]) -> Outcome {
        if version == 0 {
            self.pages[page].version = 0;
            self.touch(now, page, true, None);
            return Outcome::default();
        }
        let Ok(decoded) = PageValue::decode(&self.pages[page].key, value) else {
            self.unreadable.insert(self.pages[page].key.clone());
            return Outcome { fenced: true, ..Outcome::default() };
        };
        if self.outranked(&decoded) {
            return Outcome { fenced: true, ..Outcome::default() };
        }
        if decoded.owner == self.me && decoded.epoch == self.epoch {
            let open = self.pages[page].open.iter().any(|open| open.write == decoded.write);
            if open {
                return self.resolve_late(now, page, decoded.write, version);
            }
            self.pages[page].version = version;
            self.touch(now, page, true, None);
            return Outcome::default();
        }
        let entry = &mut self.pages[page];
        entry.version = version;
        // Our own writes expected an older version and can no longer take effect.
        entry.open.clear();
        let mut outcome = Outcome { page, ..Outcome::default() };
        if !entry.claimed {
            entry.jobs.extend(decoded.jobs.iter().map(|record| record.spec.id));
            outcome.merged = decoded.jobs;
        }
        self.touch(now, page, true, None);
        outcome
    }

    fn resolve_late(&mut self, now: Time, page: usize, write: WriteId, version: u64) -> Outcome {
        let outcome = self.resolve(page, write, version);
        self.touch(now, page, false, None);
        outcome
    }

    fn resolve(&mut self, page: usize, write: WriteId, version: u64) -> Outcome {
        let entry = &mut self.pages[page];
        let open = entry.open.iter().find(|open| open.write == write);
        let marks = open.map_or(0, |open| open.marks);
        entry.open.clear();
        entry.version = version;
        let claimed = !std::mem::replace(&mut entry.claimed, true);
        let marks = entry.marks.drain(..marks).collect();
        if entry.dirty.is_none() && entry.marks.is_empty() {
            self.busy.remove(&page);
        }
        Outcome { marks, claimed, page, ..Outcome::default() }
    }

    fn outranked(&self, value: &PageValue) -> bool {
        value.epoch > self.epoch || (value.epoch == self.epoch && value.owner != self.me)
    }

    /// When the next write or read is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let due = self.busy.iter().filter_map(|&page| {
            let at = self.pages[page].waiting()?;
            let pace = if self.pages[page].read { self.reads.ready() } else { self.writes.ready() };
            Some(at.max(pace))
        });
        due.min()
    }
}
