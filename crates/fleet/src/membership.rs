//! Failure detection: which members are reachable, leaving or gone.
//!
//! Silence makes a member unreachable, never gone. A member is gone when it said so itself, or when
//! it is silent and one of three conditions holds: another process runs on its VM, the VM list has
//! dropped its VM, or its lease has lapsed. Only the relay of the member's own availability zone
//! may conclude from a lapsed lease, and only while the store answers it.

use std::time::Duration;

use crate::Action;
use crate::Fleet;
use crate::Heartbeat;
use crate::Member;
use crate::Message;
use crate::Phase;
use crate::RosterEntry;
use crate::StoreRequest;
use crate::VmEntry;
use crate::ZoneKeepalive;
use crate::ZoneRoster;
use crate::machine::Lifecycle;
use crate::member::MemberEvent;
use crate::tuning::GONE_RETENTION;
use crate::tuning::GONE_SILENCE_LIMIT;
use crate::tuning::KEEPALIVE_INTERVAL;
use crate::tuning::LOCAL_SILENCE_LIMIT;
use crate::tuning::MIN_KEEPALIVE_GAP;
use crate::tuning::MIN_ROSTER_GAP;
use crate::tuning::REMOTE_SILENCE_LIMIT;
use crate::view::Peer;
use model::Incarnation;
use model::Revision;
use model::Time;
use model::ZoneId;

impl Fleet {
    /// Records a message from a member.
    pub(crate) fn record_contact(
        &mut self,
        from: Incarnation,
        revision: Revision,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.view.members.get_mut(&from) else { return };
        peer.last_heard = Some(self.now);
        peer.revision = peer.revision.max(revision);
        self.update_reachability(from, out);
    }

    /// Records which members of the zone a member of the same availability zone hears.
    pub(crate) fn merge_heard_peers(&mut self, heartbeat: &Heartbeat) {
        for heard in &heartbeat.heard_peers {
            let Some(peer) = self.view.members.get_mut(&heard.incarnation) else { continue };
            let at = self.now - Duration::from_millis(u64::from(heard.age_ms));
            peer.last_relayed = peer.last_relayed.max(Some(at));
            peer.revision = peer.revision.max(heard.revision);
        }
    }

    /// Merges the roster of an availability zone.
    pub(crate) fn merge_roster(&mut self, roster: &ZoneRoster) {
        if !self.view.merge_roster(roster, self.now) {
            return;
        }
        if self.is_relay() {
            self.schedule_view_flush();
        }
        self.apply_zone_report(&roster.zone);
    }

    /// Merges a keepalive, which confirms the roster of an availability zone.
    pub(crate) fn merge_keepalive(&mut self, keepalive: &ZoneKeepalive) {
        if self.view.merge_keepalive(keepalive, self.now) {
            self.apply_zone_report(&keepalive.zone);
        }
    }

    /// Applies what the relay of another availability zone reports about its members.
    fn apply_zone_report(&mut self, zone: &ZoneId) {
        let Some(roster) = self.view.rosters.get(zone).filter(|_| *zone != self.me.zone) else {
            return;
        };
        let keepalive =
            self.view.keepalives.get(zone).filter(|p| p.content.roster_seq == roster.content.seq);
        let revision = keepalive.map_or(Revision(0), |keepalive| keepalive.content.revision);
        for entry in &roster.content.members {
            let Some(peer) = self.view.members.get_mut(&entry.incarnation) else { continue };
            peer.reported_silent = !entry.heard;
            if entry.heard {
                peer.last_relayed = Some(self.now);
                peer.revision = peer.revision.max(revision);
            }
        }
    }

    /// Records that a member has a key in the store.
    pub(crate) fn record_member_key(&mut self, member: &Member) {
        self.view.merge_member(member, Phase::Serving, self.now);
        if let Some(peer) = self.view.members.get_mut(&member.incarnation) {
            peer.key_seen = true;
            peer.key_lapsed = false;
        }
    }

    /// Records that a member's key was deleted from the store.
    pub(crate) fn record_member_lapse(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.view.members.get_mut(&incarnation) {
            peer.key_lapsed = peer.key_seen;
        }
    }

    /// Records the members that a store listing returned; known keys that are missing have lapsed.
    pub(crate) fn record_member_listing(&mut self, members: &[Member]) {
        for member in members {
            self.record_member_key(member);
        }
        let listed = |incarnation| members.iter().any(|m| m.incarnation == incarnation);
        for (incarnation, peer) in &mut self.view.members {
            peer.key_lapsed = peer.key_seen && !listed(*incarnation);
        }
    }

