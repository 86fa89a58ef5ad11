//! Sending and handling of heartbeats.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Action;
use crate::Echo;
use crate::Fleet;
use crate::HeardPeer;
use crate::Heartbeat;
use crate::Message;
use crate::Phase;
use crate::TextBody;
use crate::ViewUpdate;
use crate::machine::Lifecycle;
use crate::tuning::LOCAL_SILENCE_LIMIT;
use crate::tuning::RECONNECT_SILENCE_LIMIT;
use model::Incarnation;
use model::Time;

/// Number of latest heartbeats whose send time is kept to measure delays.
const MAX_TRACKED_HEARTBEATS: usize = 32;
/// Maximum number of unknown addresses greeted per heartbeat interval.
const MAX_GREETINGS: usize = 3;

/// Heartbeat exchange with one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    /// Sequence number of the last heartbeat sent.
    seq: u64,
    sent: VecDeque<(u64, Time)>,
    /// Sequence number and receipt time of the last heartbeat received.
    received: Option<(u64, Time)>,
    /// Number of our last view change that the peer has acknowledged.
    acked_end: u64,
    /// Number of the peer's last view change that we have received.
    received_end: u64,
    /// Whether the peer has acknowledged any heartbeat.
    acknowledged: bool,
    reconnected_at: Time,
    /// When the peer last sent a heartbeat that was not only an answer.
    pub(crate) last_initiated: Option<Time>,
}

impl Link {
    /// Upper bound of the delay of the message that carries `echo`, from the round-trip time;
    /// `None` if the send time is no longer known.
    fn max_delay(&self, echo: Echo, now: Time) -> Option<Duration> {
        let (_, sent) = self.sent.iter().find(|(seq, _)| *seq == echo.seq)?;
        now.since(*sent).checked_sub(Duration::from_micros(echo.held_us))
    }
}

impl Fleet {
    pub(crate) fn send_heartbeats(&mut self, out: &mut Vec<Action>) {
        let heard_peers = self.heard_peers();
        let targets = self.heartbeat_targets();
        let initiators = self.initiators();
        for to in targets.union(&initiators).copied() {
            self.reconnect_if_silent(to, out);
            let reply_only = !targets.contains(&to);
            let heartbeat = Heartbeat { reply_only, ..self.heartbeat(to, &heard_peers) };
            self.send(to, Message::Heartbeat(Box::new(heartbeat)), out);
        }
    }

    fn heard_peers(&self) -> Vec<HeardPeer> {
        let zone = &self.me.zone;
        let zone_members =
            self.view.members.values().filter(|p| p.member.zone == *zone && !p.is_gone());
        let heard_peer = |peer: &crate::view::Peer| {
            let age = self.now.since(peer.last_heard?);
            (age < LOCAL_SILENCE_LIMIT).then(|| HeardPeer {
                incarnation: peer.member.incarnation,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                revision: peer.revision,
            })
        };
        zone_members.filter_map(heard_peer).collect()
    }

    fn heartbeat(&mut self, to: Incarnation, heard_peers: &[HeardPeer]) -> Heartbeat {
        let is_relay = self.is_relay();
        let in_zone = self.view.members[&to].member.zone == self.me.zone;
        let link = self.links.entry(to).or_default();
        link.seq += 1;
        link.sent.push_back((link.seq, self.now));
        if link.sent.len() > MAX_TRACKED_HEARTBEATS {
            link.sent.pop_front();
        }
        let held = |at: Time| u64::try_from(self.now.since(at).as_micros()).unwrap_or(u64::MAX);
        let (updates, updates_end) = self.view.updates_after(link.acked_end, is_relay);
        Heartbeat {
            seq: link.seq,
            echo: link.received.map(|(seq, at)| Echo { seq, held_us: held(at) }),
            reply_only: false,
            member: (!link.acknowledged).then(|| self.me.clone()),
            revision: self.replica.revision(),
            check_age: self.replica.checked_at().map(|at| self.now.since(at)),
            heard_peers: if in_zone { heard_peers.to_vec() } else { Vec::new() },
            updates,
            updates_end,
            ack: link.received_end,
        }
    }

    pub(crate) fn send(&self, to: Incarnation, message: Message, out: &mut Vec<Action>) {
        let Some(peer) = self.view.members.get(&to) else { return };
        out.push(Action::Send { to, address: peer.member.address.clone(), message });
    }

    /// Requests a new connection to a peer that has been silent for [`RECONNECT_SILENCE_LIMIT`].
    fn reconnect_if_silent(&mut self, to: Incarnation, out: &mut Vec<Action>) {
        let peer = &self.view.members[&to];
        let Some(heard) = peer.last_heard else { return };
        let address = peer.member.address.clone();
        let link = self.links.entry(to).or_default();
        let last = heard.max(link.reconnected_at);
        if self.now.since(last) > RECONNECT_SILENCE_LIMIT {
            link.reconnected_at = self.now;
            out.push(Action::Reconnect { to, address });
        }
    }

