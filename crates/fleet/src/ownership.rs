//! Shard ownership of this entry VM.
//!
//! Every member computes the same assignment from its view: a shard stays with an owner that is
//! still a candidate and not overloaded, and every other shard goes to the least loaded candidate.
//! A member claims free shards that are assigned to it, and releases a shard that has been assigned
//! elsewhere for [`MOVE_DELAY`]. The store's compare-and-swap decides between competing claims; the
//! version of the key is the epoch.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Action;
use crate::Fleet;
use crate::Member;
use crate::Ownership;
use crate::Shard;
use crate::StoreOutcome;
use crate::StoreRequest;
use crate::machine::Lifecycle;
use crate::shard::LocalShard;
use crate::shard::ShardEvent;
use crate::shard::ShardState;
use crate::tuning::CLAIM_INTERVAL;
use crate::tuning::MOVE_DELAY;
use crate::tuning::TAKEOVER_DELAY;
use model::Epoch;
use model::Incarnation;
use model::ShardId;

/// Maximum number of claims pending at a time.
const MAX_PENDING_CLAIMS: usize = 4;

impl Fleet {
    /// Updates the set of existing shards and releases those that no longer exist.
    pub(crate) fn update_shards(&mut self, shards: Vec<Shard>, out: &mut Vec<Action>) {
        self.shards = shards.into_iter().map(|shard| (shard.id.clone(), shard)).collect();
        let held = self.local_shards.keys().filter(|shard| !self.shards.contains_key(*shard));
        let surplus: Vec<ShardId> = held.cloned().collect();
        for shard in surplus {
            self.release(&shard, out);
        }
    }

    /// Merges the ownership of a shard, and gives the shard up if ours is superseded.
    pub(crate) fn merge_owner(&mut self, ownership: &Ownership, out: &mut Vec<Action>) {
        if !self.view.merge_owner(ownership, self.now) {
            return;
        }
        let lost = self.local_shards.get(&ownership.shard).and_then(|local| local.owned_epoch());
        if let Some(epoch) = lost.filter(|epoch| ownership.epoch >= *epoch) {
            self.disown(&ownership.shard, epoch, ShardEvent::Refused, out);
        }
        if self.is_relay() {
            self.schedule_view_flush();
        }
    }

    /// Handles the deletion of a shard's key at store revision `version`.
    pub(crate) fn lapse_owner(&mut self, shard: &ShardId, version: Epoch, out: &mut Vec<Action>) {
        let lost = self.local_shards.get(shard).and_then(|local| local.owned_epoch());
        if let Some(epoch) = lost.filter(|epoch| *epoch < version) {
            self.disown(shard, epoch, ShardEvent::Refused, out);
        }
        if self.view.lapse_owner(shard, version, self.now) && self.is_relay() {
            self.schedule_view_flush();
        }
    }

    /// Merges listed shard keys. A key that is missing from the listing has lapsed, unless the
    /// ownership changed after `view_change`, the view's latest change when the listing was
    /// requested.
    pub(crate) fn reconcile_owner_listing(
        &mut self,
        owners: &[Ownership],
        view_change: u64,
        out: &mut Vec<Action>,
    ) {
        for ownership in owners {
            self.merge_owner(ownership, out);
            self.record_key(ownership);
        }
        let listed = |shard: &ShardId| owners.iter().any(|o| o.shard == *shard);
        let absent = self
            .view
            .owners
            .values()
            .filter(|o| o.changed_in <= view_change && o.key_version.is_some());
        let absent: Vec<Ownership> =
            absent.map(|o| o.ownership.clone()).filter(|o| !listed(&o.shard)).collect();
        for ownership in absent {
            self.lapse_owner(&ownership.shard, Epoch(ownership.epoch.0 + 1), out);
        }
    }

    /// Records that a shard's key exists in the store, even if its owner has released the shard.
    fn record_key(&mut self, ownership: &Ownership) {
        let owner = self.view.owners.get_mut(&ownership.shard);
        if let Some(owner) = owner.filter(|owner| owner.ownership.epoch == ownership.epoch) {
            owner.key_version = Some(ownership.epoch);
        }
    }

    fn disown(&mut self, shard: &ShardId, epoch: Epoch, event: ShardEvent, out: &mut Vec<Action>) {
        if let Some(local) = self.local_shards.get_mut(shard) {
            local.advance(event);
            out.push(Action::Disown { shard: shard.clone(), epoch });
            self.announce_release(shard, epoch);
        }
    }

    /// Announces to the other members that this member no longer decides in this epoch.
    fn announce_release(&mut self, shard: &ShardId, epoch: Epoch) {
        let owner = self.me.incarnation;
        let released = Ownership { shard: shard.clone(), epoch, released: true, owner };
        let key_version = self.view.owners.get(shard).and_then(|owner| owner.key_version);
        if self.view.merge_owner(&released, self.now) {
            if let Some(owner) = self.view.owners.get_mut(shard) {
                owner.key_version = key_version;
            }
            self.schedule_view_flush();
        }
    }

