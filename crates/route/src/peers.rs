//! Other entry VMs: who lives, who stands in for whom, and who lends which slots.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peer;
use model::BackendId;
use model::Incarnation;
use model::RegionId;
use model::Time;

/// Ended incarnations and heirs that are remembered.
const MEMORY: usize = 4_096;

/// Steps from heir to heir that are followed.
const HEIRS: usize = 16;

/// What is known of another entry VM.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) peer: Peer,
    /// Since when it has been out of reach.
    pub(crate) down: Option<Time>,
    pub(crate) draining: bool,
}

/// Where an incarnation stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Messages get through.
    Up,
    /// It may live, but messages do not get through.
    Down(Time),
    /// It has certainly ended.
    Gone,
    /// It was never seen.
    Stranger,
}

/// All other entry VMs.
#[derive(Debug)]
pub(crate) struct Peers {
    me: Peer,
    known: BTreeMap<Incarnation, Known>,
    gone: BTreeMap<Incarnation, u64>,
    ended: BTreeMap<u64, Incarnation>,
    count: u64,
    heirs: BTreeMap<Incarnation, Incarnation>,
    leaving: bool,
}

impl Peers {
    pub(crate) fn new(me: Peer) -> Peers {
        Peers {
            me,
            known: BTreeMap::new(),
            gone: BTreeMap::new(),
            ended: BTreeMap::new(),
            count: 0,
            heirs: BTreeMap::new(),
            leaving: false,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// Peers that messages reach.
    pub(crate) fn reachable(&self) -> Vec<Incarnation> {
        let up = self.known.values().filter(|known| known.down.is_none());
        up.map(|known| known.peer.incarnation).collect()
    }

    /// Takes in a peer that can be reached, unless it has ended.
    pub(crate) fn up(&mut self, peer: Peer) -> bool {
        if self.gone.contains_key(&peer.incarnation) || peer.incarnation == self.me.incarnation {
            return false;
        }
        let fresh = Known { peer: peer.clone(), down: None, draining: false };
        let known = self.known.entry(peer.incarnation).or_insert(fresh);
        known.down = None;
        true
    }

    pub(crate) fn down(&mut self, peer: Incarnation, now: Time) {
        if let Some(known) = self.known.get_mut(&peer) {
            known.down = known.down.or(Some(now));
        }
    }

    pub(crate) fn gone(&mut self, peer: Incarnation) {
        self.known.remove(&peer);
        if self.gone.contains_key(&peer) {
            return;
        }
        self.count += 1;
        self.gone.insert(peer, self.count);
        self.ended.insert(self.count, peer);
        if self.ended.len() > MEMORY
            && let Some((_, oldest)) = self.ended.pop_first()
        {
            self.gone.remove(&oldest);
            self.heirs.remove(&oldest);
        }
    }

    pub(crate) fn draining(&mut self, peer: Incarnation) {
        if let Some(known) = self.known.get_mut(&peer) {
            known.draining = true;
        }
    }

    /// Takes this entry VM out of the choice of lenders.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
    }

    pub(crate) fn reach(&self, peer: Incarnation) -> Reach {
        match self.known.get(&peer) {
            Some(Known { down: None, .. }) => Reach::Up,
            Some(Known { down: Some(since), .. }) => Reach::Down(*since),
            None if self.gone.contains_key(&peer) => Reach::Gone,
            None => Reach::Stranger,
        }
    }

    /// Records who answers for the ids of `home`.
    pub(crate) fn set_heir(&mut self, home: Incarnation, heir: Incarnation) {
        if home != self.me.incarnation
            && (self.heirs.len() < MEMORY || self.gone.contains_key(&home))
        {
            self.heirs.insert(home, heir);
        }
    }

    /// Who answers for the ids of `home` now.
    pub(crate) fn resolve(&self, home: Incarnation) -> Incarnation {
        let mut current = home;
        for _ in 0..HEIRS {
            match self.heirs.get(&current) {
                Some(heir) => current = *heir,
                None => break,
            }
        }
        current
    }

    /// The peer that takes over when this entry VM stops, other than those in `refused`.
    pub(crate) fn choose_heir(&self, refused: &[Incarnation]) -> Option<Incarnation> {
        let fits = |known: &&Known| {
            known.down.is_none() && !known.draining && !refused.contains(&known.peer.incarnation)
        };
        let rank = |known: &&Known| {
            let near = known.peer.region == self.me.region;
            let seed = known.peer.incarnation.0;
            (near, xxh3_64_with_seed(&self.me.incarnation.0.to_le_bytes(), seed))
        };
        let best = self.known.values().filter(fits).max_by_key(rank);
        best.map(|known| known.peer.incarnation)
    }

    /// The entry VM that lends the slots of a backend server: one of its region, drawn by
    /// rendezvous hashing, so that each arrival or departure moves only its own share.
    pub(crate) fn lender(
        &self,
        backend: &BackendId,
        region: &RegionId,
        now: Time,
        grace: Duration,
    ) -> Option<Incarnation> {
        let serves = |known: &&Known| {
            !known.draining && known.down.is_none_or(|since| now.since(since) < grace)
        };
        let own = (!self.leaving).then_some(&self.me);
        let candidates = || {
            let others = self.known.values().filter(serves).map(|known| &known.peer);
            others.chain(own)
        };
        let score =
            |peer: &&Peer| xxh3_64_with_seed(backend.as_str().as_bytes(), peer.incarnation.0);
        let near = candidates().filter(|peer| peer.region == *region).max_by_key(score);
        let cut_off = self
            .known
            .values()
            .any(|known| known.peer.region == *region && known.down.is_some() && !known.draining);
        if near.is_none() && cut_off {
            return None;
        }
        near.or_else(|| candidates().max_by_key(score)).map(|peer| peer.incarnation)
    }

    /// Entry VMs that may hold connections, this one included.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.known.len()).unwrap_or(u32::MAX).saturating_add(1)
    }
}