    /// Records the platform's list of VMs.
    pub(crate) fn update_vm_list(&mut self, entries: Vec<VmEntry>) {
        for peer in self.view.members.values_mut() {
            let entry = entries.iter().find(|entry| entry.vm == peer.member.vm);
            peer.vm_listed |= entry.is_some();
            peer.vm_dropped = peer.vm_listed && entry.is_none();
            peer.vm_leaving = entry.is_some_and(|entry| entry.leaving);
        }
        self.vms = entries;
    }

    /// Merges a member's phase that a peer reported.
    pub(crate) fn merge_phase(&mut self, member: &Member, phase: Phase, out: &mut Vec<Action>) {
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
            self.schedule_view_flush();
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
            peer.reachability_since = self.now;
            out.push(Action::MemberDown { incarnation, gone: true });
        }
        self.links.remove(&incarnation);
    }

    /// Declares a member gone.
    pub(crate) fn declare_gone(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        let Some(peer) = self.view.members.get(&incarnation) else { return };
        let member = peer.member.clone();
        if self.view.merge_member(&member, Phase::Gone, self.now) {
            self.mark_gone(incarnation, out);
            self.schedule_view_flush();
        }
    }

    /// Updates the reachability of every member, declares members gone, and forgets those that have
    /// been gone for [`GONE_RETENTION`].
    pub(crate) fn evaluate_members(&mut self, out: &mut Vec<Action>) {
        let all: Vec<Incarnation> = self.view.members.keys().copied().collect();
        for incarnation in all {
            self.update_reachability(incarnation, out);
            if self.is_confirmed_gone(incarnation) {
                self.declare_gone(incarnation, out);
            }
        }
        let now = self.now;
        let links = &mut self.links;
        self.view.members.retain(|incarnation, peer| {
            let keep = !peer.is_gone() || now.since(peer.reachability_since) < GONE_RETENTION;
            if !keep {
                links.remove(incarnation);
            }
            keep
        });
    }

    fn update_reachability(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        let is_me = incarnation == self.me.incarnation;
        let now = self.now;
        let own_zone = self.me.zone.clone();
        let Some(peer) = self.view.members.get_mut(&incarnation) else { return };
        if peer.is_gone() {
            return;
        }
        let within = |at: Option<Time>, limit| at.is_some_and(|at| now.since(at) < limit);
        let reachable = if is_me || within(peer.last_heard, LOCAL_SILENCE_LIMIT) {
            true
        } else if peer.member.zone == own_zone {
            within(peer.last_relayed, LOCAL_SILENCE_LIMIT)
        } else {
            !peer.reported_silent && within(peer.last_relayed, REMOTE_SILENCE_LIMIT)
        };
        if reachable == peer.reachable {
            return;
        }
        peer.reachable = reachable;
        peer.reachability_since = now;
        peer.advance(if reachable { MemberEvent::Heard } else { MemberEvent::Missed });
        if is_me {
            return;
        }
        out.push(match reachable {
            true => Action::MemberUp(peer.member.clone()),
            false => Action::MemberDown { incarnation, gone: false },
        });
    }

    fn is_confirmed_gone(&self, incarnation: Incarnation) -> bool {
        let peer = &self.view.members[&incarnation];
        let last = peer.last_contact().unwrap_or(peer.learned_at).max(peer.learned_at);
        let silent = !peer.reachable && self.now.since(last) > GONE_SILENCE_LIMIT;
        if !silent || peer.is_gone() || incarnation == self.me.incarnation {
            return false;
        }
        let successor = self.view.members.values().any(|other| {
            other.member.vm == peer.member.vm
                && other.member.incarnation != incarnation
                && other.reachable
        });
        let lapse_confirmed =
            peer.key_lapsed && peer.member.zone == self.me.zone && self.can_confirm_lapse();
        successor || peer.vm_dropped || lapse_confirmed
    }

    /// Whether this member is its zone's relay and has a recent listing from a healthy store.
    fn can_confirm_lapse(&self) -> bool {
        let fresh =
            self.last_listed.is_some_and(|at| self.now.since(at) < self.store_intervals().list * 2);
        fresh && self.calls.is_healthy() && self.is_relay()
    }

    /// Publishes the roster and keepalive of this member's availability zone if it is the relay.
    pub(crate) fn publish_zone_report(&mut self) {
        if !self.is_relay() {
            return;
        }
        let zone = &self.me.zone;
        let zone_members = || {
            let members = self.view.members.values();
            members.filter(|p| p.member.zone == *zone && !p.is_gone())
        };
        let entry = |p: &Peer| RosterEntry {
            incarnation: p.member.incarnation,
            heard: self.is_reported_heard(p),
        };
        let members: Vec<RosterEntry> = zone_members().map(entry).collect();
        let heard = zone_members().filter(|p| p.reachable);
        let revision = heard.map(|p| p.revision).min().unwrap_or_default();
        self.publish_roster(members);
        self.publish_keepalive(revision);
    }

    /// Whether the roster lists a member as heard. A member that was learned of too recently to
    /// have been heard keeps its value from the last roster.
    fn is_reported_heard(&self, peer: &Peer) -> bool {
        let recent = self.now.since(peer.learned_at) < LOCAL_SILENCE_LIMIT * 2
            && peer.last_contact().is_none();
        let roster = self.view.rosters.get(&self.me.zone).filter(|_| recent);
        let mut entries = roster.iter().flat_map(|roster| &roster.content.members);
        let same = |s: &&RosterEntry| s.incarnation == peer.member.incarnation;
        peer.reachable || entries.find(same).is_some_and(|s| s.heard)
    }

    fn publish_roster(&mut self, members: Vec<RosterEntry>) {
        let zone = self.me.zone.clone();
        let relay = self.me.incarnation;
        let known = self.view.rosters.get(&zone);
        let same = known.is_some_and(|known| known.content.members == members);
        let fresh = known.is_some_and(|known| self.now.since(known.learned_at) < MIN_ROSTER_GAP);
        if same || fresh {
            return;
        }
        let seq = known.map_or(0, |known| known.content.seq) + 1;
        self.view.merge_roster(&ZoneRoster { zone, seq, relay, members }, self.now);
        self.schedule_view_flush();
    }

    fn publish_keepalive(&mut self, revision: Revision) {
        let zone = self.me.zone.clone();
        let Some(roster_seq) = self.view.rosters.get(&zone).map(|known| known.content.seq) else {
            return;
        };
        let known = self.view.keepalives.get(&zone);
        let content = known.map(|known| &known.content);
        let same = content.is_some_and(|p| p.roster_seq == roster_seq && p.revision >= revision);
        let age = known.map(|known| self.now.since(known.learned_at));
        let limit = if same { KEEPALIVE_INTERVAL } else { MIN_KEEPALIVE_GAP };
        if age.is_some_and(|age| age < limit) {
            return;
        }
        let seq = content.map_or(0, |keepalive| keepalive.seq) + 1;
        self.view.merge_keepalive(&ZoneKeepalive { zone, seq, roster_seq, revision }, self.now);
    }

    /// Stops accepting new work and releases the shards.
    pub(crate) fn drain(&mut self, out: &mut Vec<Action>) {
        if self.lifecycle != Lifecycle::Serving {
            return;
        }
        self.lifecycle = Lifecycle::Leaving;
        let me = self.me.clone();
        self.view.merge_member(&me, Phase::Leaving, self.now);
        if let Some(peer) = self.view.members.get_mut(&me.incarnation) {
            peer.advance(MemberEvent::Leave);
        }
        self.release_all(out);
        self.schedule_view_flush();
    }

    /// Announces the exit to peers, revokes the lease and stops.
    pub(crate) fn leave(&mut self, out: &mut Vec<Action>) {
        self.disown_all(out);
        for to in self.heartbeat_targets() {
            self.send(to, Message::Exit, out);
        }
        if self.lease.take().is_some() {
            self.call(StoreRequest::Leave, out);
        }
        self.stop(out);
    }

    /// Stops acting, because the other members have declared this incarnation gone.
    pub(crate) fn fence(&mut self, out: &mut Vec<Action>) {
        self.disown_all(out);
        out.push(Action::Fenced);
        self.stop(out);
    }

    fn stop(&mut self, out: &mut Vec<Action>) {
        self.lifecycle = Lifecycle::Ended;
        if std::mem::take(&mut self.watching) {
            out.push(Action::Watch(false));
        }
    }
}
