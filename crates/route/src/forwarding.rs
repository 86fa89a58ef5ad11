//! Ownership of requests, forwarding of requests and verdict queries to their home, and changes of
//! peer reachability.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Answer;
use crate::Call;
use crate::Message;
use crate::Peer;
use crate::Reason;
use crate::RequestState;
use crate::Router;
use crate::answers::empty_answer;
use crate::ledger::IdStatus;
use crate::ledger::Ledger;
use crate::peers::Reach;
use crate::router::Timer;
use crate::table::Entry;
use crate::table::MAX_WAITERS;
use crate::table::Waiter;
use model::Incarnation;
use model::RequestId;
use model::Time;
use model::Verdict;

/// Time that the home's answer may take beyond the caller's deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Longest interval at which a request is forwarded again.
const MAX_RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a verdict query without the home's answer is given up.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Retry delay advised with an answer that is not final.
const PROVISIONAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Who may dispatch the requests of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This router.
    Local,
    /// A peer: the home or its heir.
    Peer(Incarnation),
    /// Nobody: the home has ended without an heir, or was never seen.
    Ended {
        /// Whether the home has certainly ended.
        certain: bool,
    },
    /// Not known yet, as a handover is in progress.
    HandingOver,
}

/// A request that was forwarded to its home and waits for the answer.
#[derive(Debug)]
pub(crate) struct Forward {
    pub(crate) to: Incarnation,
    pub(crate) call: Call,
    pub(crate) digest: u128,
    pub(crate) deadline: Time,
    pub(crate) waiters: Vec<Waiter>,
    resend_interval: Duration,
    resend_at: Time,
    timer_at: Time,
}

/// A verdict query that was sent to the home and waits for the answer.
#[derive(Debug)]
pub(crate) struct Inquiry {
    to: Incarnation,
    waiters: Vec<Waiter>,
    until: Time,
}

/// Ids of a stopped home that this router answers for.
#[derive(Debug)]
pub(crate) struct InheritedHome {
    pub(crate) ledger: Ledger,
    /// Whether the handover is complete, that is, includes the ledger.
    pub(crate) complete: bool,
    /// Parts that were applied.
    pub(crate) parts: BTreeSet<PartKey>,
}

/// Identifies a part of a handover; each sender numbers its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PartKey {
    pub(crate) from: Incarnation,
    pub(crate) part: u64,
}

impl Router {
    /// Who may dispatch the request. Not valid for a request in the table here, unless handed over.
    pub(crate) fn owner(&self, id: RequestId) -> Owner {
        let moved = |entry: &Entry| entry.state == RequestState::Moved;
        let moved = self.moved_count > 0 && self.table.get(id).is_some_and(moved);
        if moved || id.home == self.me || self.inherited_homes.contains_key(&id.home) {
            return self.local_owner(id);
        }
        let owner = self.peers.resolve_heir(id.home);
        if owner == self.me {
            return Owner::HandingOver;
        }
        match self.peers.reach(owner) {
            Reach::Up | Reach::Down(_) => Owner::Peer(owner),
            Reach::Ended => Owner::Ended { certain: true },
            Reach::Unknown if owner != id.home => Owner::Peer(owner),
            Reach::Unknown => Owner::Ended { certain: self.has_seen_all_peers() },
        }
    }

    /// Whether this router has run long enough to have seen every running peer.
    fn has_seen_all_peers(&self) -> bool {
        self.now.since(self.started) > self.settings.list_lag
    }

    /// Owner of an id whose home is this router or was taken over by it.
    fn local_owner(&self, id: RequestId) -> Owner {
        let complete =
            self.inherited_homes.get(&id.home).is_none_or(|inherited| inherited.complete);
        match self.heir_of(id) {
            Some(heir) if self.peers.reach(heir) == Reach::Ended => Owner::Ended { certain: true },
            Some(heir) => Owner::Peer(heir),
            None if complete => Owner::Local,
            None if self.peers.reach(id.home) == Reach::Ended => Owner::Ended { certain: true },
            None => Owner::HandingOver,
        }
    }

    /// Answers that the home cannot be asked now. The home itself gets no such answer.
    pub(crate) fn answer_home_unreachable(&mut self, waiter: Waiter, id: RequestId) {
        if waiter == Waiter::Peer(id.home) {
            return;
        }
        let answer = provisional_answer(id, Reason::HomeUnreachable);
        self.deliver(waiter, answer);
    }

    /// Forwards a request to its home, or joins one that is already forwarded.
    pub(crate) fn forward(&mut self, waiter: Waiter, call: Call, to: Incarnation) {
        let id = call.id;
        if waiter == Waiter::Peer(to) {
            return;
        }
        let digest = call.digest();
        let deadline = self.now + call.deadline;
        if let Some(forward) = self.forwards.get_mut(&id) {
            if forward.digest != digest {
                let mut answer = empty_answer(id, Verdict::Unknown, Reason::Conflict);
                answer.last = false;
                return self.deliver(waiter, answer);
            }
            if !forward.waiters.contains(&waiter) && forward.waiters.len() < MAX_WAITERS {
                forward.waiters.push(waiter);
            }
            forward.deadline = forward.deadline.max(deadline);
            return;
        }
        let resend_interval = self.settings.resend_interval;
        let forward = Forward {
            to,
            call,
            digest,
            deadline,
            waiters: vec![waiter],
            resend_interval,
            resend_at: self.now,
            timer_at: self.now,
        };
        self.forwards.insert(id, forward);
        self.handle_forward_timer(id);
    }

