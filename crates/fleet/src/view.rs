//! View of one entry VM: members, owners of shards, and reports about availability zones.
//!
//! Every part grows monotonically in its own order (phases, epochs, sequence numbers), so views
//! that exchange their changes converge despite reordering, loss and duplication.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Member;
use crate::MemberState;
use crate::Ownership;
use crate::Phase;
use crate::ViewUpdate;
use crate::ZoneKeepalive;
use crate::ZoneRoster;
use crate::member::MEMBER;
use crate::member::MemberEvent;
use crate::tuning::MAX_VIEW_UPDATES;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;
use model::Time;
use model::ZoneId;

/// A member and the evidence about it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    pub(crate) state: MemberState,
    pub(crate) phase: Phase,
    /// When this entry VM last received a message from it.
    pub(crate) last_heard: Option<Time>,
    /// When another member last heard it, as far as reported.
    pub(crate) last_relayed: Option<Time>,
    /// Whether the relay of its availability zone reports it as not heard.
    pub(crate) reported_silent: bool,
    /// Whether this entry VM considers it reachable.
    pub(crate) reachable: bool,
    /// When `reachable` last changed.
    pub(crate) reachability_since: Time,
    /// When it became known.
    pub(crate) learned_at: Time,
    /// Whether its key has been seen in the store.
    pub(crate) key_seen: bool,
    /// Whether its key has been seen and is no longer in the store.
    pub(crate) key_lapsed: bool,
    /// Whether its VM has appeared in the VM list.
    pub(crate) vm_listed: bool,
    /// Whether its VM has appeared in the VM list and is no longer there.
    pub(crate) vm_dropped: bool,
    /// Whether the VM list marks its VM as leaving.
    pub(crate) vm_leaving: bool,
    /// Highest revision that it is known to have in force.
    pub(crate) revision: Revision,
    changed_in: u64,
}

impl Peer {
    fn new(member: Member, now: Time) -> Peer {
        Peer {
            member,
            state: MEMBER.initial(),
            phase: Phase::Serving,
            last_heard: None,
            last_relayed: None,
            reported_silent: false,
            reachable: false,
            reachability_since: now,
            learned_at: now,
            key_seen: false,
            key_lapsed: false,
            vm_listed: false,
            vm_dropped: false,
            vm_leaving: false,
            revision: Revision(0),
            changed_in: 0,
        }
    }

    /// When any member last heard it; `None` if none did.
    pub(crate) fn last_contact(&self) -> Option<Time> {
        self.last_heard.max(self.last_relayed)
    }

    /// Whether it may act as relay or own shards: reachable and neither leaving nor about to.
    pub(crate) fn is_eligible(&self) -> bool {
        self.reachable && self.phase == Phase::Serving && !self.vm_leaving
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.state == MemberState::Gone
    }

    pub(crate) fn advance(&mut self, event: MemberEvent) {
        MEMBER.advance(&mut self.state, event);
    }
}

/// Owner of a shard and the presumed version of the shard's key in the store.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub(crate) ownership: Ownership,
    /// Version of the key; `None` if the key is presumed absent.
    pub(crate) key_version: Option<Epoch>,
    /// When this ownership became known.
    pub(crate) learned_at: Time,
    pub(crate) changed_in: u64,
}

/// Report of an availability zone's relay.
#[derive(Clone, Debug)]
pub(crate) struct ZoneReport<T> {
    pub(crate) content: T,
    /// When it became known.
    pub(crate) learned_at: Time,
    changed_in: u64,
}

/// Everything one entry VM knows about the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) members: BTreeMap<Incarnation, Peer>,
    pub(crate) owners: BTreeMap<ShardId, Owner>,
    pub(crate) rosters: BTreeMap<ZoneId, ZoneReport<ZoneRoster>>,
    pub(crate) keepalives: BTreeMap<ZoneId, ZoneReport<ZoneKeepalive>>,
    /// Number of the latest change; 0 if there was none.
    pub(crate) last_change: u64,
}

impl View {
    fn next_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    /// Merges a member that has reached at least `phase`. Returns whether the view changed.
    pub(crate) fn merge_member(&mut self, member: &Member, phase: Phase, now: Time) -> bool {
        let known = self.members.get(&member.incarnation).map(|peer| peer.phase);
        if known.is_some_and(|known| known >= phase) {
            return false;
        }
        let changed_in = self.next_change();
        let peer = self.members.entry(member.incarnation);
        let peer = peer.or_insert_with(|| Peer::new(member.clone(), now));
        peer.phase = phase;
        peer.changed_in = changed_in;
        true
    }

