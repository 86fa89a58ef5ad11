//! Which shards this entry VM owns.
//!
//! Every member works out the same placement from its view: shards stay with an owner that may
//! keep them, and the others go to the member with the fewest. A member claims a shard that is
//! placed on it and free, and releases one that has been better placed elsewhere for a while. The
//! store's compare-and-swap decides; the version of the key is the epoch.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Action;
use crate::Fleet;
use crate::Member;
use crate::Ownership;
use crate::Shard;
use crate::StoreOutcome;
use crate::StoreRequest;
use crate::machine::Life;
use crate::shard::Holding;
use crate::shard::ShardEvent;
use crate::shard::ShardState;
use crate::tuning::CLAIM_INTERVAL;
use crate::tuning::MOVE_DELAY;
use crate::tuning::TAKEOVER_SILENCE;
use model::Epoch;
use model::Incarnation;
use model::ShardId;

/// Claims without an outcome at one time.
const MAX_CLAIMS: usize = 4;

impl Fleet {
    /// Learns which shards exist.
    pub(crate) fn take_shards(&mut self, shards: Vec<Shard>, out: &mut Vec<Action>) {
        self.shards = shards.into_iter().map(|shard| (shard.id.clone(), shard)).collect();
        let held = self.holdings.keys().filter(|shard| !self.shards.contains_key(*shard));
        let surplus: Vec<ShardId> = held.cloned().collect();
        for shard in surplus {
            self.release(&shard, out);
        }
    }

    /// Learns who owns a shard.
    pub(crate) fn merge_owner(&mut self, ownership: &Ownership, out: &mut Vec<Action>) {
        if !self.view.merge_owner(ownership, self.now) {
            return;
        }
        let lost = self.holdings.get(&ownership.shard).and_then(|holding| holding.owned());
        if let Some(epoch) = lost.filter(|epoch| ownership.epoch >= *epoch) {
            self.disown(&ownership.shard, epoch, ShardEvent::Refused, out);
        }
        if self.is_relay() {
            self.hurry();
        }
    }

    /// Learns that a shard's key was deleted at store revision `version`.
    pub(crate) fn lapse_owner(&mut self, shard: &ShardId, version: Epoch, out: &mut Vec<Action>) {
        let lost = self.holdings.get(shard).and_then(|holding| holding.owned());
        if let Some(epoch) = lost.filter(|epoch| *epoch < version) {
            self.disown(shard, epoch, ShardEvent::Refused, out);
        }
        if self.view.lapse_owner(shard, version, self.now) && self.is_relay() {
            self.hurry();
        }
    }

    /// Compares the listed keys of shards with the view as it was when they were listed.
    pub(crate) fn see_owners(&mut self, owners: &[Ownership], change: u64, out: &mut Vec<Action>) {
        for ownership in owners {
            self.merge_owner(ownership, out);
            self.note_key(ownership);
        }
        let listed = |shard: &ShardId| owners.iter().any(|o| o.shard == *shard);
        let absent = self.view.owners.values().filter(|o| o.touched <= change && o.key.is_some());
        let absent: Vec<Ownership> =
            absent.map(|o| o.ownership.clone()).filter(|o| !listed(&o.shard)).collect();
        for ownership in absent {
            self.lapse_owner(&ownership.shard, Epoch(ownership.epoch.0 + 1), out);
        }
    }

    /// Records that a shard's key is there, also if its owner has let go of it.
    fn note_key(&mut self, ownership: &Ownership) {
        let owner = self.view.owners.get_mut(&ownership.shard);
        if let Some(owner) = owner.filter(|owner| owner.ownership.epoch == ownership.epoch) {
            owner.key = Some(ownership.epoch);
        }
    }

    fn disown(&mut self, shard: &ShardId, epoch: Epoch, event: ShardEvent, out: &mut Vec<Action>) {
        if let Some(holding) = self.holdings.get_mut(shard) {
            holding.advance(event);
            out.push(Action::Disown { shard: shard.clone(), epoch });
            self.let_go(shard, epoch);
        }
    }

    /// Tells the others that we no longer decide in this epoch.
    fn let_go(&mut self, shard: &ShardId, epoch: Epoch) {
        let owner = self.me.incarnation;
        let released = Ownership { shard: shard.clone(), epoch, released: true, owner };
        let key = self.view.owners.get(shard).and_then(|owner| owner.key);
        if self.view.merge_owner(&released, self.now) {
            if let Some(owner) = self.view.owners.get_mut(shard) {
                owner.key = key;
            }
            self.hurry();
        }
    }