    /// Handles the timer of a forwarded request: sends it again, or gives up when the deadline has
    /// passed or the home has been unreachable for too long.
    pub(crate) fn handle_forward_timer(&mut self, id: RequestId) {
        let Some(forward) = self.forwards.get(&id) else { return };
        if self.now < forward.timer_at {
            return;
        }
        let reach = self.peers.reach(forward.to);
        let grace = self.settings.reach_grace;
        if self.now >= forward.deadline + ANSWER_GRACE {
            let reason = match reach {
                Reach::Up => Reason::DeadlinePassed,
                _ => Reason::HomeUnreachable,
            };
            return self.end_forward(id, provisional_answer(id, reason));
        }
        if let Reach::Down(since) = reach
            && self.now >= since + grace
        {
            return self.end_forward(id, provisional_answer(id, Reason::HomeUnreachable));
        }
        let now = self.now;
        let Some(forward) = self.forwards.get_mut(&id) else { return };
        let due = now >= forward.resend_at;
        if due {
            forward.resend_at = now + forward.resend_interval;
            forward.resend_interval = (forward.resend_interval * 2).min(MAX_RESEND_INTERVAL);
        }
        let down = match reach {
            Reach::Down(since) => since + grace,
            _ => Time::NEVER,
        };
        forward.timer_at = forward.resend_at.min(forward.deadline + ANSWER_GRACE).min(down);
        let (to, wake) = (forward.to, forward.timer_at);
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

    /// Removes a waiter from a forwarded request, and cancels it at the home when none is left.
    /// Returns whether the request was forwarded.
    pub(crate) fn remove_forward_waiter(&mut self, waiter: Waiter, id: RequestId) -> bool {
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

    /// Answers a verdict query, if need be by asking the home.
    pub(crate) fn query(&mut self, waiter: Waiter, id: RequestId) {
        if let Some(answer) = self.current_answer(id) {
            return self.answer_query(waiter, answer);
        }
        match self.owner(id) {
            Owner::Local => {
                let answer = match self.id_status(id) {
                    IdStatus::Unused => provisional_answer(id, Reason::Unused),
                    IdStatus::NotIssued if id.home != self.me => {
                        provisional_answer(id, Reason::HomeUnreachable)
                    }
                    IdStatus::NotIssued => empty_answer(id, Verdict::NotRun, Reason::NotIssued),
                    IdStatus::TooOld => empty_answer(id, Verdict::Unknown, Reason::TooOld),
                    IdStatus::Settled(verdict) => self.verdict_answer(id, verdict),
                };
                self.answer_query(waiter, answer);
            }
            Owner::Peer(to) if waiter != Waiter::Peer(to) => self.start_inquiry(waiter, id, to),
            Owner::Ended { certain } => {
                let mut answer = provisional_answer(id, Reason::HomeGone);
                answer.last = certain;
                self.answer_query(waiter, answer);
            }
            Owner::Peer(_) | Owner::HandingOver => {
                self.answer_query(waiter, provisional_answer(id, Reason::HomeUnreachable));
            }
        }
    }

    /// The answer, or the state as a provisional answer, of a request in the table.
    fn current_answer(&self, id: RequestId) -> Option<Answer> {
        let entry = self.table.get(id)?;
        let reason = match entry.state {
            RequestState::Moved => return None,
            RequestState::Queued => Reason::Queued,
            _ => Reason::Running,
        };
        Some(entry.answer.clone().unwrap_or_else(|| provisional_answer(id, reason)))
    }

    fn answer_query(&mut self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Ticket(_) => self.deliver(waiter, answer),
            Waiter::Peer(peer) => self.send(peer, Message::Told { answer }),
        }
    }

    fn start_inquiry(&mut self, waiter: Waiter, id: RequestId, to: Incarnation) {
        let until = self.now + INQUIRY_TIMEOUT;
        let new = Inquiry { to, waiters: Vec::new(), until };
        let inquiry = self.inquiries.entry(id).or_insert(new);
        inquiry.to = to;
        if !inquiry.waiters.contains(&waiter) && inquiry.waiters.len() < MAX_WAITERS {
            inquiry.waiters.push(waiter);
        }
        if self.is_up(to) {
            self.send(to, Message::Query { id });
            self.start_timer(self.now + self.settings.resend_interval, Timer::Inquiry(id));
        } else {
            self.end_inquiry(id, provisional_answer(id, Reason::HomeUnreachable));
        }
    }

    /// Handles the timer of a verdict query: sends it again, or gives up.
    pub(crate) fn handle_inquiry_timer(&mut self, id: RequestId) {
        let Some(inquiry) = self.inquiries.get(&id) else { return };
        let (to, until) = (inquiry.to, inquiry.until);
        if self.now >= until || !self.is_up(to) {
            return self.end_inquiry(id, provisional_answer(id, Reason::HomeUnreachable));
        }
        self.send(to, Message::Query { id });
        self.start_timer(self.now + self.settings.resend_interval, Timer::Inquiry(id));
    }

    fn end_inquiry(&mut self, id: RequestId, answer: Answer) {
        let Some(inquiry) = self.inquiries.remove(&id) else { return };
        for waiter in inquiry.waiters {
            self.answer_query(waiter, answer.clone());
        }
    }

    /// Handles a message from a peer.
    pub(crate) fn receive(&mut self, from: Incarnation, message: Message) {
        match message {
            Message::Forward { call } => self.call(Waiter::Peer(from), call),
            Message::Cancel { id } => self.handle_cancel(from, id),
            Message::Query { id } => self.query(Waiter::Peer(from), id),
            Message::Answer { answer } => self.handle_forward_answer(from, answer),
            Message::Told { answer } => self.end_inquiry(answer.id, answer),
            Message::Ask { wants } => self.handle_ask(from, wants),
            Message::Grant { grants } => self.handle_grants(from, grants),
            Message::Recall { backend, keep } => self.handle_recall(from, &backend, keep),
            Message::Signal { backend, sign } => self.handle_peer_signal(from, &backend, sign),
            Message::Draining => {
                self.peers.mark_draining(from);
                self.assign_lenders();
            }
            Message::Handover { home, part, records, ledger } => {
                self.handle_handover(from, home, part, records, ledger);
            }
            Message::Taken { home, part } => self.handle_part_taken(from, home, part),
            Message::Declined { home, part } => self.handle_part_declined(from, home, part),
            Message::Heir { home, heir } => self.handle_heir(home, heir),
        }
    }

    /// Handles the home's answer to a forwarded request.
    fn handle_forward_answer(&mut self, from: Incarnation, answer: Answer) {
        let id = answer.id;
        if self.forwards.get(&id).is_none_or(|forward| forward.to != from) {
            return;
        }
        if let Some(entry) = self.table.get(id)
            && entry.state == RequestState::Moved
            && answer.last
        {
            self.record_verdict(id, answer.verdict);
        }
        self.end_forward(id, answer);
    }

    /// Records the heir of a home and sends requests forwarded to that home to the heir.
    fn handle_heir(&mut self, home: Incarnation, heir: Incarnation) {
        if self.inherited_homes.contains_key(&home) {
            return;
        }
        self.peers.set_heir(home, heir);
        let to_home: Vec<RequestId> = self.forwards_to(home);
        for id in to_home {
            let Owner::Peer(to) = self.owner(id) else { continue };
            let now = self.now;
            if let Some(forward) = self.forwards.get_mut(&id) {
                forward.to = to;
                forward.resend_at = now;
                forward.timer_at = now;
            }
            self.handle_forward_timer(id);
        }
    }

    fn forwards_to(&self, peer: Incarnation) -> Vec<RequestId> {
        let to_peer = self.forwards.iter().filter(|(_, forward)| forward.to == peer);
        to_peer.map(|(id, _)| *id).collect()
    }

    /// Handles a peer that became reachable.
    pub(crate) fn handle_peer_up(&mut self, peer: Peer) {
        let incarnation = peer.incarnation;
        if !self.peers.mark_up(peer) {
            return;
        }
        if self.draining() {
            self.send(incarnation, Message::Draining);
        }
        let homes: Vec<Incarnation> = self.inherited_homes.keys().copied().collect();
        for home in homes {
            self.send(incarnation, Message::Heir { home, heir: self.me });
        }
        for id in self.forwards_to(incarnation) {
            let now = self.now;
            if let Some(forward) = self.forwards.get_mut(&id) {
                forward.resend_at = now;
                forward.timer_at = now;
            }
            self.handle_forward_timer(id);
        }
        self.assign_lenders();
    }

    /// Handles a peer that became unreachable or, if `gone`, has ended.
    pub(crate) fn handle_peer_down(&mut self, peer: Incarnation, gone: bool) {
        if gone {
            self.peers.mark_ended(peer);
            self.remove_borrower(peer);
            self.handle_heir_end(peer);
            self.reroute_forwards(peer);
        } else {
            self.peers.mark_down(peer, self.now);
            let due = self.now + self.settings.reach_grace;
            self.reassign_at = Some(self.reassign_at.map_or(due, |earlier| earlier.min(due)));
            for id in self.forwards_to(peer) {
                self.start_timer(due, Timer::Forward(id));
                if let Some(forward) = self.forwards.get_mut(&id) {
                    forward.timer_at = forward.timer_at.min(due);
                }
            }
        }
        self.assign_lenders();
    }

    /// Handles again the requests that were forwarded to a home that has ended.
    fn reroute_forwards(&mut self, peer: Incarnation) {
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

/// An answer that is not final: the verdict is unknown so far.
pub(crate) fn provisional_answer(id: RequestId, reason: Reason) -> Answer {
    let mut answer = empty_answer(id, Verdict::Unknown, reason);
    answer.last = false;
    answer.retry = Some(PROVISIONAL_RETRY_DELAY);
    answer
}