    /// Sends greetings to VMs of the VM list on which no reachable member is known.
    pub(crate) fn send_greetings(&mut self, out: &mut Vec<Action>) {
        let known = |vm| {
            let mut peers = self.view.members.values();
            peers.any(|p| p.member.vm == vm && (p.reachable || vm == self.me.vm))
        };
        let unknown_addresses: Vec<String> = self
            .vms
            .iter()
            .filter(|entry| !known(entry.vm.clone()))
            .map(|entry| entry.address.clone())
            .collect();
        let first = self.greeting_count;
        for address in unknown_addresses.iter().cycle().skip(first % unknown_addresses.len().max(1))
        {
            if self.greeting_count - first >= MAX_GREETINGS.min(unknown_addresses.len()) {
                break;
            }
            self.greeting_count += 1;
            let message = Message::Heartbeat(Box::new(self.greeting()));
            out.push(Action::Greet { address: address.clone(), message });
        }
    }

    fn greeting(&self) -> Heartbeat {
        Heartbeat {
            seq: 0,
            echo: None,
            reply_only: false,
            member: Some(self.me.clone()),
            revision: self.replica.revision(),
            check_age: None,
            heard_peers: Vec::new(),
            updates: Vec::new(),
            updates_end: 0,
            ack: 0,
        }
    }

    pub(crate) fn handle_message(
        &mut self,
        from: Incarnation,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if self.view.members.get(&from).is_some_and(|peer| peer.is_gone()) {
            return self.send(from, Message::Fenced { incarnation: from }, out);
        }
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(from, *heartbeat, out),
            Message::Fetch { have } => {
                if let Some(body) = self.replica.encode_for(have) {
                    let revision = self.replica.revision();
                    self.send(from, Message::Text { revision, body }, out);
                }
            }
            Message::Text { revision, body } => self.handle_text(from, revision, &body, out),
            Message::Fenced { incarnation } if incarnation == self.me.incarnation => {
                self.fence(out);
            }
            Message::Fenced { .. } => {}
            Message::Exit => self.declare_gone(from, out),
        }
    }

    fn handle_text(
        &mut self,
        from: Incarnation,
        revision: model::Revision,
        body: &TextBody,
        out: &mut Vec<Action>,
    ) {
        match self.replica.decode(body) {
            Some(text) => self.adopt_text(revision, &text, out),
            None => self.send(from, Message::Fetch { have: model::Revision(0) }, out),
        }
    }

    fn handle_heartbeat(&mut self, from: Incarnation, heartbeat: Heartbeat, out: &mut Vec<Action>) {
        if let Some(member) = heartbeat.member.as_ref().filter(|m| m.incarnation == from) {
            self.view.merge_member(member, Phase::Serving, self.now);
        }
        if !self.view.members.contains_key(&from) || from == self.me.incarnation {
            return;
        }
        let link = self.links.entry(from).or_default();
        let stale =
            link.received.is_some_and(|(seq, _)| heartbeat.seq != 0 && heartbeat.seq <= seq);
        if stale {
            return;
        }
        let seq = link.received.map_or(0, |(seq, _)| seq).max(heartbeat.seq);
        link.received = Some((seq, self.now));
        if !heartbeat.reply_only {
            link.last_initiated = Some(self.now);
        }
        link.acked_end = link.acked_end.max(heartbeat.ack);
        link.acknowledged |= heartbeat.echo.is_some();
        let delay = heartbeat.echo.and_then(|echo| link.max_delay(echo, self.now));
        self.record_contact(from, heartbeat.revision, out);
        if self.lifecycle == Lifecycle::Ended {
            return;
        }
        for update in &heartbeat.updates {
            self.apply_update(update, out);
        }
        if self.lifecycle == Lifecycle::Ended {
            return;
        }
        let link = self.links.entry(from).or_default();
        link.received_end = link.received_end.max(heartbeat.updates_end);
        self.merge_heard_peers(&heartbeat);
        if let Some((age, delay)) = heartbeat.check_age.zip(delay) {
            self.replica.record_check(heartbeat.revision, self.now - (age + delay));
        }
        self.fetch_if_newer(from, heartbeat.revision, out);
    }

    /// Requests the configuration from `from` if its revision is higher than ours.
    fn fetch_if_newer(
        &mut self,
        from: Incarnation,
        revision: model::Revision,
        out: &mut Vec<Action>,
    ) {
        let have = self.replica.revision();
        if revision <= have {
            return;
        }
        self.replica.observe(revision);
        if self.replica.start_fetch(from, self.now) {
            self.send(from, Message::Fetch { have }, out);
        }
    }

    fn apply_update(&mut self, update: &ViewUpdate, out: &mut Vec<Action>) {
        match update {
            ViewUpdate::Member { member, phase } => self.merge_phase(member, *phase, out),
            ViewUpdate::Owner(ownership) => self.merge_owner(ownership, out),
            ViewUpdate::Roster(roster) => self.merge_roster(roster),
            ViewUpdate::Keepalive(keepalive) => self.merge_keepalive(keepalive),
        }
    }
}