    /// Announces the release of shards whose key names this member although it does not own them,
    /// for example after a claim whose answer was lost.
    fn release_stray_ownerships(&mut self) {
        let me = self.me.incarnation;
        let named = self.view.owners.values().map(|owner| &owner.ownership);
        let stray = |o: &&Ownership| {
            let state = self.local_shards.get(&o.shard).map_or(ShardState::Free, LocalShard::state);
            o.owner == me && !o.released && state == ShardState::Free
        };
        let stray_ownerships: Vec<Ownership> = named.filter(stray).cloned().collect();
        for ownership in stray_ownerships {
            self.announce_release(&ownership.shard, ownership.epoch);
        }
    }

    /// Immediately stops deciding for all shards.
    pub(crate) fn disown_all(&mut self, out: &mut Vec<Action>) {
        let shards: Vec<ShardId> = self.local_shards.keys().cloned().collect();
        for shard in shards {
            let Some(local) = self.local_shards.get_mut(&shard) else { continue };
            match (local.state(), local.owned_epoch()) {
                (_, Some(epoch)) => self.disown(&shard, epoch, ShardEvent::Lapse, out),
                (ShardState::Free, _) => {}
                _ => local.advance(ShardEvent::Lapse),
            }
        }
    }

    /// Releases all owned shards and deletes their keys.
    pub(crate) fn release_all(&mut self, out: &mut Vec<Action>) {
        let shards: Vec<ShardId> = self.local_shards.keys().cloned().collect();
        for shard in shards {
            self.release(&shard, out);
        }
    }

    fn release(&mut self, shard: &ShardId, out: &mut Vec<Action>) {
        let Some(epoch) = self.local_shards.get(shard).and_then(|local| local.owned_epoch()) else {
            return;
        };
        self.disown(shard, epoch, ShardEvent::Release, out);
        self.delete_key(shard, epoch, out);
    }

    fn delete_key(&mut self, shard: &ShardId, epoch: Epoch, out: &mut Vec<Action>) {
        let called = self.call(StoreRequest::Release { shard: shard.clone(), epoch }, out);
        if let Some(local) = self.local_shards.get_mut(shard).filter(|_| !called) {
            // The call was not started: the key remains until the next owner replaces it.
            local.advance(ShardEvent::Released);
        }
    }

    /// Claims free shards assigned to this member; releases shards assigned to another one.
    pub(crate) fn reconcile_shards(&mut self, out: &mut Vec<Action>) {
        if self.lifecycle != Lifecycle::Serving || self.lease.is_none() {
            return;
        }
        self.release_stray_ownerships();
        let placement = self.placement();
        let shards: Vec<ShardId> = self.shards.keys().cloned().collect();
        for shard in shards {
            let mine = placement.get(&shard) == Some(&self.me.incarnation);
            let state = self.local_shards.entry(shard.clone()).or_default().state();
            match state {
                ShardState::Owned => self.release_if_misplaced(&shard, mine, out),
                ShardState::Free if mine => self.try_claim(&shard, out),
                _ => {}
            }
        }
    }

    fn release_if_misplaced(&mut self, shard: &ShardId, mine: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(local) = self.local_shards.get_mut(shard) else { return };
        if mine {
            local.misplaced_since = None;
            return;
        }
        let since = *local.misplaced_since.get_or_insert(now);
        if now.since(since) >= MOVE_DELAY {
            self.release(shard, out);
        }
    }

    fn try_claim(&mut self, shard: &ShardId, out: &mut Vec<Action>) {
        let claims =
            self.local_shards.values().filter(|h| h.state() == ShardState::Claiming).count();
        let Some(expect) = self.claim_expectation(shard) else { return };
        let Some(term) = self.lease.map(|lease| lease.term) else { return };
        if claims >= MAX_PENDING_CLAIMS || self.local_shards[shard].retry_at > self.now {
            return;
        }
        if self.call(StoreRequest::Claim { shard: shard.clone(), expect }, out) {
            let retry_at = self.now + self.jittered(CLAIM_INTERVAL, 0.3);
            if let Some(local) = self.local_shards.get_mut(shard) {
                local.advance(ShardEvent::Claim);
                local.retry_at = retry_at;
                local.lease_term = term;
            }
        }
    }

