//! Drain for a planned stop: queued requests are handed over to an heir, running ones are finished,
//! and from then on the heir answers for the ids.
//!
//! The handover consists of numbered parts, which are sent again until the heir acknowledges them.
//! While requests are in progress, parts carry queued requests; once sent, these are never
//! dispatched here again unless the heir declines the part. When nothing is in progress, the last
//! parts carry the kept answers and then the ledgers. Only with the ledger does the heir answer for
//! ids that no part named individually.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Action;
use crate::Call;
use crate::HandoverRecord;
use crate::HandoverState;
use crate::LedgerImage;
use crate::Message;
use crate::Reason;
use crate::RequestState;
use crate::Router;
use crate::forwarding::InheritedHome;
use crate::forwarding::PartKey;
use crate::ledger::Ledger;
use crate::lifecycle::RequestEvent;
use crate::queue::Queue;
use crate::server::Lane;
use crate::table::Entry;
use crate::table::Waiter;
use model::Incarnation;
use model::RequestId;
use model::Time;
use model::Verdict;

/// Maximum size of one part in bytes.
const MAX_PART_BYTES: usize = 256 << 10;

/// Estimated size of a record in bytes without its body.
const RECORD_OVERHEAD_BYTES: usize = 256;

/// A part that was sent and not yet acknowledged.
#[derive(Debug)]
struct Part {
    home: Incarnation,
    message: Message,
    /// Queued requests in this part.
    moved: Vec<RequestId>,
    sent: Time,
}

/// State of a planned stop.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    /// The peer that takes over; `None` if there is none, and all requests are finished here.
    heir: Option<Incarnation>,
    /// Peers that declined a part or ended while they were the heir.
    excluded: Vec<Incarnation>,
    next_part: u64,
    /// Parts that the heir has not acknowledged, by number.
    unacked: BTreeMap<u64, Part>,
    /// Whether the kept answers were sent to the current heir.
    answers_sent: bool,
    /// Whether the ledgers were sent to the current heir. They follow once it has acknowledged
    /// everything else: otherwise the heir would consider an id settled whose request arrives
    /// later.
    ledgers_sent: bool,
    /// Heir by home, for each home whose ledger was sent and not declined. Unused ids of these
    /// homes are never dispatched here again.
    ledger_heirs: BTreeMap<Incarnation, Incarnation>,
    done: bool,
}

impl Router {
    /// Starts the drain.
    pub(crate) fn start_drain(&mut self) {
        if self.draining() {
            return;
        }
        self.drain = Some(Drain { heir: self.peers.choose_heir(&[]), ..Drain::default() });
        self.peers.stop_lending();
        for peer in self.peers.reachable() {
            self.send(peer, Message::Draining);
        }
        self.assign_lenders();
    }

