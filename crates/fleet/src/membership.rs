//! Who is within reach, who is leaving and who is gone.
//!
//! Silence makes a member unreachable, never gone. It is gone when it said so itself, or when it
//! is silent and one of three things is known besides: another process runs on its VM, the VM
//! list has dropped its VM, or its lease lapsed while a relay of its own availability zone heard
//! both the store and nothing from it.

use std::time::Duration;

use crate::Action;
use crate::Beat;
use crate::Fleet;
use crate::Member;
use crate::Message;
use crate::Phase;
use crate::Standing;
use crate::StoreRequest;
use crate::VmEntry;
use crate::ZonePulse;
use crate::ZoneRoll;
use crate::machine::Life;
use crate::member::MemberEvent;
use crate::tuning::FAR_SILENCE;
use crate::tuning::GONE_KEPT;
use crate::tuning::GONE_SILENCE;
use crate::tuning::NEAR_SILENCE;
use crate::tuning::PULSE_GAP;
use crate::tuning::PULSE_INTERVAL;
use crate::tuning::REPORT_GAP;
use crate::view::Peer;
use model::Incarnation;
use model::Revision;
use model::Time;
use model::ZoneId;

impl Fleet {
    /// Records a message from a member.
    pub(crate) fn hear(&mut self, from: Incarnation, revision: Revision, out: &mut Vec<Action>) {
        let Some(peer) = self.view.members.get_mut(&from) else { return };
        peer.heard = Some(self.now);
        peer.revision = peer.revision.max(revision);
        self.judge(from, out);
    }

    /// Records whom a member of the same availability zone hears.
    pub(crate) fn take_hearings(&mut self, beat: &Beat) {
        for hearing in &beat.hears {
            let Some(peer) = self.view.members.get_mut(&hearing.incarnation) else { continue };
            let at = self.now - Duration::from_millis(u64::from(hearing.age));
            peer.relayed = peer.relayed.max(Some(at));
            peer.revision = peer.revision.max(hearing.revision);
        }
    }

    /// Records who is heard in an availability zone.
    pub(crate) fn take_roll(&mut self, roll: &ZoneRoll) {
        if !self.view.merge_roll(roll, self.now) {
            return;
        }
        if self.is_relay() {
            self.hurry();
        }
        self.believe(&roll.zone);
    }

    /// Records that the roll of an availability zone still holds.
    pub(crate) fn take_pulse(&mut self, pulse: &ZonePulse) {
        if self.view.merge_pulse(pulse, self.now) {
            self.believe(&pulse.zone);
        }
    }

    /// Takes over what the relay of another availability zone says of its members.
    fn believe(&mut self, zone: &ZoneId) {
        let Some(roll) = self.view.rolls.get(zone).filter(|_| *zone != self.me.zone) else {
            return;
        };
        let pulse = self.view.pulses.get(zone).filter(|p| p.content.roll == roll.content.seq);
        let revision = pulse.map_or(Revision(0), |pulse| pulse.content.revision);
        for standing in &roll.content.members {
            let Some(peer) = self.view.members.get_mut(&standing.incarnation) else { continue };
            peer.denied = !standing.heard;
            if standing.heard {
                peer.relayed = Some(self.now);
                peer.revision = peer.revision.max(revision);
            }
        }
    }

    /// Records a member's key in the store.
    pub(crate) fn see_member(&mut self, member: &Member) {
        self.view.merge_member(member, Phase::Serving, self.now);
        if let Some(peer) = self.view.members.get_mut(&member.incarnation) {
            peer.stored = true;
            peer.lapsed = false;
        }
    }

    /// Records that a member's key is gone from the store.
    pub(crate) fn see_lapse(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.view.members.get_mut(&incarnation) {
            peer.lapsed = peer.stored;
        }
    }

    /// Records what the store lists.
    pub(crate) fn see_members(&mut self, members: &[Member]) {
        for member in members {
            self.see_member(member);
        }
        let listed = |incarnation| members.iter().any(|m| m.incarnation == incarnation);
        for (incarnation, peer) in &mut self.view.members {
            peer.lapsed = peer.stored && !listed(*incarnation);
        }
    }

