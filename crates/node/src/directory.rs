//! Reads the directory of workers, page by page and again and again.
//!
//! Entries change with each heartbeat, so a watch would return all of them over and over. Instead,
//! each page is read again within an interval that follows from the time in which starts have to
//! respect a draining worker. The pages are spread over the interval, so that a read of thousands
//! of entries does not occupy a slow link at a stretch. The age of the view is that of the page
//! read longest ago, from the moment at which its request was sent.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::state::State;
use batch::WorkerInfo;
use model::Time;
use platform::directory;
use platform::store::Item;
use platform::store::StoreError;

/// Minimum pause between two reads of the directory.
const READ_PAUSE: Duration = Duration::from_millis(1_000);
/// Rate at which entries are read where no bound requires more, so that slow links are not
/// saturated.
const ENTRIES_PER_SECOND: u32 = 200;
/// Percentage of the bound within which each page is read again. With a bound of 3 s this leaves
/// 350 workers at the rate above, and 0.7 s for an attempt that hangs, a further one, and the call.
const INTERVAL_PERCENT: u32 = 60;
/// Divisor of the bound for the time after which a silent attempt is abandoned: 375 ms of 3 s,
/// which are six round trips to another region.
const TIMEOUT_DIVISOR: u32 = 8;
/// Timeout of an attempt if there is no bound.
const UNBOUNDED_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum timeout of an attempt, for slow links: a page of 1 MB takes about a second on one.
const MAX_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Minimum time between the starts of two attempts, so that a store that refuses is not flooded.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Intervals of the reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intervals {
    /// Maximum time between two reads of a page; `None` sets no limit.
    pub longest: Option<Duration>,
    /// Timeout of the first attempt to read a page; doubles with each failure.
    pub timeout: Duration,
}

impl Intervals {
    /// Intervals for a time within which a draining worker has to be noticed.
    pub fn new(bound: Option<Duration>) -> Intervals {
        Intervals {
            longest: bound.map(|bound| bound * INTERVAL_PERCENT / 100),
            timeout: bound.map_or(UNBOUNDED_TIMEOUT, |bound| bound / TIMEOUT_DIVISOR),
        }
    }

    /// Pause after each of `pages` pages of `entries` entries in all, whose reads take `took`.
    pub fn pause(&self, entries: usize, pages: usize, took: Duration) -> Duration {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let pages = u32::try_from(pages).unwrap_or(u32::MAX).max(1);
        let usual = READ_PAUSE.max(Duration::from_secs(1) * entries / ENTRIES_PER_SECOND);
        self.longest.map_or(usual, |longest| usual.min(longest.saturating_sub(took))) / pages
    }
}

/// News of the directory.
#[derive(Debug)]
pub struct Listing {
    /// All listed workers; `None` if they are as before.
    pub workers: Option<Vec<WorkerInfo>>,
    /// The listing includes all changes that were acknowledged before this time.
    pub complete_at: Time,
}

/// An entry as last read.
#[derive(Debug)]
struct Entry {
    /// Its value without what changes with each heartbeat.
    stable: Vec<u8>,
    /// Store revision of the value.
    revision: u64,
    /// `None` if the entry is malformed.
    worker: Option<WorkerInfo>,
}

impl Entry {
    /// Whether the planner should learn of the change from `before` at once. A remaining time that
    /// merely goes on to fall does not matter.
    fn is_news(&self, before: Option<&Entry>) -> bool {
        let plain = |entry: &Entry| {
            entry.worker.clone().map(|worker| {
                let left = worker.drain_left.map(|_| Duration::ZERO);
                WorkerInfo { drain_left: left, ..worker }
            })
        };
        before.and_then(plain) != plain(self)
    }
}

/// A page as last read.
#[derive(Clone, Debug)]
struct PageRead {
    /// When the read was sent.
    sent: Time,
    /// Its last key; `None` if no page follows.
    last: Option<String>,
}

/// Reader of the directory of workers.
#[derive(Debug)]
pub struct DirectoryReader {
    state: Rc<State>,
    intervals: Intervals,
    entries: BTreeMap<String, Entry>,
    /// Pages of the current pass so far.
    pages: Vec<PageRead>,
    /// Pages of the last pass.
    last_pages: Vec<PageRead>,
    /// Time that the reads of the current pass took so far.
    took: Duration,
    /// Time that the reads of the last pass took.
    last_took: Duration,
    /// When the last page arrived.
    arrived: Time,
    /// Number of attempts in a row that failed.
    failures: u32,
}

impl DirectoryReader {
    /// Creates a reader that has read nothing yet.
    pub fn new(state: Rc<State>) -> DirectoryReader {
        let intervals = Intervals::new(state.settings.jobs.drain);
        DirectoryReader {
            state,
            intervals,
            entries: BTreeMap::new(),
            pages: Vec::new(),
            last_pages: Vec::new(),
            took: Duration::ZERO,
            last_took: Duration::ZERO,
            arrived: Time::ZERO,
            failures: 0,
        }
    }