    /// Whether queued requests are handed over to an heir instead of being dispatched.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.drain.as_ref().is_some_and(|drain| drain.heir.is_some())
    }

    /// The heir of an id that was handed over; `None` if this router still answers for it.
    pub(crate) fn heir_of(&self, id: RequestId) -> Option<Incarnation> {
        let drain = self.drain.as_ref()?;
        let moved = self.table.get(id).is_some_and(|entry| entry.state == RequestState::Moved);
        if moved { drain.heir } else { drain.ledger_heirs.get(&id.home).copied() }
    }

    /// Takes the next step of the drain if its conditions are met.
    pub(crate) fn advance_drain(&mut self) {
        let Some(drain) = &self.drain else { return };
        if drain.done {
            return;
        }
        if drain.heir.is_some() && !drain.ledgers_sent {
            self.hand_over_queued();
        }
        if self.in_progress() > 0 || !self.forwards.is_empty() || !self.tickets.is_empty() {
            return;
        }
        let Some(drain) = &self.drain else { return };
        match drain.heir {
            Some(_) if !drain.answers_sent => self.hand_over_answers(),
            Some(_) if !drain.ledgers_sent && drain.unacked.is_empty() => self.hand_over_ledgers(),
            Some(_) if !drain.ledgers_sent => {}
            Some(_) if drain.unacked.is_empty() => self.announce_heirs(),
            Some(_) => {}
            None => self.end_drain(),
        }
    }

    /// Number of requests that are neither settled nor handed over.
    fn in_progress(&self) -> usize {
        self.table.unsettled() - self.moved_count
    }

    fn hand_over_queued(&mut self) {
        let queues = self.pools.iter().flat_map(|pool| &pool.queues);
        let mut waiting: Vec<RequestId> = queues.flat_map(Queue::ids).collect();
        if !waiting.is_empty() {
            waiting.sort_unstable();
            self.hand_over(&waiting);
        }
    }

    /// Hands queued requests over to the heir.
    fn hand_over(&mut self, waiting: &[RequestId]) {
        let mut records: BTreeMap<Incarnation, Vec<HandoverRecord>> = BTreeMap::new();
        for id in waiting {
            let Some(entry) = self.table.get(*id) else { continue };
            let deadline = entry.deadline.since(self.now);
            let (body, exposed) = (entry.body.clone(), entry.exposed);
            let state = HandoverState::Queued { deadline, body, exposed };
            records.entry(id.home).or_default().push(self.handover_record(*id, entry, state));
        }
        for (home, records) in records {
            let moved: Vec<RequestId> = records.iter().map(|record| record.id).collect();
            for chunk in split_into_parts(records) {
                self.send_part(home, chunk, None);
            }
            for id in moved {
                self.mark_moved(id);
            }
        }
    }

    fn handover_record(
        &self,
        id: RequestId,
        entry: &Entry,
        state: HandoverState,
    ) -> HandoverRecord {
        HandoverRecord {
            id,
            service: self.catalog.services[entry.service].id.clone(),
            account: self.catalog.accounts[entry.account].id.clone(),
            digest: entry.digest,
            state,
        }
    }

    /// Marks a request as handed over: only the heir may dispatch it, and its callers wait here for
    /// a forwarded answer.
    fn mark_moved(&mut self, id: RequestId) {
        let Some(heir) = self.drain.as_ref().and_then(|drain| drain.heir) else { return };
        self.dequeue(id);
        self.advance(id, RequestEvent::HandOver);
        self.moved_count += 1;
        self.record_verdict(id, Verdict::Unknown);
        self.record_step(id, 0, None, None);
        self.set_request_timer(id);
        let now = self.now;
        let Some(entry) = self.table.get_mut(id) else { return };
        let waiters = std::mem::take(&mut entry.waiters);
        let body = entry.body.clone();
        let (service, account) = (entry.service, entry.account);
        let call = Call {
            id,
            service: self.catalog.services[service].id.clone(),
            account: self.catalog.accounts[account].id.clone(),
            deadline: entry.deadline.since(now),
            body,
        };
        for waiter in waiters {
            self.forward(waiter, call.clone(), heir);
        }
    }

    fn send_part(
        &mut self,
        home: Incarnation,
        records: Vec<HandoverRecord>,
        ledger: Option<LedgerImage>,
    ) {
        let now = self.now;
        let Some(drain) = self.drain.as_mut() else { return };
        let Some(heir) = drain.heir else { return };
        let part = drain.next_part;
        drain.next_part += 1;
        let queued =
            |record: &&HandoverRecord| matches!(record.state, HandoverState::Queued { .. });
        let moved = records.iter().filter(queued).map(|record| record.id).collect();
        let message = Message::Handover { home, part, records, ledger };
        drain.unacked.insert(part, Part { home, message: message.clone(), moved, sent: now });
        self.send(heir, message);
    }

    /// Hands the kept answers over to the heir once nothing is in progress.
    fn hand_over_answers(&mut self) {
        let mut records: BTreeMap<Incarnation, Vec<HandoverRecord>> = BTreeMap::new();
        for (id, entry) in self.table.iter() {
            if let Some(answer) = &entry.answer
                && !entry.adopted
            {
                let state = HandoverState::Done { answer: answer.clone() };
                records.entry(id.home).or_default().push(self.handover_record(*id, entry, state));
            }
        }
        for (home, records) in records {
            for chunk in split_into_parts(records) {
                self.send_part(home, chunk, None);
            }
        }
        if let Some(drain) = self.drain.as_mut() {
            drain.answers_sent = true;
        }
    }

    /// Hands the ledgers over once the heir has acknowledged all else; from then on it answers for
    /// all ids.
    fn hand_over_ledgers(&mut self) {
        let mut ledgers = vec![(self.me, self.ledger.image())];
        let complete = self.inherited_homes.iter().filter(|(_, inherited)| inherited.complete);
        ledgers.extend(complete.map(|(home, inherited)| (*home, inherited.ledger.image())));
        let Some(drain) = self.drain.as_mut() else { return };
        drain.ledgers_sent = true;
        let Some(heir) = drain.heir else { return };
        let ledger_heirs = drain.ledger_heirs.clone();
        ledgers.retain(|(home, _)| !ledger_heirs.contains_key(home));
        drain.ledger_heirs.extend(ledgers.iter().map(|(home, _)| (*home, heir)));
        for (home, image) in ledgers {
            self.send_part(home, Vec::new(), Some(image));
        }
    }

    fn announce_heirs(&mut self) {
        let ledger_heirs =
            self.drain.as_ref().map(|drain| drain.ledger_heirs.clone()).unwrap_or_default();
        for peer in self.peers.reachable() {
            for (home, heir) in &ledger_heirs {
                self.send(peer, Message::Heir { home: *home, heir: *heir });
            }
        }
        self.end_drain();
    }

    fn end_drain(&mut self) {
        if let Some(drain) = self.drain.as_mut() {
            drain.done = true;
        }
        self.out.push(Action::Drained);
    }

    /// Sends parts again that the heir has not acknowledged in time.
    pub(crate) fn resend_handover(&mut self) {
        let (now, pause) = (self.now, self.settings.resend_interval);
        let Some(drain) = self.drain.as_mut() else { return };
        let Some(heir) = drain.heir else { return };
        let late = drain.unacked.values_mut().filter(|part| now.since(part.sent) >= pause);
        let mut messages = Vec::new();
        for part in late {
            part.sent = now;
            messages.push(part.message.clone());
        }
        for message in messages {
            self.send(heir, message);
        }
    }

    /// Handles the heir's acknowledgement of a part.
    pub(crate) fn handle_part_taken(&mut self, from: Incarnation, home: Incarnation, part: u64) {
        let Some(drain) = self.drain.as_mut().filter(|drain| drain.heir == Some(from)) else {
            return;
        };
        if drain.unacked.get(&part).is_some_and(|open| open.home == home) {
            drain.unacked.remove(&part);
        }
    }

    /// Handles a declined part: its requests are queued here again, and another heir is chosen.
    pub(crate) fn handle_part_declined(&mut self, from: Incarnation, home: Incarnation, part: u64) {
        let Some(drain) = self.drain.as_mut().filter(|drain| drain.heir == Some(from)) else {
            return;
        };
        let Some(open) = drain.unacked.remove(&part) else { return };
        assert_eq!(open.home, home, "handover part {part} belongs to another home");
        if matches!(open.message, Message::Handover { ledger: Some(_), .. }) {
            drain.ledger_heirs.remove(&home);
        }
        for id in open.moved {
            self.reclaim(id);
        }
        self.change_heir(from);
    }

    /// Queues a request here again that was handed over but declined.
    fn reclaim(&mut self, id: RequestId) {
        let Some(entry) = self.table.get(id) else { return };
        if entry.state != RequestState::Moved {
            return;
        }
        self.moved_count -= 1;
        self.clear_verdict(id);
        let waiters = self.forwards.remove(&id).map(|forward| forward.waiters);
        if let Some(entry) = self.table.get_mut(id) {
            entry.waiters = waiters.unwrap_or_default();
        }
        self.requeue(id);
        self.set_request_timer(id);
    }

    fn clear_verdict(&mut self, id: RequestId) {
        if id.home == self.me {
            self.ledger.clear_verdict(id.sequence);
        } else if let Some(inherited) = self.inherited_homes.get_mut(&id.home) {
            inherited.ledger.clear_verdict(id.sequence);
        }
    }

    /// Handles the end of the heir: requests handed over to it may have run.
    pub(crate) fn handle_heir_end(&mut self, peer: Incarnation) {
        let lost = self.drain.as_ref().is_some_and(|d| d.heir == Some(peer) && !d.done);
        if !lost {
            return;
        }
        self.change_heir(peer);
    }

    /// Chooses another heir, and settles as unknown the requests that the old one may have run.
    fn change_heir(&mut self, old: Incarnation) {
        let Some(drain) = self.drain.as_mut() else { return };
        drain.excluded.push(old);
        drain.unacked.clear();
        drain.answers_sent = false;
        drain.ledgers_sent = false;
        let excluded = drain.excluded.clone();
        let heir = self.peers.choose_heir(&excluded);
        if let Some(drain) = self.drain.as_mut() {
            drain.heir = heir;
        }
        let moved = |(_, entry): &(&RequestId, &Entry)| entry.state == RequestState::Moved;
        let moved: Vec<RequestId> = self.table.iter().filter(moved).map(|(id, _)| *id).collect();
        for id in moved {
            self.moved_count -= 1;
            let waiters = self.forwards.remove(&id).map(|forward| forward.waiters);
            if let Some(entry) = self.table.get_mut(id) {
                entry.waiters = waiters.unwrap_or_default();
                entry.exposed = true;
            }
            self.settle_unknown(id, Reason::HomeGone);
        }
        for pool in 0..self.pools.len() {
            self.dispatch_queued(pool);
        }
    }

    /// Handles one part of the handover from a stopping home, as its heir.
    pub(crate) fn handle_handover(
        &mut self,
        from: Incarnation,
        home: Incarnation,
        part: u64,
        records: Vec<HandoverRecord>,
        ledger: Option<LedgerImage>,
    ) {
        let known = self.inherited_homes.get(&home);
        let key = PartKey { from, part };
        if known.is_some_and(|inherited| inherited.parts.contains(&key)) {
            return self.send(from, Message::Taken { home, part });
        }
        if self.draining() || home == self.me {
            return self.send(from, Message::Declined { home, part });
        }
        let keep = self.settings.ledger_ids;
        let inherited = self.inherited_homes.entry(home).or_insert_with(|| InheritedHome {
            ledger: Ledger::new(keep),
            complete: false,
            parts: BTreeSet::new(),
        });
        inherited.parts.insert(key);
        if let Some(image) = &ledger {
            inherited.ledger.merge(image);
            inherited.complete = true;
        }
        for record in records {
            self.add_record(record);
        }
        self.send(from, Message::Taken { home, part });
        if ledger.is_some() {
            for peer in self.peers.reachable() {
                self.send(peer, Message::Heir { home, heir: self.me });
            }
        }
    }

    fn add_record(&mut self, record: HandoverRecord) {
        let id = record.id;
        let service = self.catalog.service(&record.service);
        let account = self.catalog.account(&record.account);
        let (Some(service), Some(account)) = (service, account) else {
            let verdict = match &record.state {
                HandoverState::Queued { .. } => Verdict::NotRun,
                HandoverState::Done { answer } => answer.verdict,
            };
            return self.record_verdict(id, verdict);
        };
        if self.table.get(id).is_some() {
            return;
        }
        let mut entry = self.inherited_entry(service, account, record.digest);
        match record.state {
            HandoverState::Queued { deadline, body, exposed } => {
                entry.body = body;
                entry.exposed = exposed;
                entry.waiters = self.take_forward_waiters(id);
                entry.deadline = self.now + deadline;
                self.table.insert(id, entry);
                self.enqueue(id);
                self.dispatch_queued_for(id);
                self.set_request_timer(id);
            }
            HandoverState::Done { answer } => {
                entry.exposed = answer.verdict == Verdict::Unknown;
                entry.state = match answer.verdict {
                    Verdict::Ran => RequestState::Answered,
                    Verdict::NotRun => RequestState::Refused,
                    Verdict::Unknown => RequestState::Lost,
                };
                self.record_verdict(id, answer.verdict);
                self.table.insert(id, entry);
                self.table.store_answer(id, answer.clone(), self.now);
                for waiter in self.take_forward_waiters(id) {
                    self.deliver(waiter, answer.clone());
                }
            }
        }
    }

    /// Removes and returns the waiters of a request that was forwarded to the stopping home.
    fn take_forward_waiters(&mut self, id: RequestId) -> Vec<Waiter> {
        self.forwards.remove(&id).map(|forward| forward.waiters).unwrap_or_default()
    }

    fn inherited_entry(&self, service: usize, account: usize, digest: u128) -> Entry {
        Entry {
            service,
            pool: self.catalog.services[service].pool,
            account,
            digest,
            state: self.charts.request.initial(),
            body: bytes::Bytes::new(),
            arrived: self.now,
            deadline: self.now,
            lane: Lane::Interactive,
            cost: 0,
            waiters: Vec::<Waiter>::new(),
            attempts: Vec::new(),
            attempt_count: 0,
            last_attempt: 0,
            straggler_stops: 0,
            exposed: false,
            adopted: false,
            resume_at: self.now,
            timer_at: None,
            answer: None,
            settled_at: self.now,
            steps: Vec::new(),
        }
    }
}

/// Splits records into parts of at most [`MAX_PART_BYTES`], more only for a single larger record.
fn split_into_parts(records: Vec<HandoverRecord>) -> Vec<Vec<HandoverRecord>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let body = match &record.state {
            HandoverState::Queued { body, .. } => body.len(),
            HandoverState::Done { answer } => answer.body.len(),
        };
        bytes += body + RECORD_OVERHEAD_BYTES;
        if bytes > MAX_PART_BYTES {
            parts.push(Vec::new());
            bytes = body + RECORD_OVERHEAD_BYTES;
        }
        if let Some(part) = parts.last_mut() {
            part.push(record);
        }
    }
    parts
}