    /// Records the platform's list of VMs.
    pub(crate) fn take_vms(&mut self, entries: Vec<VmEntry>) {
        for peer in self.view.members.values_mut() {
            let entry = entries.iter().find(|entry| entry.vm == peer.member.vm);
            peer.listed |= entry.is_some();
            peer.dropped = peer.listed && entry.is_none();
            peer.hinted = entry.is_some_and(|entry| entry.leaving);
        }
        self.vms = entries;
    }

    /// Learns of a member in a phase.
    pub(crate) fn take_phase(&mut self, member: &Member, phase: Phase, out: &mut Vec<Action>) {
        let incarnation = member.incarnation;
        if incarnation == self.me.incarnation {
            if phase == Phase::Gone {
                self.fence(out);
            }
            return;
        }
        let known = self.view.members.contains_key(&incarnation);
        if !known && phase == Phase::Gone {
            return;
        }
        if !self.view.merge_member(member, phase, self.now) {
            return;
        }
        match phase {
            Phase::Serving => {}
            Phase::Leaving => self.mark_leaving(incarnation, out),
            Phase::Gone => self.mark_gone(incarnation, out),
        }
        if self.is_relay() && phase != Phase::Serving {
            self.hurry();
        }
    }

    fn mark_leaving(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        if let Some(peer) = self.view.members.get_mut(&incarnation) {
            peer.advance(MemberEvent::Leave);
            out.push(Action::MemberLeaving(incarnation));
        }
    }

    fn mark_gone(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        if let Some(peer) = self.view.members.get_mut(&incarnation) {
            peer.advance(MemberEvent::Lost);
            peer.reachable = false;
            peer.since = self.now;
            out.push(Action::MemberDown { incarnation, gone: true });
        }
        self.links.remove(&incarnation);
    }

    /// Declares a member gone.
    pub(crate) fn lose(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        let Some(peer) = self.view.members.get(&incarnation) else { return };
        let member = peer.member.clone();
        if self.view.merge_member(&member, Phase::Gone, self.now) {
            self.mark_gone(incarnation, out);
            self.hurry();
        }
    }

    /// Judges every member by what has been heard.
    pub(crate) fn judge_members(&mut self, out: &mut Vec<Action>) {
        let all: Vec<Incarnation> = self.view.members.keys().copied().collect();
        for incarnation in all {
            self.judge(incarnation, out);
            if self.is_certainly_gone(incarnation) {
                self.lose(incarnation, out);
            }
        }
        let now = self.now;
        let links = &mut self.links;
        self.view.members.retain(|incarnation, peer| {
            let keep = !peer.is_gone() || now.since(peer.since) < GONE_KEPT;
            if !keep {
                links.remove(incarnation);
            }
            keep
        });
    }

    fn judge(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        let mine = incarnation == self.me.incarnation;
        let now = self.now;
        let near_zone = self.me.zone.clone();
        let Some(peer) = self.view.members.get_mut(&incarnation) else { return };
        if peer.is_gone() {
            return;
        }
        let within = |at: Option<Time>, limit| at.is_some_and(|at| now.since(at) < limit);
        let reachable = if mine || within(peer.heard, NEAR_SILENCE) {
            true
        } else if peer.member.zone == near_zone {
            within(peer.relayed, NEAR_SILENCE)
        } else {
            !peer.denied && within(peer.relayed, FAR_SILENCE)
        };
        if reachable == peer.reachable {
            return;
        }
        peer.reachable = reachable;
        peer.since = now;
        peer.advance(if reachable { MemberEvent::Heard } else { MemberEvent::Missed });
        if mine {
            return;
        }
        out.push(match reachable {
            true => Action::MemberUp(peer.member.clone()),
            false => Action::MemberDown { incarnation, gone: false },
        });
    }

    fn is_certainly_gone(&self, incarnation: Incarnation) -> bool {
        let peer = &self.view.members[&incarnation];
        let last = peer.last().unwrap_or(peer.learned).max(peer.learned);
        let silent = !peer.reachable && self.now.since(last) > GONE_SILENCE;
        if !silent || peer.is_gone() || incarnation == self.me.incarnation {
            return false;
        }
        let successor = self.view.members.values().any(|other| {
            other.member.vm == peer.member.vm
                && other.member.incarnation != incarnation
                && other.reachable
        });
        let witnessed = peer.lapsed && peer.member.zone == self.me.zone && self.is_witness();
        successor || peer.dropped || witnessed
    }

