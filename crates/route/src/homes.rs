//! Whose request it is, and the way to its home: forwarding, inquiries, peers that come and go.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Answer;
use crate::Call;
use crate::Message;
use crate::Peer;
use crate::Reason;
use crate::RequestState;
use crate::Router;
use crate::answers::blank;
use crate::ledger::Ledger;
use crate::ledger::Standing;
use crate::peers::Reach;
use crate::router::Timer;
use crate::table::Entry;
use crate::table::WAITERS;
use crate::table::Waiter;
use model::Incarnation;
use model::RequestId;
use model::Time;
use model::Verdict;

/// Time beyond the caller's deadline for the home's answer to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Longest pause before a request is forwarded again.
const LONGEST_RESEND: Duration = Duration::from_secs(5);

/// Time for which an inquiry waits for the home.
const INQUIRY_TIME: Duration = Duration::from_secs(2);

const SOON: Duration = Duration::from_millis(500);

/// Who may dispatch the requests of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    Me,
    Peer(Incarnation),
    /// The home has ended without an heir, or was never seen.
    Nobody {
        certain: bool,
    },
    /// A handover is in progress.
    Unclear,
}

/// A request that waits for its home's answer.
#[derive(Debug)]
pub(crate) struct Forward {
    pub(crate) to: Incarnation,
    pub(crate) call: Call,
    pub(crate) digest: u128,
    pub(crate) deadline: Time,
    pub(crate) waiters: Vec<Waiter>,
    pause: Duration,
    resend: Time,
    wake: Time,
}

/// A question for a verdict that waits for the home's answer.
#[derive(Debug)]
pub(crate) struct Inquiry {
    to: Incarnation,
    waiters: Vec<Waiter>,
    until: Time,
}

/// Ids of a stopped home that this router answers for.
#[derive(Debug)]
pub(crate) struct Legacy {
    pub(crate) ledger: Ledger,
    /// Whether the home has handed over everything.
    pub(crate) complete: bool,
    /// Parts that were taken.
    pub(crate) parts: BTreeSet<PartKey>,
}

/// Part of a handover, numbered by its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PartKey {
    pub(crate) from: Incarnation,
    pub(crate) part: u64,
}

impl Router {
    /// Who may dispatch the request, unless it is in the table here.
    pub(crate) fn owner(&self, id: RequestId) -> Owner {
        let moved = |entry: &Entry| entry.state == RequestState::Moved;
        let moved = self.moved > 0 && self.table.get(id).is_some_and(moved);
        if moved || id.home == self.me || self.legacies.contains_key(&id.home) {
            return self.own_or_heir(id);
        }
        let owner = self.peers.resolve(id.home);
        if owner == self.me {
            return Owner::Unclear;
        }
        match self.peers.reach(owner) {
            Reach::Up | Reach::Down(_) => Owner::Peer(owner),
            Reach::Gone => Owner::Nobody { certain: true },
            Reach::Stranger if owner != id.home => Owner::Peer(owner),
            Reach::Stranger => Owner::Nobody { certain: self.knows_all() },
        }
    }

    /// Whether this router has run for so long that it must have seen every peer that lives.
    fn knows_all(&self) -> bool {
        self.now.since(self.started) > self.settings.list_lag
    }

    /// Owner of an id whose home is, or was taken over by, this router.
    fn own_or_heir(&self, id: RequestId) -> Owner {
        let complete = self.legacies.get(&id.home).is_none_or(|legacy| legacy.complete);
        match self.heir_of(id) {
            Some(heir) if self.peers.reach(heir) == Reach::Gone => Owner::Nobody { certain: true },
            Some(heir) => Owner::Peer(heir),
            None if complete => Owner::Me,
            None if self.peers.reach(id.home) == Reach::Gone => Owner::Nobody { certain: true },
            None => Owner::Unclear,
        }
    }

    /// The home cannot say now.
    pub(crate) fn unclear(&mut self, waiter: Waiter, id: RequestId) {
        if waiter == Waiter::Peer(id.home) {
            return;
        }
        let answer = open_answer(id, Reason::HomeUnreachable);
        self.deliver(waiter, answer);
    }

    /// Passes a request on to its home and waits for the answer.
    pub(crate) fn forward(&mut self, waiter: Waiter, call: Call, to: Incarnation) {
        let id = call.id;
        if waiter == Waiter::Peer(to) {
            return;
        }
        let digest = call.digest();
        let deadline = self.now + call.deadline;
        if let Some(forward) = self.forwards.get_mut(&id) {
            if forward.digest != digest {
                let mut answer = blank(id, Verdict::Unknown, Reason::Conflict);
                answer.last = false;
                return self.deliver(waiter, answer);
            }
            if !forward.waiters.contains(&waiter) && forward.waiters.len() < WAITERS {
                forward.waiters.push(waiter);
            }
            forward.deadline = forward.deadline.max(deadline);
            return;
        }
        let pause = self.settings.resend_interval;
        let forward = Forward {
            to,
            call,
            digest,
            deadline,
            waiters: vec![waiter],
            pause,
            resend: self.now,
            wake: self.now,
        };
        self.forwards.insert(id, forward);
        self.forward_due(id);
    }