    /// Lets go of shards whose key names this member although it does not hold them, as after a
    /// claim whose answer was lost.
    fn let_go_of_strays(&mut self) {
        let me = self.me.incarnation;
        let named = self.view.owners.values().map(|owner| &owner.ownership);
        let stray = |o: &&Ownership| {
            let state = self.holdings.get(&o.shard).map_or(ShardState::Free, Holding::state);
            o.owner == me && !o.released && state == ShardState::Free
        };
        let strays: Vec<Ownership> = named.filter(stray).cloned().collect();
        for ownership in strays {
            self.let_go(&ownership.shard, ownership.epoch);
        }
    }

    /// Stops to decide for every shard, at once.
    pub(crate) fn disown_all(&mut self, out: &mut Vec<Action>) {
        let shards: Vec<ShardId> = self.holdings.keys().cloned().collect();
        for shard in shards {
            let Some(holding) = self.holdings.get_mut(&shard) else { continue };
            match (holding.state(), holding.owned()) {
                (_, Some(epoch)) => self.disown(&shard, epoch, ShardEvent::Lapse, out),
                (ShardState::Free, _) => {}
                _ => holding.advance(ShardEvent::Lapse),
            }
        }
    }

    /// Lets go of every shard and deletes its key.
    pub(crate) fn release_all(&mut self, out: &mut Vec<Action>) {
        let shards: Vec<ShardId> = self.holdings.keys().cloned().collect();
        for shard in shards {
            self.release(&shard, out);
        }
    }

    fn release(&mut self, shard: &ShardId, out: &mut Vec<Action>) {
        let Some(epoch) = self.holdings.get(shard).and_then(|holding| holding.owned()) else {
            return;
        };
        self.disown(shard, epoch, ShardEvent::Release, out);
        self.delete_key(shard, epoch, out);
    }

    fn delete_key(&mut self, shard: &ShardId, epoch: Epoch, out: &mut Vec<Action>) {
        let called = self.call(StoreRequest::Release { shard: shard.clone(), epoch }, out);
        if let Some(holding) = self.holdings.get_mut(shard).filter(|_| !called) {
            // The key stays until the next owner takes it over.
            holding.advance(ShardEvent::Released);
        }
    }

    /// Claims what is placed here and free; releases what is better placed elsewhere.
    pub(crate) fn run_shards(&mut self, out: &mut Vec<Action>) {
        if self.life != Life::Serving || self.lease.is_none() {
            return;
        }
        self.let_go_of_strays();
        let placement = self.placement();
        let shards: Vec<ShardId> = self.shards.keys().cloned().collect();
        for shard in shards {
            let mine = placement.get(&shard) == Some(&self.me.incarnation);
            let state = self.holdings.entry(shard.clone()).or_default().state();
            match state {
                ShardState::Owned => self.weigh(&shard, mine, out),
                ShardState::Free if mine => self.try_claim(&shard, out),
                _ => {}
            }
        }
    }

    fn weigh(&mut self, shard: &ShardId, mine: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(holding) = self.holdings.get_mut(shard) else { return };
        if mine {
            holding.surplus = None;
            return;
        }
        let since = *holding.surplus.get_or_insert(now);
        if now.since(since) >= MOVE_DELAY {
            self.release(shard, out);
        }
    }

    fn try_claim(&mut self, shard: &ShardId, out: &mut Vec<Action>) {
        let claims = self.holdings.values().filter(|h| h.state() == ShardState::Claiming).count();
        let Some(expect) = self.claimable(shard) else { return };
        let Some(term) = self.lease.map(|lease| lease.term) else { return };
        if claims >= MAX_CLAIMS || self.holdings[shard].retry > self.now {
            return;
        }
        if self.call(StoreRequest::Claim { shard: shard.clone(), expect }, out) {
            let retry = self.now + self.jittered(CLAIM_INTERVAL, 0.3);
            if let Some(holding) = self.holdings.get_mut(shard) {
                holding.advance(ShardEvent::Claim);
                holding.retry = retry;
                holding.term = term;
            }
        }
    }

    /// The version that a claim has to expect, if the shard may be claimed at all.
    fn claimable(&self, shard: &ShardId) -> Option<Option<Epoch>> {
        let Some(known) = self.view.owners.get(shard) else { return Some(None) };
        let ownership = &known.ownership;
        if ownership.released || ownership.owner == self.me.incarnation {
            return Some(known.key);
        }
        let silent = match self.view.members.get(&ownership.owner) {
            Some(peer) if peer.is_gone() => true,
            Some(peer) if peer.reachable => false,
            Some(peer) => self.now.since(peer.since.max(known.learned)) >= TAKEOVER_SILENCE,
            None => self.now.since(known.learned) >= TAKEOVER_SILENCE,
        };
        silent.then_some(known.key)
    }

