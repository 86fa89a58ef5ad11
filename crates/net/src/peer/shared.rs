//! What the handle, the hub and the links share: open links and counters.

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

use crate::counted::Traffic;
use crate::peer::link::Outbox;
use model::Incarnation;
use wire::Hello;

/// How far away a peer is.
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
    /// How far `peer` is from `own`.
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

/// Bytes exchanged with peers at one distance, as counted at the sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ByteCounts {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

impl ByteCounts {
    fn add(&mut self, traffic: &Traffic) {
        self.received += traffic.read();
        self.sent += traffic.written();
    }
}

/// Counters of all peer links since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerCounters {
    /// Bytes by distance.
    pub bytes: BTreeMap<Distance, ByteCounts>,
    /// Links that are open now.
    pub links: usize,
    /// Data frames handed to links.
    pub sent: u64,
    /// Data frames received and passed on.
    pub received: u64,
    /// Frames not sent because the queue was full or no link was open.
    pub dropped: u64,
    /// Frames of an unknown kind, which were skipped.
    pub unknown: u64,
    /// Links opened.
    pub opened: u64,
    /// Links found silent.
    pub silent: u64,
    /// Connections refused or closed for breaking the protocol.
    pub malformed: u64,
}

/// State shared by the handle, the hub and the links.
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
    traffic: Arc<Traffic>,
}

impl Shared {
    /// The open link to `peer`.
    pub(super) fn link(&self, peer: Incarnation) -> Option<Arc<Outbox>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(&peer).cloned()
    }

    /// Sets or clears the open link to `peer`.
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

    /// Starts to meter a connection.
    pub(super) fn meter(&self, link: u64, distance: Distance, traffic: Arc<Traffic>) {
        self.meters().open.insert(link, Meter { distance, traffic });
    }

    /// Keeps the final figures of a connection.
    pub(super) fn settle(&self, link: u64) {
        let mut meters = self.meters();
        if let Some(meter) = meters.open.remove(&link) {
            meters.closed.entry(meter.distance).or_default().add(&meter.traffic);
        }
    }

    pub(super) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_unknown(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }

    /// All counters now.
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
            bytes.entry(meter.distance).or_default().add(&meter.traffic);
        }
        bytes
    }

    fn meters(&self) -> MutexGuard<'_, Meters> {
        self.meters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
