//! Heartbeats: sending them, and learning from them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Action;
use crate::Beat;
use crate::Body;
use crate::Echo;
use crate::Fleet;
use crate::Hearing;
use crate::Message;
use crate::News;
use crate::Phase;
use crate::machine::Life;
use crate::tuning::NEAR_SILENCE;
use crate::tuning::RECONNECT_SILENCE;
use model::Incarnation;
use model::Time;

/// Heartbeats whose time of sending is remembered.
const SENT_KEPT: usize = 32;
/// Addresses of the VM list that are greeted at once.
const GREETINGS: usize = 3;

/// The exchange of heartbeats with one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    /// Heartbeats sent.
    seq: u64,
    sent: VecDeque<(u64, Time)>,
    /// The last heartbeat received, and when.
    received: Option<(u64, Time)>,
    /// Position in our changes that the peer has.
    acked: u64,
    /// Position in the peer's changes that we have.
    seen: u64,
    /// Whether the peer has acknowledged a heartbeat.
    met: bool,
    reconnected: Time,
    /// Last heartbeat that the peer sent by itself.
    pub(crate) called: Option<Time>,
}

impl Link {
    /// Upper bound of a message's delay, from an echo of what was sent before.
    fn delay(&self, echo: Echo, now: Time) -> Option<Duration> {
        let (_, sent) = self.sent.iter().find(|(seq, _)| *seq == echo.seq)?;
        now.since(*sent).checked_sub(Duration::from_micros(echo.held))
    }
}

impl Fleet {
    pub(crate) fn send_beats(&mut self, out: &mut Vec<Action>) {
        let hears = self.hears();
        let targets = self.targets();
        let callers = self.callers();
        for to in targets.union(&callers).copied() {
            self.refresh(to, out);
            let reply = !targets.contains(&to);
            let beat = Beat { reply, ..self.beat(to, &hears) };
            self.send(to, Message::Beat(Box::new(beat)), out);
        }
    }

    fn hears(&self) -> Vec<Hearing> {
        let zone = &self.me.zone;
        let mates = self.view.members.values().filter(|p| p.member.zone == *zone && !p.is_gone());
        let hearing = |peer: &crate::view::Peer| {
            let age = self.now.since(peer.heard?);
            (age < NEAR_SILENCE).then(|| Hearing {
                incarnation: peer.member.incarnation,
                age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                revision: peer.revision,
            })
        };
        mates.filter_map(hearing).collect()
    }

    fn beat(&mut self, to: Incarnation, hears: &[Hearing]) -> Beat {
        let relays = self.is_relay();
        let near = self.view.members[&to].member.zone == self.me.zone;
        let link = self.links.entry(to).or_default();
        link.seq += 1;
        link.sent.push_back((link.seq, self.now));
        if link.sent.len() > SENT_KEPT {
            link.sent.pop_front();
        }
        let held = |at: Time| u64::try_from(self.now.since(at).as_micros()).unwrap_or(u64::MAX);
        let (news, upto) = self.view.news(link.acked, relays);
        Beat {
            seq: link.seq,
            echo: link.received.map(|(seq, at)| Echo { seq, held: held(at) }),
            reply: false,
            member: (!link.met).then(|| self.me.clone()),
            revision: self.spread.revision(),
            checked: self.spread.checked().map(|at| self.now.since(at)),
            hears: if near { hears.to_vec() } else { Vec::new() },
            news,
            upto,
            ack: link.seen,
        }
    }

    pub(crate) fn send(&self, to: Incarnation, message: Message, out: &mut Vec<Action>) {
        let Some(peer) = self.view.members.get(&to) else { return };
        out.push(Action::Send { to, address: peer.member.address.clone(), message });
    }

    /// Has a connection replaced whose peer has not been heard for a while.
    fn refresh(&mut self, to: Incarnation, out: &mut Vec<Action>) {
        let peer = &self.view.members[&to];
        let Some(heard) = peer.heard else { return };
        let address = peer.member.address.clone();
        let link = self.links.entry(to).or_default();
        let last = heard.max(link.reconnected);
        if self.now.since(last) > RECONNECT_SILENCE {
            link.reconnected = self.now;
            out.push(Action::Reconnect { to, address });
        }
    }

