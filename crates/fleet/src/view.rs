//! What one entry VM knows of the others: members, owners of shards, reports of zones.
//!
//! Every part only grows in its own order (phases, epochs, report numbers), so views that exchange
//! their changes in any order, with losses and repeats, end up equal.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Member;
use crate::MemberState;
use crate::News;
use crate::Ownership;
use crate::Phase;
use crate::ZonePulse;
use crate::ZoneRoll;
use crate::member::MEMBER;
use crate::member::MemberEvent;
use crate::tuning::MAX_NEWS;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;
use model::Time;
use model::ZoneId;

/// One member and the evidence about it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    pub(crate) state: MemberState,
    pub(crate) phase: Phase,
    /// Last message from it.
    pub(crate) heard: Option<Time>,
    /// Last time that another member heard it.
    pub(crate) relayed: Option<Time>,
    /// Whether its own availability zone reports it as silent.
    pub(crate) denied: bool,
    /// Whether this entry VM counts it as within reach.
    pub(crate) reachable: bool,
    /// Since when `reachable` has had its value.
    pub(crate) since: Time,
    /// When it was first known.
    pub(crate) learned: Time,
    /// Whether the store has shown its key.
    pub(crate) stored: bool,
    /// Whether the store has shown that its key is gone.
    pub(crate) lapsed: bool,
    /// Whether the VM list has shown its VM.
    pub(crate) listed: bool,
    /// Whether the VM list no longer shows its VM.
    pub(crate) dropped: bool,
    /// Whether the VM list shows its VM as leaving.
    pub(crate) hinted: bool,
    /// Highest revision that it is known to have in force.
    pub(crate) revision: Revision,
    touched: u64,
}

impl Peer {
    fn new(member: Member, now: Time) -> Peer {
        Peer {
            member,
            state: MEMBER.initial(),
            phase: Phase::Serving,
            heard: None,
            relayed: None,
            denied: false,
            reachable: false,
            since: now,
            learned: now,
            stored: false,
            lapsed: false,
            listed: false,
            dropped: false,
            hinted: false,
            revision: Revision(0),
            touched: 0,
        }
    }

    /// Last time that anybody heard it.
    pub(crate) fn last(&self) -> Option<Time> {
        self.heard.max(self.relayed)
    }

    /// Whether it may relay or own: within reach, and not about to leave.
    pub(crate) fn is_eligible(&self) -> bool {
        self.reachable && self.phase == Phase::Serving && !self.hinted
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.state == MemberState::Gone
    }

    pub(crate) fn advance(&mut self, event: MemberEvent) {
        MEMBER.advance(&mut self.state, event);
    }
}

/// Who owns a shard, and what the store's key is believed to be.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub(crate) ownership: Ownership,
    /// Version of the key, or nothing if it is believed absent.
    pub(crate) key: Option<Epoch>,
    /// When this ownership became known.
    pub(crate) learned: Time,
    pub(crate) touched: u64,
}

/// What the relay of an availability zone says.
#[derive(Clone, Debug)]
pub(crate) struct Report<T> {
    pub(crate) content: T,
    /// When it became known.
    pub(crate) learned: Time,
    touched: u64,
}

/// What one entry VM knows of the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) members: BTreeMap<Incarnation, Peer>,
    pub(crate) owners: BTreeMap<ShardId, Owner>,
    pub(crate) rolls: BTreeMap<ZoneId, Report<ZoneRoll>>,
    pub(crate) pulses: BTreeMap<ZoneId, Report<ZonePulse>>,
    /// Number of changes so far.
    pub(crate) change: u64,
}

impl View {
    fn touch(&mut self) -> u64 {
        self.change += 1;
        self.change
    }

    /// Learns of a member, in at least this phase. Tells whether that was new.
    pub(crate) fn merge_member(&mut self, member: &Member, phase: Phase, now: Time) -> bool {
        let known = self.members.get(&member.incarnation).map(|peer| peer.phase);
        if known.is_some_and(|known| known >= phase) {
            return false;
        }
        let touched = self.touch();
        let peer = self.members.entry(member.incarnation);
        let peer = peer.or_insert_with(|| Peer::new(member.clone(), now));
        peer.phase = phase;
        peer.touched = touched;
        true
    }

