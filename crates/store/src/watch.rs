//! Watches: one stream from the store per prefix, shared by all subscribers.
//!
//! The hub of a prefix keeps a bounded log of the reported events. Each watch reads the log at its
//! own pace; one that falls behind the start of the log gets [`WatchEvent::Compacted`], as if the
//! store had compacted the changes. A stream that ends, or delivers nothing for
//! [`Config::watch_timeout`](crate::Config::watch_timeout), is reopened from the next revision, so
//! that no change is lost.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use log::info;
use log::warn;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::api::Purpose;
use crate::api::WatchEvent;
use crate::attempt::ConnectionKind;
use crate::client::Inner;
use crate::client::call;
use crate::connection::MAX_ANSWER_BYTES;
use crate::connection::Stream;
use crate::error::Error;
use crate::gateway;
use crate::gateway::DecodeError;
use crate::gateway::WatchLine;

/// Maximum number of events in the log of a hub.
const MAX_LOG_EVENTS: usize = 1024;
/// Maximum size of the keys and values in the log of a hub; a single larger event is kept.
const MAX_LOG_BYTES: usize = 8 << 20;
/// Delay before the first attempt to reopen a stream after a failure.
const MIN_REOPEN_DELAY: Duration = Duration::from_millis(50);
/// Age after which a stream that ends is reopened without delay.
const STABLE_STREAM_AGE: Duration = Duration::from_secs(1);

/// Bounded log of the events of one prefix.
#[derive(Debug)]
struct EventLog {
    events: VecDeque<WatchEvent>,
    /// Position of the first event in the log.
    base: u64,
    bytes: usize,
    /// First revision from which the log is complete.
    floor: u64,
    /// Next revision to ask the store for; 0 until it is known.
    next_revision: u64,
    /// Whether the store is unreachable.
    lost: bool,
}

impl EventLog {
    fn push(&mut self, event: WatchEvent) {
        self.bytes += event_bytes(&event);
        self.events.push_back(event);
        while self.events.len() > MAX_LOG_EVENTS
            || (self.bytes > MAX_LOG_BYTES && self.events.len() > 1)
        {
            let Some(event) = self.events.pop_front() else { break };
            self.bytes -= event_bytes(&event);
            self.base += 1;
            if let Some(version) = version(&event) {
                self.floor = self.floor.max(version + 1);
            }
        }
    }

    fn end(&self) -> u64 {
        self.base + self.events.len() as u64
    }

    fn get(&self, position: u64) -> Option<&WatchEvent> {
        let index = usize::try_from(position.checked_sub(self.base)?).ok()?;
        self.events.get(index)
    }
}

fn event_bytes(event: &WatchEvent) -> usize {
    match event {
        WatchEvent::Put(entry) => entry.key.len() + entry.value.len(),
        WatchEvent::Delete { key, .. } => key.len(),
        _ => 0,
    }
}

/// Version of a change; `None` for an event about the watch itself.
fn version(event: &WatchEvent) -> Option<u64> {
    match event {
        WatchEvent::Put(entry) => Some(entry.version),
        WatchEvent::Delete { version, .. } => Some(*version),
        _ => None,
    }
}

/// State shared by the stream task and the watches of a prefix.
#[derive(Debug)]
struct Feed {
    purpose: Purpose,
    prefix: String,
    log: Mutex<EventLog>,
    changed: Notify,
}

impl Feed {
    fn lock(&self) -> MutexGuard<'_, EventLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of the stream of one prefix. The stream is closed when the last watch is dropped.
#[derive(Debug)]
pub(crate) struct Hub {
    feed: Arc<Feed>,
    task: AbortHandle,
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Hub {
    pub(crate) fn start(inner: Arc<Inner>, purpose: Purpose, prefix: &str, from: u64) -> Arc<Hub> {
        let log = EventLog {
            events: VecDeque::new(),
            base: 0,
            bytes: 0,
            floor: from,
            next_revision: from,
            lost: false,
        };
        let feed = Arc::new(Feed {
            purpose,
            prefix: prefix.to_owned(),
            log: Mutex::new(log),
            changed: Notify::new(),
        });
        let streamer = Streamer { inner, feed: feed.clone(), opened_revision: 0 };
        let task = tokio::spawn(streamer.run()).abort_handle();
        Arc::new(Hub { feed, task })
    }
}

/// Subscription to the changes under a prefix.
#[derive(Debug)]
pub struct Watch {
    hub: Arc<Hub>,
    from: u64,
    position: u64,
    /// End of the log when the watch was created; earlier events about the stream itself are
    /// stale.
    joined_at: u64,
    /// First event of a watch that is created while the store is unreachable.
    lost: Option<WatchEvent>,
    /// Whether `from` was compared with the floor of the log.
    floor_checked: bool,
}

impl Watch {
    pub(crate) fn subscribe(hub: Arc<Hub>, from: u64) -> Watch {
        let log = hub.feed.lock();
        let joined_at = log.end();
        let position = if from == 0 { joined_at } else { log.base };
        let revision = log.next_revision.saturating_sub(1);
        let lost = log.lost.then_some(WatchEvent::Lost { revision });
        drop(log);
        Watch { hub, from, position, joined_at, lost, floor_checked: from == 0 }
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next(&mut self) -> WatchEvent {
        let feed = self.hub.feed.clone();
        loop {
            let changed = feed.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(event) = self.poll(&feed) {
                return event;
            }
            changed.await;
        }
    }

    fn poll(&mut self, feed: &Feed) -> Option<WatchEvent> {
        if let Some(event) = self.lost.take() {
            return Some(event);
        }
        let log = feed.lock();
        if !self.floor_checked && log.next_revision != 0 {
            self.floor_checked = true;
            if self.from < log.floor {
                self.position = self.position.max(log.base);
                return Some(WatchEvent::Compacted { revision: log.floor });
            }
        }
        if self.position < log.base {
            self.position = log.base;
            return Some(WatchEvent::Compacted { revision: log.floor });
        }
        while let Some(event) = log.get(self.position) {
            let stale = self.position < self.joined_at;
            self.position += 1;
            match version(event) {
                Some(version) if version < self.from => {}
                None if stale => {}
                _ => return Some(event.clone()),
            }
        }
        None
    }
}

/// Task that keeps the stream of one prefix open.
struct Streamer {
    inner: Arc<Inner>,
    feed: Arc<Feed>,
    /// Revision of the store when the stream was opened.
    opened_revision: u64,
}

impl Streamer {
    async fn run(mut self) {
        let mut delay = MIN_REOPEN_DELAY;
        loop {
            let opened = Instant::now();
            match self.open().await {
                Ok(stream) => {
                    let ended = self.follow(stream).await;
                    info!("store: watch of {:?} ended: {ended}", self.feed.prefix);
                    if opened.elapsed() >= STABLE_STREAM_AGE {
                        delay = MIN_REOPEN_DELAY;
                        continue;
                    }
                }
                Err(error) => self.report_lost(&error),
            }
            sleep(delay.mul_f64(0.5 + self.inner.gate.jitter() / 2.0)).await;
            delay = (delay * 2).min(self.inner.config.backoff);
        }
    }