    /// Takes the outcome of a claim.
    pub(crate) fn take_claim(
        &mut self,
        shard: &ShardId,
        outcome: StoreOutcome,
        out: &mut Vec<Action>,
    ) {
        let me = self.me.incarnation;
        let term = self.lease.map(|lease| lease.term);
        match outcome {
            StoreOutcome::Won { epoch } => {
                let mine = Ownership { shard: shard.clone(), epoch, released: false, owner: me };
                self.merge_owner(&mine, out);
                self.win(shard, epoch, term, out);
            }
            StoreOutcome::Held(ownership) => {
                self.merge_owner(&ownership, out);
                self.note_key(&ownership);
                self.refuse(shard);
            }
            StoreOutcome::Absent => {
                if let Some(owner) = self.view.owners.get_mut(shard) {
                    owner.key = None;
                }
                self.refuse(shard);
            }
            _ => self.refuse(shard),
        }
    }

    fn win(&mut self, shard: &ShardId, epoch: Epoch, term: Option<u64>, out: &mut Vec<Action>) {
        let known = self.view.owners.get(shard).map(|owner| owner.ownership.clone());
        let newest = known.is_some_and(|o| o.epoch == epoch && !o.released);
        let Some(holding) = self.holdings.get_mut(shard) else { return };
        if holding.state() != ShardState::Claiming {
            return;
        }
        // A claim under a lease that has lapsed since left a key that vanishes or already has.
        if !newest || term != Some(holding.term) || self.life != Life::Serving {
            holding.advance(ShardEvent::Refused);
            return;
        }
        holding.win(epoch);
        out.push(Action::Own { shard: shard.clone(), epoch });
        self.hurry();
    }

    fn refuse(&mut self, shard: &ShardId) {
        let holding = self.holdings.get_mut(shard);
        if let Some(holding) = holding.filter(|h| h.state() == ShardState::Claiming) {
            holding.advance(ShardEvent::Refused);
        }
    }

    /// Takes the outcome of a release.
    pub(crate) fn take_release(&mut self, shard: &ShardId, outcome: &StoreOutcome) {
        let absent = matches!(outcome, StoreOutcome::Done | StoreOutcome::Absent);
        if let Some(owner) = self.view.owners.get_mut(shard).filter(|_| absent) {
            owner.key = None;
        }
        let holding = self.holdings.get_mut(shard);
        if let Some(holding) = holding.filter(|h| h.state() == ShardState::Releasing) {
            holding.advance(ShardEvent::Released);
        }
    }

    /// Where each shard belongs, by this member's view.
    fn placement(&self) -> BTreeMap<ShardId, Incarnation> {
        let mut groups: BTreeMap<Vec<Incarnation>, Vec<&Shard>> = BTreeMap::new();
        for shard in self.shards.values() {
            groups.entry(self.candidates(shard)).or_default().push(shard);
        }
        let mut placement = BTreeMap::new();
        for (candidates, shards) in groups {
            if !candidates.is_empty() {
                self.place(&candidates, &shards, &mut placement);
            }
        }
        placement
    }

    /// Members that may own a shard: of its zone, else of its region, else all.
    fn candidates(&self, shard: &Shard) -> Vec<Incarnation> {
        let zone = self.eligible(|member| member.zone == shard.zone);
        if !zone.is_empty() {
            return zone;
        }
        let region = self.eligible(|member| member.region == shard.region);
        if region.is_empty() { self.eligible(|_| true) } else { region }
    }

    fn eligible(&self, fits: impl Fn(&Member) -> bool) -> Vec<Incarnation> {
        let members = self.view.members.values().filter(|p| p.is_eligible());
        members.filter(|p| fits(&p.member)).map(|p| p.member.incarnation).collect()
    }

    fn place(
        &self,
        candidates: &[Incarnation],
        shards: &[&Shard],
        placement: &mut BTreeMap<ShardId, Incarnation>,
    ) {
        let most = shards.len().div_ceil(candidates.len());
        let mut loads: BTreeMap<Incarnation, usize> =
            candidates.iter().map(|candidate| (*candidate, 0)).collect();
        let mut open = Vec::new();
        for shard in shards {
            let owner = self.view.owners.get(&shard.id).map(|owner| owner.ownership.owner);
            match owner.and_then(|owner| loads.get_mut(&owner).map(|load| (owner, load))) {
                Some((owner, load)) if *load < most => {
                    *load += 1;
                    placement.insert(shard.id.clone(), owner);
                }
                _ => open.push(shard),
            }
        }
        for shard in open {
            let rank = |candidate: Incarnation| {
                xxh3_64_with_seed(shard.id.as_str().as_bytes(), candidate.0)
            };
            let best = loads.iter_mut().min_by_key(|(c, load)| (**load, rank(**c)));
            if let Some((candidate, load)) = best {
                *load += 1;
                placement.insert(shard.id.clone(), *candidate);
            }
        }
    }
}
