//! Which waiting request goes next, and to which backend server.

use crate::Action;
use crate::Reason;
use crate::Reuse;
use crate::Router;
use crate::Step;
use crate::life::RequestEvent;
use crate::seat::Lane;
use crate::seat::Near;
use crate::seat::Seat;
use crate::table::Attempt;
use crate::table::Entry;
use model::RequestId;

/// Bytes of headers that a request takes besides its body.
const HEADER_BYTES: usize = 512;

/// Tries to find a backend server whose credits have not lapsed.
const TRIES: u32 = 8;

impl Router {
    pub(crate) fn pump_for(&mut self, id: RequestId) {
        if let Some(pool) = self.table.get(id).map(|entry| entry.pool) {
            self.pump(pool);
        }
    }

    /// Dispatches what waits, as far as there are slots.
    pub(crate) fn pump(&mut self, pool: usize) {
        if self.pools[pool].waiting() == 0 || self.hands_over() {
            return;
        }
        while let Some(id) = self.next_request(pool) {
            if self.is_hopeless(id) {
                self.refuse(id, Reason::Expired, Some(std::time::Duration::ZERO));
                continue;
            }
            let Some(entry) = self.table.get(id) else { break };
            let lane = entry.lane;
            let Some(seat) = self.choose(id, lane, None) else { break };
            self.dequeue(id);
            self.dispatch(id, seat);
        }
        if self.pools[pool].waiting() > 0 {
            self.seek_credits(pool);
        }
    }

    /// The waiting request that goes next, if a slot may be free for it.
    fn next_request(&mut self, pool: usize) -> Option<RequestId> {
        let firm_bound = self.straggler_bound(pool);
        let pool = &mut self.pools[pool];
        if pool.queues[Lane::Interactive as usize].len() > 0 {
            let free = pool.has_free(Lane::Interactive);
            let next = pool.queues[Lane::Interactive as usize].next();
            return next.filter(|_| free).map(|waiting| waiting.id);
        }
        if !pool.has_free(Lane::Batch) {
            return None;
        }
        let batch = pool.queues[Lane::Batch as usize].next();
        let firm = match pool.firm < firm_bound {
            true => pool.queues[Lane::Firm as usize].next(),
            false => None,
        };
        [batch, firm].into_iter().flatten().min().map(|waiting| waiting.id)
    }

    /// Whether a request could not be answered before its deadline any more.
    fn is_hopeless(&self, id: RequestId) -> bool {
        let Some(entry) = self.table.get(id) else { return false };
        let run = match entry.lane {
            Lane::Interactive => self.names.services[entry.service].run.mean(),
            Lane::Batch | Lane::Firm => std::time::Duration::ZERO,
        };
        self.now + run >= entry.deadline
    }

    /// The best backend server with a free slot, other than `not`.
    pub(crate) fn choose(
        &mut self,
        id: RequestId,
        lane: Lane,
        not: Option<usize>,
    ) -> Option<usize> {
        for _ in 0..TRIES {
            let seat = self.candidate(id, lane, not)?;
            let free = self.seats[seat].free(self.settings.reserved_percent, self.now);
            let open = if lane.is_batch() { free.1 } else { free.0 };
            if open > 0 {
                return Some(seat);
            }
            self.refresh(seat);
        }
        None
    }

    fn candidate(&mut self, id: RequestId, lane: Lane, not: Option<usize>) -> Option<usize> {
        let entry = self.table.get(id)?;
        let pool = &self.pools[entry.pool];
        let near = pool.best(lane, Near::Zone, not).or_else(|| pool.best(lane, Near::Region, not));
        if near.is_some() {
            return near;
        }
        let far = pool.best(lane, Near::Remote, not)?;
        let waited = self.now.since(entry.arrived) >= self.settings.link_wait;
        let only = pool.open_near() == 0;
        let bytes = (entry.body.len() + HEADER_BYTES) as u64;
        ((waited || only) && self.link.take(self.now, bytes)).then_some(far)
    }