    /// Reads the whole directory, with retries until that succeeds.
    pub async fn read(&mut self) -> Listing {
        loop {
            let (listing, whole) = self.read_page().await;
            if whole {
                return listing;
            }
        }
    }

    /// Reads the directory again and again, until the receiver is gone.
    pub async fn follow(mut self, listings: UnboundedSender<Listing>) {
        loop {
            // The directory may have grown since the last pass.
            let pages = self.last_pages.len().max(self.pages.len() + 1);
            let entries = self.entries.len();
            let pause = self.intervals.pause(entries, pages, self.last_took);
            sleep(pause.saturating_sub(self.state.clock.now().since(self.arrived))).await;
            let (listing, _) = self.read_page().await;
            if listings.send(listing).is_err() {
                return;
            }
        }
    }

    /// Reads the next page, with retries until that succeeds. Returns the news and whether the page
    /// was the last one.
    async fn read_page(&mut self) -> (Listing, bool) {
        loop {
            let sent = self.state.clock.now();
            match self.try_page(sent).await {
                Ok(news) => {
                    self.failures = 0;
                    return self.finish_page(sent, news);
                }
                Err(error) => {
                    warn!(error = error.to_string().as_str(); "directory: read failed");
                    self.failures += 1;
                    sleep(RETRY_INTERVAL.saturating_sub(self.state.clock.now().since(sent))).await;
                }
            }
        }
    }

    /// Reads the next page, and returns whether it contains news.
    async fn try_page(&mut self, sent: Time) -> Result<bool, StoreError> {
        let after = self.pages.last().and_then(|page| page.last.clone());
        let doublings = 2u32.saturating_pow(self.failures);
        let timeout = self.intervals.timeout.saturating_mul(doublings).min(MAX_TIMEOUT);
        let page = self.state.store.page(directory::PREFIX, after.as_deref(), timeout).await?;
        let last = page.items.last().filter(|_| page.has_more).map(|item| item.key.clone());
        self.pages.push(PageRead { sent, last: last.clone() });
        Ok(self.replace(after, last, &page.items))
    }

    /// Replaces the entries after one key up to another by those of a page, and returns whether the
    /// planner should learn of a change at once.
    fn replace(&mut self, after: Option<String>, last: Option<String>, items: &[Item]) -> bool {
        let replaced = |key: &String| {
            after.as_ref().is_none_or(|after| key > after)
                && last.as_ref().is_none_or(|last| key <= last)
        };
        let mut before: BTreeMap<String, Entry> =
            self.entries.extract_if(.., |key, _| replaced(key)).collect();
        let mut news = false;
        for item in items {
            let known = before.remove(&item.key);
            let (entry, is_news) = read_entry(item, known, &self.state.metrics);
            news |= is_news;
            self.entries.insert(item.key.clone(), entry);
        }
        news || !before.is_empty()
    }

    /// Ends the read of a page.
    fn finish_page(&mut self, sent: Time, news: bool) -> (Listing, bool) {
        self.arrived = self.state.clock.now();
        self.took += self.arrived.since(sent);
        let whole = self.pages.last().is_some_and(|page| page.last.is_none());
        if whole {
            self.last_pages = std::mem::take(&mut self.pages);
            self.last_took = std::mem::take(&mut self.took);
        }
        // The planner also takes workers for absent that its own calls found gone, and looks for
        // them in each whole listing.
        let workers = (whole || news).then(|| self.workers());
        (Listing { workers, complete_at: self.complete_at() }, whole)
    }

    fn workers(&self) -> Vec<WorkerInfo> {
        self.entries.values().filter_map(|entry| entry.worker.clone()).collect()
    }

    /// When the oldest page that still counts was requested.
    fn complete_at(&self) -> Time {
        let reached = self.pages.last().and_then(|page| page.last.as_ref());
        let counts = |page: &&PageRead| page.last.is_none() || page.last.as_ref() > reached;
        let pages = self.pages.iter().chain(self.last_pages.iter().filter(counts));
        pages.map(|page| page.sent).min().unwrap_or(Time::ZERO)
    }
}

/// Reads an entry, given how it was read before, and returns whether it contains news. A malformed
/// one is logged and counted once per change.
fn read_entry(item: &Item, known: Option<Entry>, metrics: &Metrics) -> (Entry, bool) {
    let revision = item.revision;
    let value = item.value.as_deref().map_err(String::clone);
    let stable = value.as_ref().map_or(Vec::new(), |value| directory::without_heartbeat(value));
    let known = match known {
        Some(entry) if entry.worker.is_some() && entry.stable == stable => {
            return (Entry { revision, ..entry }, false);
        }
        known => known,
    };
    let worker = match value.and_then(|value| directory::decode_entry(&item.key, value)) {
        Ok(worker) => Some(worker),
        Err(error) => {
            if known.as_ref().is_none_or(|known| known.revision != revision) {
                warn!(key = item.key.as_str(), error = error.as_str();
                    "directory: malformed worker entry; ignored");
                metrics.count_event("ignores_entry");
            }
            None
        }
    };
    let entry = Entry { stable, revision, worker };
    let is_news = entry.is_news(known.as_ref());
    (entry, is_news)
}