    /// Whether this member relays for its zone and has just seen the store's members.
    fn is_witness(&self) -> bool {
        let fresh = self.listed.is_some_and(|at| self.now.since(at) < self.pace().list * 2);
        fresh && self.calls.is_healthy() && self.is_relay()
    }

    /// Renews what this member says of its own availability zone, if it relays for it.
    pub(crate) fn report_zone(&mut self) {
        if !self.is_relay() {
            return;
        }
        let zone = &self.me.zone;
        let mates = || {
            let members = self.view.members.values();
            members.filter(|p| p.member.zone == *zone && !p.is_gone())
        };
        let standing =
            |p: &Peer| Standing { incarnation: p.member.incarnation, heard: self.vouches(p) };
        let members: Vec<Standing> = mates().map(standing).collect();
        let heard = mates().filter(|p| p.reachable);
        let revision = heard.map(|p| p.revision).min().unwrap_or_default();
        self.write_roll(members);
        self.write_pulse(revision);
    }

    /// Whether a roll names a member as heard. One that this member has just learned of, and has
    /// had no time to hear, keeps what the last roll said.
    fn vouches(&self, peer: &Peer) -> bool {
        let recent = self.now.since(peer.learned) < NEAR_SILENCE * 2 && peer.last().is_none();
        let roll = self.view.rolls.get(&self.me.zone).filter(|_| recent);
        let mut standings = roll.iter().flat_map(|roll| &roll.content.members);
        let same = |s: &&Standing| s.incarnation == peer.member.incarnation;
        peer.reachable || standings.find(same).is_some_and(|s| s.heard)
    }

    fn write_roll(&mut self, members: Vec<Standing>) {
        let zone = self.me.zone.clone();
        let relay = self.me.incarnation;
        let known = self.view.rolls.get(&zone);
        let same = known.is_some_and(|known| known.content.members == members);
        let fresh = known.is_some_and(|known| self.now.since(known.learned) < REPORT_GAP);
        if same || fresh {
            return;
        }
        let seq = known.map_or(0, |known| known.content.seq) + 1;
        self.view.merge_roll(&ZoneRoll { zone, seq, relay, members }, self.now);
        self.hurry();
    }

    fn write_pulse(&mut self, revision: Revision) {
        let zone = self.me.zone.clone();
        let Some(roll) = self.view.rolls.get(&zone).map(|known| known.content.seq) else { return };
        let known = self.view.pulses.get(&zone);
        let content = known.map(|known| &known.content);
        let same = content.is_some_and(|p| p.roll == roll && p.revision >= revision);
        let age = known.map(|known| self.now.since(known.learned));
        let limit = if same { PULSE_INTERVAL } else { PULSE_GAP };
        if age.is_some_and(|age| age < limit) {
            return;
        }
        let seq = content.map_or(0, |pulse| pulse.seq) + 1;
        self.view.merge_pulse(&ZonePulse { zone, seq, roll, revision }, self.now);
    }

    /// Takes no new work from here on, and lets go of the shards.
    pub(crate) fn drain(&mut self, out: &mut Vec<Action>) {
        if self.life != Life::Serving {
            return;
        }
        self.life = Life::Leaving;
        let me = self.me.clone();
        self.view.merge_member(&me, Phase::Leaving, self.now);
        if let Some(peer) = self.view.members.get_mut(&me.incarnation) {
            peer.advance(MemberEvent::Leave);
        }
        self.release_all(out);
        self.hurry();
    }

    /// Says goodbye.
    pub(crate) fn finish(&mut self, out: &mut Vec<Action>) {
        self.disown_all(out);
        for to in self.targets() {
            self.send(to, Message::Bye, out);
        }
        if self.lease.take().is_some() {
            self.call(StoreRequest::Leave, out);
        }
        self.end(out);
    }

    /// Stops acting, since the others hold this incarnation for gone.
    pub(crate) fn fence(&mut self, out: &mut Vec<Action>) {
        self.disown_all(out);
        out.push(Action::Fenced);
        self.end(out);
    }

    fn end(&mut self, out: &mut Vec<Action>) {
        self.life = Life::Ended;
        if std::mem::take(&mut self.watching) {
            out.push(Action::Watch(false));
        }
    }
}