    /// Sends a forwarded request again, or gives it up.
    pub(crate) fn forward_due(&mut self, id: RequestId) {
        let Some(forward) = self.forwards.get(&id) else { return };
        if self.now < forward.wake {
            return;
        }
        let reach = self.peers.reach(forward.to);
        let grace = self.settings.reach_grace;
        if self.now >= forward.deadline + ANSWER_GRACE {
            let reason = match reach {
                Reach::Up => Reason::DeadlinePassed,
                _ => Reason::HomeUnreachable,
            };
            return self.end_forward(id, open_answer(id, reason));
        }
        if let Reach::Down(since) = reach
            && self.now >= since + grace
        {
            return self.end_forward(id, open_answer(id, Reason::HomeUnreachable));
        }
        let now = self.now;
        let Some(forward) = self.forwards.get_mut(&id) else { return };
        let due = now >= forward.resend;
        if due {
            forward.resend = now + forward.pause;
            forward.pause = (forward.pause * 2).min(LONGEST_RESEND);
        }
        let down = match reach {
            Reach::Down(since) => since + grace,
            _ => Time::NEVER,
        };
        forward.wake = forward.resend.min(forward.deadline + ANSWER_GRACE).min(down);
        let (to, wake) = (forward.to, forward.wake);
        let mut call = forward.call.clone();
        call.deadline = forward.deadline.since(now);
        if due && reach == Reach::Up {
            self.send(to, Message::Forward { call });
        }
        self.start_timer(wake, Timer::Forward(id));
    }

    fn end_forward(&mut self, id: RequestId, answer: Answer) {
        let Some(forward) = self.forwards.remove(&id) else { return };
        for waiter in forward.waiters {
            self.deliver(waiter, answer.clone());
        }
    }

    /// Somebody who waits for a forwarded request went away; whether it was forwarded.
    pub(crate) fn leave_forward(&mut self, waiter: Waiter, id: RequestId) -> bool {
        if let Some(inquiry) = self.inquiries.get_mut(&id) {
            inquiry.waiters.retain(|other| *other != waiter);
        }
        let Some(forward) = self.forwards.get_mut(&id) else { return false };
        forward.waiters.retain(|other| *other != waiter);
        if forward.waiters.is_empty() {
            let to = forward.to;
            self.forwards.remove(&id);
            self.send(to, Message::Cancel { id });
        }
        true
    }

    /// Tells what is known of a request.
    pub(crate) fn query(&mut self, waiter: Waiter, id: RequestId) {
        if let Some(answer) = self.describe(id) {
            return self.tell(waiter, answer);
        }
        match self.owner(id) {
            Owner::Me => {
                let answer = match self.standing(id) {
                    Standing::Unused => open_answer(id, Reason::Unused),
                    Standing::NotIssued if id.home != self.me => {
                        open_answer(id, Reason::HomeUnreachable)
                    }
                    Standing::NotIssued => blank(id, Verdict::NotRun, Reason::NotIssued),
                    Standing::TooOld => blank(id, Verdict::Unknown, Reason::TooOld),
                    Standing::Settled(verdict) => self.settled_answer(id, verdict),
                };
                self.tell(waiter, answer);
            }
            Owner::Peer(to) if waiter != Waiter::Peer(to) => self.inquire(waiter, id, to),
            Owner::Nobody { certain } => {
                let mut answer = open_answer(id, Reason::HomeGone);
                answer.last = certain;
                self.tell(waiter, answer);
            }
            Owner::Peer(_) | Owner::Unclear => {
                self.tell(waiter, open_answer(id, Reason::HomeUnreachable));
            }
        }
    }

    /// The state of a request in the table.
    fn describe(&self, id: RequestId) -> Option<Answer> {
        let entry = self.table.get(id)?;
        let reason = match entry.state {
            RequestState::Moved => return None,
            RequestState::Queued => Reason::Queued,
            _ => Reason::Running,
        };
        Some(entry.answer.clone().unwrap_or_else(|| open_answer(id, reason)))
    }