    /// Sends a request to a backend server.
    pub(crate) fn dispatch(&mut self, id: RequestId, seat: usize) {
        self.turn += 1;
        let turn = self.turn;
        let Some(entry) = self.table.get_mut(id) else { return };
        self.charts.request.advance(&mut entry.state, RequestEvent::Dispatch);
        let service = &self.names.services[entry.service];
        let target = &mut self.seats[seat];
        entry.tried += 1;
        entry.number += 1;
        let attempt = Attempt {
            number: entry.number,
            seat,
            started: self.now,
            lane: entry.lane,
            straggler: false,
        };
        check_dispatch(id, entry, service.policy.idempotent, target);
        let action = Action::Dispatch {
            id,
            attempt: attempt.number,
            backend: target.id.clone(),
            service: service.id.clone(),
            body: entry.body.clone(),
            timeout: service.policy.timeout,
            reuse: if service.policy.idempotent { Reuse::Any } else { Reuse::Proven },
        };
        if target.near == Near::Remote {
            self.totals.link_bytes += (entry.body.len() + HEADER_BYTES) as u64;
        }
        target.turn = turn;
        let cost = i64::try_from(entry.cost).unwrap_or(i64::MAX);
        let (account, lane, pool, number) = (entry.account, entry.lane, entry.pool, attempt.number);
        entry.note(Step {
            at: self.now,
            state: entry.state,
            attempt: number,
            backend: Some(target.id.clone()),
            reason: None,
        });
        entry.attempts.push(attempt);
        self.pools[pool].queues[lane as usize].charge(account, cost);
        self.running += 1;
        self.occupy(seat, lane);
        self.out.push(action);
        self.set_request_timer(id);
    }

    /// Starts a second attempt beside a slow one.
    pub(crate) fn hedge(&mut self, id: RequestId) {
        let Some(entry) = self.table.get(id) else { return };
        let Some(first) = entry.attempts.first().map(|attempt| attempt.seat) else { return };
        let (lane, pool, service) = (entry.lane, entry.pool, entry.service);
        if self.pools[pool].waiting() > 0 || self.hands_over() {
            return;
        }
        let Some(seat) = self.choose(id, lane, Some(first)) else { return };
        if self.names.services[service].retries.take() {
            self.totals.hedges += 1;
            self.dispatch(id, seat);
        }
    }

    fn occupy(&mut self, seat: usize, lane: Lane) {
        let target = &mut self.seats[seat];
        target.used += 1;
        target.credit.peak = target.credit.peak.max(target.used);
        let pool = &mut self.pools[target.pool];
        pool.used[usize::from(lane.is_batch())] += 1;
        target.used_batch += u32::from(lane.is_batch());
        pool.firm += u32::from(lane == Lane::Firm);
        self.refresh(seat);
    }

    /// Frees the slot of an attempt that is over.
    pub(crate) fn release(&mut self, attempt: &Attempt) {
        let seat = &mut self.seats[attempt.seat];
        assert!(seat.used > 0, "backend {} has a slot freed twice", seat.id);
        seat.used -= 1;
        seat.used_batch -= u32::from(attempt.lane.is_batch());
        let pool = &mut self.pools[seat.pool];
        pool.used[usize::from(attempt.lane.is_batch())] -= 1;
        pool.firm -= u32::from(attempt.lane == Lane::Firm);
        pool.stragglers -= u32::from(attempt.straggler);
        self.running -= 1;
        self.give_back(attempt.seat);
        self.refresh(attempt.seat);
    }
}

/// Asserts that a request may be dispatched, and to this backend server.
fn check_dispatch(id: RequestId, entry: &Entry, idempotent: bool, seat: &Seat) {
    let free = !entry.exposed && entry.attempts.is_empty();
    assert!(idempotent || free, "non-idempotent request {id} may have run already");
    assert!(seat.state.is_open() && seat.listed, "backend {} takes no work", seat.id);
    assert!(seat.used < seat.slots, "backend {} has no slot free", seat.id);
}
