//! Other entry VMs: reachability, heirs, and the choice of a lender for each backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peer;
use model::BackendId;
use model::Incarnation;
use model::RegionId;
use model::Time;

/// Maximum number of ended incarnations, and of heirs, that are remembered.
const MAX_ENDED_PEERS: usize = 4_096;

/// Maximum length of a chain of heirs that is followed.
const MAX_HEIR_HOPS: usize = 16;

/// State of another entry VM that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) peer: Peer,
    /// Time since which it has been unreachable; `None` while it is reachable.
    pub(crate) down_since: Option<Time>,
    pub(crate) draining: bool,
}

/// Reachability of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// It is reachable.
    Up,
    /// It may still run, but has been unreachable since this time.
    Down(Time),
    /// Its process has certainly ended.
    Ended,
    /// It was never seen.
    Unknown,
}

/// All other entry VMs.
#[derive(Debug)]
pub(crate) struct Peers {
    me: Peer,
    peers: BTreeMap<Incarnation, PeerState>,
    /// Serial number, in order of their end, of each remembered incarnation that has ended.
    ended_serials: BTreeMap<Incarnation, u64>,
    /// The inverse of `ended_serials`, to forget the oldest first.
    ended_order: BTreeMap<u64, Incarnation>,
    ended_count: u64,
    /// Heir by home.
    heirs: BTreeMap<Incarnation, Incarnation>,
    /// Whether this entry VM is draining and must not become lender.
    self_draining: bool,
}

impl Peers {
    pub(crate) fn new(me: Peer) -> Peers {
        Peers {
            me,
            peers: BTreeMap::new(),
            ended_serials: BTreeMap::new(),
            ended_order: BTreeMap::new(),
            ended_count: 0,
            heirs: BTreeMap::new(),
            self_draining: false,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Peers that are reachable.
    pub(crate) fn reachable(&self) -> Vec<Incarnation> {
        let up = self.peers.values().filter(|state| state.down_since.is_none());
        up.map(|state| state.peer.incarnation).collect()
    }

    /// Marks a peer as reachable; returns false if it has ended or is this entry VM.
    pub(crate) fn mark_up(&mut self, peer: Peer) -> bool {
        if self.ended_serials.contains_key(&peer.incarnation)
            || peer.incarnation == self.me.incarnation
        {
            return false;
        }
        let fresh = PeerState { peer: peer.clone(), down_since: None, draining: false };
        let state = self.peers.entry(peer.incarnation).or_insert(fresh);
        state.down_since = None;
        true
    }

    pub(crate) fn mark_down(&mut self, peer: Incarnation, now: Time) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.down_since = state.down_since.or(Some(now));
        }
    }

    pub(crate) fn mark_ended(&mut self, peer: Incarnation) {
        self.peers.remove(&peer);
        if self.ended_serials.contains_key(&peer) {
            return;
        }
        self.ended_count += 1;
        self.ended_serials.insert(peer, self.ended_count);
        self.ended_order.insert(self.ended_count, peer);
        if self.ended_order.len() > MAX_ENDED_PEERS
            && let Some((_, oldest)) = self.ended_order.pop_first()
        {
            self.ended_serials.remove(&oldest);
            self.heirs.remove(&oldest);
        }
    }

    pub(crate) fn mark_draining(&mut self, peer: Incarnation) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.draining = true;
        }
    }

    /// Excludes this entry VM from the choice of lenders.
    pub(crate) fn stop_lending(&mut self) {
        self.self_draining = true;
    }

    pub(crate) fn reach(&self, peer: Incarnation) -> Reach {
        match self.peers.get(&peer) {
            Some(PeerState { down_since: None, .. }) => Reach::Up,
            Some(PeerState { down_since: Some(since), .. }) => Reach::Down(*since),
            None if self.ended_serials.contains_key(&peer) => Reach::Ended,
            None => Reach::Unknown,
        }
    }

    /// Records the heir that answers for the ids of `home`.
    pub(crate) fn set_heir(&mut self, home: Incarnation, heir: Incarnation) {
        if home != self.me.incarnation
            && (self.heirs.len() < MAX_ENDED_PEERS || self.ended_serials.contains_key(&home))
        {
            self.heirs.insert(home, heir);
        }
    }

    /// The entry VM that answers for the ids of `home` now: the home, or the last of its chain of
    /// heirs.
    pub(crate) fn resolve_heir(&self, home: Incarnation) -> Incarnation {
        let mut current = home;
        for _ in 0..MAX_HEIR_HOPS {
            match self.heirs.get(&current) {
                Some(heir) => current = *heir,
                None => break,
            }
        }
        current
    }

    /// Chooses the peer that takes over when this entry VM stops, preferably in its region and not
    /// one in `excluded`.
    pub(crate) fn choose_heir(&self, excluded: &[Incarnation]) -> Option<Incarnation> {
        let fits = |state: &&PeerState| {
            state.down_since.is_none()
                && !state.draining
                && !excluded.contains(&state.peer.incarnation)
        };
        let rank = |state: &&PeerState| {
            let near = state.peer.region == self.me.region;
            let seed = state.peer.incarnation.0;
            (near, xxh3_64_with_seed(&self.me.incarnation.0.to_le_bytes(), seed))
        };
        let best = self.peers.values().filter(fits).max_by_key(rank);
        best.map(|state| state.peer.incarnation)
    }

    /// Chooses the entry VM that lends the slots of a backend server by rendezvous hashing, so that
    /// an arrival or departure moves only its own share. It is one of the server's region if any
    /// can lend there, and else any other. Returns `None` while entry VMs of the region are
    /// unreachable and none there can lend, as they may still use the slots.
    pub(crate) fn choose_lender(
        &self,
        backend: &BackendId,
        region: &RegionId,
        now: Time,
        grace: Duration,
    ) -> Option<Incarnation> {
        let serves = |state: &&PeerState| {
            !state.draining && state.down_since.is_none_or(|since| now.since(since) < grace)
        };
        let own = (!self.self_draining).then_some(&self.me);
        let candidates = || {
            let others = self.peers.values().filter(serves).map(|state| &state.peer);
            others.chain(own)
        };
        let score =
            |peer: &&Peer| xxh3_64_with_seed(backend.as_str().as_bytes(), peer.incarnation.0);
        let near = candidates().filter(|peer| peer.region == *region).max_by_key(score);
        let cut_off = self.peers.values().any(|state| {
            state.peer.region == *region && state.down_since.is_some() && !state.draining
        });
        if near.is_none() && cut_off {
            return None;
        }
        near.or_else(|| candidates().max_by_key(score)).map(|peer| peer.incarnation)
    }

    /// Number of entry VMs that may hold connections, this one included.
    pub(crate) fn live_count(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX).saturating_add(1)
    }
}