    async fn open(&self) -> Result<Lines, Error> {
        let inner = &*self.inner;
        let deadline = Instant::now() + inner.config.deadline;
        let request = gateway::watch_request(&self.feed.prefix, self.feed.lock().next_revision);
        let call = call("/v3/watch", &request, true);
        let _permit = inner.admit(self.feed.purpose, deadline).await?;
        let stream = inner.pool.stream(&call, deadline).await;
        let stream = inner.record(self.feed.purpose, ConnectionKind::New, stream)?;
        inner.counters.watches.fetch_add(1, Ordering::Relaxed);
        Ok(Lines { stream, buffer: BytesMut::new() })
    }

    /// Reads the stream until it ends, and returns the reason.
    async fn follow(&mut self, mut lines: Lines) -> Error {
        loop {
            let deadline = Instant::now() + self.inner.config.watch_timeout;
            let line = match timeout_at(deadline, lines.next()).await {
                Err(_) => return self.inner.pool.timeout_error(),
                Ok(Err(error)) => return error,
                Ok(Ok(None)) => return self.inner.pool.closed_error(),
                Ok(Ok(Some(line))) => line,
            };
            match gateway::parse_watch(&line) {
                Err(error) => return error.into(),
                Ok(WatchLine::Canceled) => return self.inner.pool.closed_error(),
                Ok(line) => self.publish(line),
            }
        }
    }

    fn publish(&mut self, line: WatchLine) {
        let mut log = self.feed.lock();
        match line {
            WatchLine::Created { revision } => {
                self.opened_revision = revision;
                if log.next_revision == 0 {
                    log.next_revision = revision + 1;
                    log.floor = revision + 1;
                }
                log.lost = false;
                if log.next_revision > revision {
                    log.push(WatchEvent::Current { revision });
                }
            }
            WatchLine::Progress { revision } => {
                log.next_revision = log.next_revision.max(revision + 1);
                log.push(WatchEvent::Current { revision });
            }
            WatchLine::Changes(events) => self.append(&mut log, events),
            WatchLine::Compacted { revision } => {
                warn!(
                    "store: watch of {:?} lost compacted changes before revision {revision}",
                    self.feed.prefix
                );
                log.base = log.end();
                log.events.clear();
                log.bytes = 0;
                log.floor = log.floor.max(revision);
                log.next_revision = log.next_revision.max(revision);
                log.push(WatchEvent::Compacted { revision });
            }
            WatchLine::Canceled => {}
        }
        drop(log);
        self.feed.changed.notify_waiters();
    }

    fn append(&self, log: &mut EventLog, events: Vec<WatchEvent>) {
        let fresh = events.into_iter().filter(|event| version(event) >= Some(log.next_revision));
        let fresh: Vec<_> = fresh.collect();
        let last = fresh.iter().filter_map(version).max();
        for event in fresh {
            log.push(event);
        }
        let Some(last) = last else { return };
        log.next_revision = last + 1;
        if last == self.opened_revision {
            log.push(WatchEvent::Current { revision: last });
        }
    }

    fn report_lost(&self, error: &Error) {
        let mut log = self.feed.lock();
        if log.lost {
            return;
        }
        warn!("store: cannot open watch of {:?}: {error}", self.feed.prefix);
        log.lost = true;
        let revision = log.next_revision.saturating_sub(1);
        log.push(WatchEvent::Lost { revision });
        drop(log);
        self.feed.changed.notify_waiters();
    }
}

/// Reads a streamed response line by line.
#[derive(Debug)]
struct Lines {
    stream: Stream,
    buffer: BytesMut,
}

impl Lines {
    async fn next(&mut self) -> Result<Option<BytesMut>, Error> {
        let mut searched = 0;
        loop {
            if let Some(end) = self.buffer[searched..].iter().position(|&byte| byte == b'\n') {
                let mut line = self.buffer.split_to(searched + end + 1);
                line.truncate(searched + end);
                return Ok(Some(line));
            }
            searched = self.buffer.len();
            if searched > MAX_ANSWER_BYTES {
                return Err(DecodeError::TooLong { limit: MAX_ANSWER_BYTES }.into());
            }
            let Some(frame) = self.stream.body.frame().await else { return Ok(None) };
            // A broken connection is treated like the end of the stream, which is then reopened.
            let Ok(frame) = frame else { return Ok(None) };
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }
}
