//! State shared by [`Peers`](super::Peers), the hub and the links: open links and counters.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use crate::counted::ByteCounters;
use crate::peer::link::Outbox;
use model::Incarnation;
use wire::Hello;

/// Network distance to a peer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, AsRefStr, Display, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region.
    Remote,
}

impl Distance {
    /// Returns the distance from `own` to `peer`.
    pub fn between(own: &Hello, peer: &Hello) -> Distance {
        if own.region != peer.region {
            Distance::Remote
        } else if own.zone != peer.zone {
            Distance::Region
        } else {
            Distance::Zone
        }
    }
}

/// Bytes exchanged with the peers at one distance, counted at the sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ByteCounts {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

impl ByteCounts {
    fn add(&mut self, counters: &ByteCounters) {
        self.received += counters.read();
        self.sent += counters.written();
    }
}

/// Counters of all peer links since this process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerCounters {
    /// Bytes exchanged, by distance.
    pub bytes: BTreeMap<Distance, ByteCounts>,
    /// Links that are currently open.
    pub links: usize,
    /// Data frames queued on links.
    pub sent: u64,
    /// Data frames received and passed on.
    pub received: u64,
    /// Frames not sent because the queue was full or no link was open.
    pub dropped: u64,
    /// Received frames of an unknown kind, which are skipped.
    pub unknown: u64,
    /// Links opened.
    pub opened: u64,
    /// Links that ended because they were silent or did not accept writes.
    pub silent: u64,
    /// Connections refused or closed because of a protocol violation.
    pub malformed: u64,
}

/// State shared by [`Peers`](super::Peers), the hub and the links.
#[derive(Debug, Default)]
pub(super) struct Shared {
    links: RwLock<BTreeMap<Incarnation, Arc<Outbox>>>,
    meters: Mutex<Meters>,
    pub(super) sent: AtomicU64,
    pub(super) received: AtomicU64,
    pub(super) opened: AtomicU64,
    pub(super) silent: AtomicU64,
    pub(super) malformed: AtomicU64,
    pub(super) dropped: AtomicU64,
    unknown: AtomicU64,
}

#[derive(Debug, Default)]
struct Meters {
    closed: BTreeMap<Distance, ByteCounts>,
    open: BTreeMap<u64, Meter>,
}

#[derive(Debug)]
struct Meter {
    distance: Distance,
    counters: Arc<ByteCounters>,
}

impl Shared {
    /// Returns the send queue of the open link to `peer`, if any.
    pub(super) fn link(&self, peer: Incarnation) -> Option<Arc<Outbox>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(&peer).cloned()
    }

    /// Sets the open link to `peer`, or removes it if `outbox` is `None`.
    pub(super) fn set_link(&self, peer: Incarnation, outbox: Option<Arc<Outbox>>) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        match outbox {
            Some(outbox) => links.insert(peer, outbox),
            None => links.remove(&peer),
        };
    }

    /// Removes all links.
    pub(super) fn clear_links(&self) {
        self.links.write().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Starts to count the bytes of a link.
    pub(super) fn start_meter(&self, link: u64, distance: Distance, counters: Arc<ByteCounters>) {
        self.meters().open.insert(link, Meter { distance, counters });
    }

    /// Adds the final byte counts of a link to those of its distance.
    pub(super) fn stop_meter(&self, link: u64) {
        let mut meters = self.meters();
        if let Some(meter) = meters.open.remove(&link) {
            meters.closed.entry(meter.distance).or_default().add(&meter.counters);
        }
    }

    pub(super) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_unknown(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current values of all counters.
    pub(super) fn counters(&self) -> PeerCounters {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner).len();
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        PeerCounters {
            bytes: self.bytes(),
            links,
            sent: load(&self.sent),
            received: load(&self.received),
            dropped: load(&self.dropped),
            unknown: load(&self.unknown),
            opened: load(&self.opened),
            silent: load(&self.silent),
            malformed: load(&self.malformed),
        }
    }

    fn bytes(&self) -> BTreeMap<Distance, ByteCounts> {
        let meters = self.meters();
        let mut bytes = meters.closed.clone();
        for meter in meters.open.values() {
            bytes.entry(meter.distance).or_default().add(&meter.counters);
        }
        bytes
    }

    fn meters(&self) -> MutexGuard<'_, Meters> {
        self.meters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