    /// Introduces this member to VMs of the VM list that no known member runs on.
    pub(crate) fn greet(&mut self, out: &mut Vec<Action>) {
        let known = |vm| {
            let mut peers = self.view.members.values();
            peers.any(|p| p.member.vm == vm && (p.reachable || vm == self.me.vm))
        };
        let strangers: Vec<String> = self
            .vms
            .iter()
            .filter(|entry| !known(entry.vm.clone()))
            .map(|entry| entry.address.clone())
            .collect();
        let first = self.greeted;
        for address in strangers.iter().cycle().skip(first % strangers.len().max(1)) {
            if self.greeted - first >= GREETINGS.min(strangers.len()) {
                break;
            }
            self.greeted += 1;
            let message = Message::Beat(Box::new(self.greeting()));
            out.push(Action::Greet { address: address.clone(), message });
        }
    }

    fn greeting(&self) -> Beat {
        Beat {
            seq: 0,
            echo: None,
            reply: false,
            member: Some(self.me.clone()),
            revision: self.spread.revision(),
            checked: None,
            hears: Vec::new(),
            news: Vec::new(),
            upto: 0,
            ack: 0,
        }
    }

    pub(crate) fn take_message(
        &mut self,
        from: Incarnation,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if self.view.members.get(&from).is_some_and(|peer| peer.is_gone()) {
            return self.send(from, Message::Fenced { incarnation: from }, out);
        }
        match message {
            Message::Beat(beat) => self.take_beat(from, *beat, out),
            Message::Fetch { have } => {
                if let Some(body) = self.spread.body(have) {
                    let revision = self.spread.revision();
                    self.send(from, Message::Text { revision, body }, out);
                }
            }
            Message::Text { revision, body } => self.take_body(from, revision, &body, out),
            Message::Fenced { incarnation } if incarnation == self.me.incarnation => {
                self.fence(out);
            }
            Message::Fenced { .. } => {}
            Message::Bye => self.lose(from, out),
        }
    }

    fn take_body(
        &mut self,
        from: Incarnation,
        revision: model::Revision,
        body: &Body,
        out: &mut Vec<Action>,
    ) {
        match self.spread.restore(body) {
            Some(text) => self.take_text(revision, &text, out),
            None => self.send(from, Message::Fetch { have: model::Revision(0) }, out),
        }
    }

    fn take_beat(&mut self, from: Incarnation, beat: Beat, out: &mut Vec<Action>) {
        if let Some(member) = beat.member.as_ref().filter(|m| m.incarnation == from) {
            self.view.merge_member(member, Phase::Serving, self.now);
        }
        if !self.view.members.contains_key(&from) || from == self.me.incarnation {
            return;
        }
        let link = self.links.entry(from).or_default();
        let stale = link.received.is_some_and(|(seq, _)| beat.seq != 0 && beat.seq <= seq);
        if stale {
            return;
        }
        let seq = link.received.map_or(0, |(seq, _)| seq).max(beat.seq);
        link.received = Some((seq, self.now));
        if !beat.reply {
            link.called = Some(self.now);
        }
        link.acked = link.acked.max(beat.ack);
        link.met |= beat.echo.is_some();
        let delay = beat.echo.and_then(|echo| link.delay(echo, self.now));
        self.hear(from, beat.revision, out);
        if self.life == Life::Ended {
            return;
        }
        for news in &beat.news {
            self.take_news(news, out);
        }
        if self.life == Life::Ended {
            return;
        }
        let link = self.links.entry(from).or_default();
        link.seen = link.seen.max(beat.upto);
        self.take_hearings(&beat);
        if let Some((age, delay)) = beat.checked.zip(delay) {
            self.spread.confirm(beat.revision, self.now - (age + delay));
        }
        self.chase(from, beat.revision, out);
    }

    /// Asks `from` for its revision if that is higher.
    fn chase(&mut self, from: Incarnation, revision: model::Revision, out: &mut Vec<Action>) {
        let have = self.spread.revision();
        if revision <= have {
            return;
        }
        self.spread.note(revision);
        if self.spread.ask(from, self.now) {
            self.send(from, Message::Fetch { have }, out);
        }
    }

    fn take_news(&mut self, news: &News, out: &mut Vec<Action>) {
        match news {
            News::Member { member, phase } => self.take_phase(member, *phase, out),
            News::Owner(ownership) => self.merge_owner(ownership, out),
            News::Roll(roll) => self.take_roll(roll),
            News::Pulse(pulse) => self.take_pulse(pulse),
        }
    }
}