    /// Merges an ownership. Returns whether the view changed.
    pub(crate) fn merge_owner(&mut self, ownership: &Ownership, now: Time) -> bool {
        let order = |o: &Ownership| (o.epoch, o.released);
        let known = self.owners.get(&ownership.shard);
        if known.is_some_and(|known| order(&known.ownership) >= order(ownership)) {
            return false;
        }
        if let Some(known) = known {
            assert!(
                known.ownership.epoch < ownership.epoch || known.ownership.owner == ownership.owner,
                "shard {} has two owners in epoch {}",
                ownership.shard,
                ownership.epoch
            );
        }
        let key_version = (!ownership.released).then_some(ownership.epoch);
        let changed_in = self.next_change();
        let owner =
            Owner { ownership: ownership.clone(), key_version, learned_at: now, changed_in };
        self.owners.insert(ownership.shard.clone(), owner);
        true
    }

    /// Marks a shard's ownership up to `epoch` as released because its key is gone. Returns whether
    /// the view changed.
    pub(crate) fn lapse_owner(&mut self, shard: &ShardId, epoch: Epoch, now: Time) -> bool {
        let Some(known) = self.owners.get_mut(shard).filter(|o| o.ownership.epoch <= epoch) else {
            return false;
        };
        known.key_version = None;
        let released = Ownership { released: true, ..known.ownership.clone() };
        self.merge_owner(&released, now)
    }

    /// Merges the roster of an availability zone. Returns whether the view changed.
    pub(crate) fn merge_roster(&mut self, roster: &ZoneRoster, now: Time) -> bool {
        let order = |r: &ZoneRoster| (r.seq, r.relay);
        let known = self.rosters.get(&roster.zone);
        if known.is_some_and(|known| order(&known.content) >= order(roster)) {
            return false;
        }
        let report =
            ZoneReport { content: roster.clone(), learned_at: now, changed_in: self.next_change() };
        self.rosters.insert(roster.zone.clone(), report);
        true
    }

    /// Merges the keepalive of an availability zone. Returns whether the view changed.
    pub(crate) fn merge_keepalive(&mut self, keepalive: &ZoneKeepalive, now: Time) -> bool {
        let known = self.keepalives.get(&keepalive.zone);
        if known.is_some_and(|known| known.content.seq >= keepalive.seq) {
            return false;
        }
        let report = ZoneReport {
            content: keepalive.clone(),
            learned_at: now,
            changed_in: self.next_change(),
        };
        self.keepalives.insert(keepalive.zone.clone(), report);
        true
    }

    /// Changes after number `from`, oldest first, and the number of the last one covered. Only a
    /// relay forwards reports of availability zones.
    pub(crate) fn updates_after(&self, from: u64, is_relay: bool) -> (Vec<ViewUpdate>, u64) {
        if from >= self.last_change {
            return (Vec::new(), self.last_change);
        }
        let members = self.members.values().filter(|peer| peer.changed_in > from).map(|peer| {
            let update = ViewUpdate::Member { member: peer.member.clone(), phase: peer.phase };
            (peer.changed_in, update)
        });
        let owners = self.owners.values().filter(|owner| owner.changed_in > from);
        let owners =
            owners.map(|owner| (owner.changed_in, ViewUpdate::Owner(owner.ownership.clone())));
        let rosters = self.rosters.values().filter(|roster| is_relay && roster.changed_in > from);
        let rosters =
            rosters.map(|roster| (roster.changed_in, ViewUpdate::Roster(roster.content.clone())));
        let keepalives =
            self.keepalives.values().filter(|keepalive| is_relay && keepalive.changed_in > from);
        let keepalives = keepalives.map(|keepalive| {
            (keepalive.changed_in, ViewUpdate::Keepalive(keepalive.content.clone()))
        });
        let reports = rosters.chain(keepalives);
        let mut changes: Vec<(u64, ViewUpdate)> = members.chain(owners).chain(reports).collect();
        changes.sort_by_key(|change| change.0);
        let end = match changes.get(MAX_VIEW_UPDATES) {
            Some(_) => changes[MAX_VIEW_UPDATES - 1].0,
            None => self.last_change,
        };
        changes.truncate(MAX_VIEW_UPDATES);
        (changes.into_iter().map(|change| change.1).collect(), end)
    }

    /// Relay among the members that `belongs` selects: the eligible one with the lowest
    /// incarnation.
    pub(crate) fn relay(&self, belongs: impl Fn(&Member) -> bool) -> Option<Incarnation> {
        let mut members = self.members.values().filter(|peer| belongs(&peer.member));
        members.find(|peer| peer.is_eligible()).map(|peer| peer.member.incarnation)
    }

    /// Number of members that are not gone, and number of their availability zones.
    pub(crate) fn member_and_zone_counts(&self) -> (usize, usize) {
        let present = || self.members.values().filter(|peer| !peer.is_gone());
        let zones: BTreeSet<&ZoneId> = present().map(|peer| &peer.member.zone).collect();
        (present().count(), zones.len())
    }
}