    fn tell(&mut self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Ticket(_) => self.deliver(waiter, answer),
            Waiter::Peer(peer) => self.send(peer, Message::Told { answer }),
        }
    }

    fn inquire(&mut self, waiter: Waiter, id: RequestId, to: Incarnation) {
        let until = self.now + INQUIRY_TIME;
        let new = Inquiry { to, waiters: Vec::new(), until };
        let inquiry = self.inquiries.entry(id).or_insert(new);
        inquiry.to = to;
        if !inquiry.waiters.contains(&waiter) && inquiry.waiters.len() < WAITERS {
            inquiry.waiters.push(waiter);
        }
        if self.is_up(to) {
            self.send(to, Message::Query { id });
            self.start_timer(self.now + self.settings.resend_interval, Timer::Inquiry(id));
        } else {
            self.end_inquiry(id, open_answer(id, Reason::HomeUnreachable));
        }
    }

    /// Asks again for a verdict, or gives up.
    pub(crate) fn inquiry_due(&mut self, id: RequestId) {
        let Some(inquiry) = self.inquiries.get(&id) else { return };
        let (to, until) = (inquiry.to, inquiry.until);
        if self.now >= until || !self.is_up(to) {
            return self.end_inquiry(id, open_answer(id, Reason::HomeUnreachable));
        }
        self.send(to, Message::Query { id });
        self.start_timer(self.now + self.settings.resend_interval, Timer::Inquiry(id));
    }

    fn end_inquiry(&mut self, id: RequestId, answer: Answer) {
        let Some(inquiry) = self.inquiries.remove(&id) else { return };
        for waiter in inquiry.waiters {
            self.tell(waiter, answer.clone());
        }
    }

    /// Takes in a peer's message.
    pub(crate) fn receive(&mut self, from: Incarnation, message: Message) {
        match message {
            Message::Forward { call } => self.call(Waiter::Peer(from), call),
            Message::Cancel { id } => self.cancelled(from, id),
            Message::Query { id } => self.query(Waiter::Peer(from), id),
            Message::Answer { answer } => self.forward_answered(from, answer),
            Message::Told { answer } => self.end_inquiry(answer.id, answer),
            Message::Ask { wants } => self.asked(from, wants),
            Message::Grant { grants } => self.granted(from, grants),
            Message::Recall { backend, keep } => self.recalled(from, &backend, keep),
            Message::Signal { backend, sign } => self.signalled(from, &backend, sign),
            Message::Draining => {
                self.peers.draining(from);
                self.assign_lenders();
            }
            Message::Handover { home, part, records, ledger } => {
                self.take_over(from, home, part, records, ledger);
            }
            Message::Taken { home, part } => self.part_taken(from, home, part),
            Message::Declined { home, part } => self.part_declined(from, home, part),
            Message::Heir { home, heir } => self.heir_named(home, heir),
        }
    }

    /// The home answers a forwarded request.
    fn forward_answered(&mut self, from: Incarnation, answer: Answer) {
        let id = answer.id;
        if self.forwards.get(&id).is_none_or(|forward| forward.to != from) {
            return;
        }
        if let Some(entry) = self.table.get(id)
            && entry.state == RequestState::Moved
            && answer.last
        {
            self.record(id, answer.verdict);
        }
        self.end_forward(id, answer);
    }

    fn heir_named(&mut self, home: Incarnation, heir: Incarnation) {
        if self.legacies.contains_key(&home) {
            return;
        }
        self.peers.set_heir(home, heir);
        let to_home: Vec<RequestId> = self.forwards_to(home);
        for id in to_home {
            let Owner::Peer(to) = self.owner(id) else { continue };
            let now = self.now;
            if let Some(forward) = self.forwards.get_mut(&id) {
                forward.to = to;
                forward.resend = now;
                forward.wake = now;
            }
            self.forward_due(id);
        }
    }

    fn forwards_to(&self, peer: Incarnation) -> Vec<RequestId> {
        let to_peer = self.forwards.iter().filter(|(_, forward)| forward.to == peer);
        to_peer.map(|(id, _)| *id).collect()
    }

    /// A peer can be reached.
    pub(crate) fn peer_up(&mut self, peer: Peer) {
        let incarnation = peer.incarnation;
        if !self.peers.up(peer) {
            return;
        }
        if self.draining() {
            self.send(incarnation, Message::Draining);
        }
        let homes: Vec<Incarnation> = self.legacies.keys().copied().collect();
        for home in homes {
            self.send(incarnation, Message::Heir { home, heir: self.me });
        }
        for id in self.forwards_to(incarnation) {
            let now = self.now;
            if let Some(forward) = self.forwards.get_mut(&id) {
                forward.resend = now;
                forward.wake = now;
            }
            self.forward_due(id);
        }
        self.assign_lenders();
    }

    /// A peer cannot be reached, or has ended.
    pub(crate) fn peer_down(&mut self, peer: Incarnation, gone: bool) {
        if gone {
            self.peers.gone(peer);
            self.forget_borrower(peer);
            self.heir_lost(peer);
            self.orphan_forwards(peer);
        } else {
            self.peers.down(peer, self.now);
            let due = self.now + self.settings.reach_grace;
            self.lenders_due = Some(self.lenders_due.map_or(due, |earlier| earlier.min(due)));
            for id in self.forwards_to(peer) {
                self.start_timer(due, Timer::Forward(id));
                if let Some(forward) = self.forwards.get_mut(&id) {
                    forward.wake = forward.wake.min(due);
                }
            }
        }
        self.assign_lenders();
    }

    /// Requests that were forwarded to a home that has ended.
    fn orphan_forwards(&mut self, peer: Incarnation) {
        for id in self.forwards_to(peer) {
            let Some(forward) = self.forwards.remove(&id) else { continue };
            let mut call = forward.call;
            call.deadline = forward.deadline.since(self.now);
            for waiter in forward.waiters {
                self.call(waiter, call.clone());
            }
        }
    }
}

/// An answer that may still change.
pub(crate) fn open_answer(id: RequestId, reason: Reason) -> Answer {
    let mut answer = blank(id, Verdict::Unknown, reason);
    answer.last = false;
    answer.retry = Some(SOON);
    answer
}