    /// Key version that a claim must expect, where an inner `None` stands for an absent key. The
    /// outer `None` means that the shard must not be claimed now.
    fn claim_expectation(&self, shard: &ShardId) -> Option<Option<Epoch>> {
        let Some(known) = self.view.owners.get(shard) else { return Some(None) };
        let ownership = &known.ownership;
        if ownership.released || ownership.owner == self.me.incarnation {
            return Some(known.key_version);
        }
        let silent = match self.view.members.get(&ownership.owner) {
            Some(peer) if peer.is_gone() => true,
            Some(peer) if peer.reachable => false,
            Some(peer) => {
                self.now.since(peer.reachability_since.max(known.learned_at)) >= TAKEOVER_DELAY
            }
            None => self.now.since(known.learned_at) >= TAKEOVER_DELAY,
        };
        silent.then_some(known.key_version)
    }

    /// Handles the outcome of a claim.
    pub(crate) fn handle_claim(
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
                self.complete_claim(shard, epoch, term, out);
            }
            StoreOutcome::Held(ownership) => {
                self.merge_owner(&ownership, out);
                self.record_key(&ownership);
                self.refuse_claim(shard);
            }
            StoreOutcome::Absent => {
                if let Some(owner) = self.view.owners.get_mut(shard) {
                    owner.key_version = None;
                }
                self.refuse_claim(shard);
            }
            _ => self.refuse_claim(shard),
        }
    }

    fn complete_claim(
        &mut self,
        shard: &ShardId,
        epoch: Epoch,
        term: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let known = self.view.owners.get(shard).map(|owner| owner.ownership.clone());
        let newest = known.is_some_and(|o| o.epoch == epoch && !o.released);
        let Some(local) = self.local_shards.get_mut(shard) else { return };
        if local.state() != ShardState::Claiming {
            return;
        }
        // If the lease of the claim has lapsed since, the claimed key is deleted with that lease or
        // already has been.
        if !newest || term != Some(local.lease_term) || self.lifecycle != Lifecycle::Serving {
            local.advance(ShardEvent::Refused);
            return;
        }
        local.complete_claim(epoch);
        out.push(Action::Own { shard: shard.clone(), epoch });
        self.schedule_view_flush();
    }

    fn refuse_claim(&mut self, shard: &ShardId) {
        let local = self.local_shards.get_mut(shard);
        if let Some(local) = local.filter(|h| h.state() == ShardState::Claiming) {
            local.advance(ShardEvent::Refused);
        }
    }

    /// Handles the outcome of a release.
    pub(crate) fn handle_release(&mut self, shard: &ShardId, outcome: &StoreOutcome) {
        let absent = matches!(outcome, StoreOutcome::Done | StoreOutcome::Absent);
        if let Some(owner) = self.view.owners.get_mut(shard).filter(|_| absent) {
            owner.key_version = None;
        }
        let local = self.local_shards.get_mut(shard);
        if let Some(local) = local.filter(|h| h.state() == ShardState::Releasing) {
            local.advance(ShardEvent::Released);
        }
    }

    /// Assigns each shard to a member according to this member's view.
    fn placement(&self) -> BTreeMap<ShardId, Incarnation> {
        let mut groups: BTreeMap<Vec<Incarnation>, Vec<&Shard>> = BTreeMap::new();
        for shard in self.shards.values() {
            groups.entry(self.candidates(shard)).or_default().push(shard);
        }
        let mut placement = BTreeMap::new();
        for (candidates, shards) in groups {
            if !candidates.is_empty() {
                self.assign_shards(&candidates, &shards, &mut placement);
            }
        }
        placement
    }

    /// Members that may own a shard: those of its zone, else of its region, else all.
    fn candidates(&self, shard: &Shard) -> Vec<Incarnation> {
        let zone = self.eligible_members(|member| member.zone == shard.zone);
        if !zone.is_empty() {
            return zone;
        }
        let region = self.eligible_members(|member| member.region == shard.region);
        if region.is_empty() { self.eligible_members(|_| true) } else { region }
    }

    fn eligible_members(&self, fits: impl Fn(&Member) -> bool) -> Vec<Incarnation> {
        let members = self.view.members.values().filter(|p| p.is_eligible());
        members.filter(|p| fits(&p.member)).map(|p| p.member.incarnation).collect()
    }

    fn assign_shards(
        &self,
        candidates: &[Incarnation],
        shards: &[&Shard],
        placement: &mut BTreeMap<ShardId, Incarnation>,
    ) {
        let max_load = shards.len().div_ceil(candidates.len());
        let mut load_by_member: BTreeMap<Incarnation, usize> =
            candidates.iter().map(|candidate| (*candidate, 0)).collect();
        let mut open = Vec::new();
        for shard in shards {
            let owner = self.view.owners.get(&shard.id).map(|owner| owner.ownership.owner);
            match owner.and_then(|owner| load_by_member.get_mut(&owner).map(|load| (owner, load))) {
                Some((owner, load)) if *load < max_load => {
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
            let best = load_by_member.iter_mut().min_by_key(|(c, load)| (**load, rank(**c)));
            if let Some((candidate, load)) = best {
                *load += 1;
                placement.insert(shard.id.clone(), *candidate);
            }
        }
    }
}