    /// Learns of an ownership. Tells whether that was new.
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
        let key = (!ownership.released).then_some(ownership.epoch);
        let touched = self.touch();
        let owner = Owner { ownership: ownership.clone(), key, learned: now, touched };
        self.owners.insert(ownership.shard.clone(), owner);
        true
    }

    /// Learns that a shard's key was gone after `epoch`.
    pub(crate) fn lapse_owner(&mut self, shard: &ShardId, epoch: Epoch, now: Time) -> bool {
        let Some(known) = self.owners.get_mut(shard).filter(|o| o.ownership.epoch <= epoch) else {
            return false;
        };
        known.key = None;
        let released = Ownership { released: true, ..known.ownership.clone() };
        self.merge_owner(&released, now)
    }

    /// Learns of a zone's roll. Tells whether it was new.
    pub(crate) fn merge_roll(&mut self, roll: &ZoneRoll, now: Time) -> bool {
        let order = |r: &ZoneRoll| (r.seq, r.relay);
        let known = self.rolls.get(&roll.zone);
        if known.is_some_and(|known| order(&known.content) >= order(roll)) {
            return false;
        }
        let report = Report { content: roll.clone(), learned: now, touched: self.touch() };
        self.rolls.insert(roll.zone.clone(), report);
        true
    }

    /// Learns of a zone's pulse. Tells whether it was new.
    pub(crate) fn merge_pulse(&mut self, pulse: &ZonePulse, now: Time) -> bool {
        let known = self.pulses.get(&pulse.zone);
        if known.is_some_and(|known| known.content.seq >= pulse.seq) {
            return false;
        }
        let report = Report { content: pulse.clone(), learned: now, touched: self.touch() };
        self.pulses.insert(pulse.zone.clone(), report);
        true
    }

    /// Changes after `from`, oldest first, and the position that they reach. Only a relay passes
    /// on what the relays of zones say.
    pub(crate) fn news(&self, from: u64, relays: bool) -> (Vec<News>, u64) {
        if from >= self.change {
            return (Vec::new(), self.change);
        }
        let members = self.members.values().filter(|peer| peer.touched > from).map(|peer| {
            let news = News::Member { member: peer.member.clone(), phase: peer.phase };
            (peer.touched, news)
        });
        let owners = self.owners.values().filter(|owner| owner.touched > from);
        let owners = owners.map(|owner| (owner.touched, News::Owner(owner.ownership.clone())));
        let rolls = self.rolls.values().filter(|roll| relays && roll.touched > from);
        let rolls = rolls.map(|roll| (roll.touched, News::Roll(roll.content.clone())));
        let pulses = self.pulses.values().filter(|pulse| relays && pulse.touched > from);
        let pulses = pulses.map(|pulse| (pulse.touched, News::Pulse(pulse.content.clone())));
        let reports = rolls.chain(pulses);
        let mut changes: Vec<(u64, News)> = members.chain(owners).chain(reports).collect();
        changes.sort_by_key(|change| change.0);
        let upto = match changes.get(MAX_NEWS) {
            Some(_) => changes[MAX_NEWS - 1].0,
            None => self.change,
        };
        changes.truncate(MAX_NEWS);
        (changes.into_iter().map(|change| change.1).collect(), upto)
    }

    /// The relay of the members that `belongs` selects: the lowest that is eligible.
    pub(crate) fn relay(&self, belongs: impl Fn(&Member) -> bool) -> Option<Incarnation> {
        let mut members = self.members.values().filter(|peer| belongs(&peer.member));
        members.find(|peer| peer.is_eligible()).map(|peer| peer.member.incarnation)
    }

    /// Number of members that are not gone, and of their availability zones.
    pub(crate) fn size(&self) -> (usize, usize) {
        let present = || self.members.values().filter(|peer| !peer.is_gone());
        let zones: BTreeSet<&ZoneId> = present().map(|peer| &peer.member.zone).collect();
        (present().count(), zones.len())
    }
}
