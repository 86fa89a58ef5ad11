//! Dispatch: choice of the next queued request and of the backend server that runs it.

use crate::Action;
use crate::Reason;
use crate::Reuse;
use crate::Router;
use crate::Step;
use crate::lifecycle::RequestEvent;
use crate::server::Lane;
use crate::server::Locality;
use crate::server::Server;
use crate::table::Attempt;
use crate::table::Entry;
use model::RequestId;

/// Estimated size of a request in bytes without its body.
const HEADER_BYTES: usize = 512;

/// Maximum number of candidates examined for a backend server whose credits have not expired.
const MAX_CANDIDATES: u32 = 8;

impl Router {
    /// Dispatches queued requests of the pool that a request belongs to.
    pub(crate) fn dispatch_queued_for(&mut self, id: RequestId) {
        if let Some(pool) = self.table.get(id).map(|entry| entry.pool) {
            self.dispatch_queued(pool);
        }
    }

    /// Dispatches queued requests of a pool while slots are free, and requests credits for the
    /// rest.
    pub(crate) fn dispatch_queued(&mut self, pool: usize) {
        if self.pools[pool].waiting() == 0 || self.is_handing_over() {
            return;
        }
        while let Some(id) = self.next_request(pool) {
            if self.cannot_meet_deadline(id) {
                self.refuse(id, Reason::Expired, Some(std::time::Duration::ZERO));
                continue;
            }
            let Some(entry) = self.table.get(id) else { break };
            let lane = entry.lane;
            let Some(server) = self.choose_server(id, lane, None) else { break };
            self.dequeue(id);
            self.dispatch(id, server);
        }
        if self.pools[pool].waiting() > 0 {
            self.request_credits(pool);
        }
    }

    /// The queued request that goes next, if a slot may be free for it. Interactive requests go
    /// first; batch requests of both lanes go by deadline.
    fn next_request(&mut self, pool: usize) -> Option<RequestId> {
        let once_bound = self.straggler_bound(pool);
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
        let batch_once = match pool.once_used < once_bound {
            true => pool.queues[Lane::BatchOnce as usize].next(),
            false => None,
        };
        [batch, batch_once].into_iter().flatten().min().map(|waiting| waiting.id)
    }

    /// Whether a request can no longer be answered before its deadline. For batch work the run time
    /// is not taken into account.
    fn cannot_meet_deadline(&self, id: RequestId) -> bool {
        let Some(entry) = self.table.get(id) else { return false };
        let run = match entry.lane {
            Lane::Interactive => self.catalog.services[entry.service].run_time.mean(),
            Lane::Batch | Lane::BatchOnce => std::time::Duration::ZERO,
        };
        self.now + run >= entry.deadline
    }

    /// The best backend server with a free slot, other than `except`.
    pub(crate) fn choose_server(
        &mut self,
        id: RequestId,
        lane: Lane,
        except: Option<usize>,
    ) -> Option<usize> {
        for _ in 0..MAX_CANDIDATES {
            let server = self.candidate(id, lane, except)?;
            let free = self.servers[server].free(self.settings.reserved_percent, self.now);
            let open = if lane.is_batch() { free.1 } else { free.0 };
            if open > 0 {
                return Some(server);
            }
            self.update_indexes(server);
        }
        None
    }

    /// The best indexed backend server: of the zone, else of the region. Another region is used
    /// only after a wait or if this one has none, and within the link budget.
    fn candidate(&mut self, id: RequestId, lane: Lane, except: Option<usize>) -> Option<usize> {
        let entry = self.table.get(id)?;
        let pool = &self.pools[entry.pool];
        let near = pool
            .best(lane, Locality::Zone, except)
            .or_else(|| pool.best(lane, Locality::Region, except));
        if near.is_some() {
            return near;
        }
        let far = pool.best(lane, Locality::Remote, except)?;
        let waited = self.now.since(entry.arrived) >= self.settings.link_wait;
        let only_remote = pool.open_in_region() == 0;
        let bytes = (entry.body.len() + HEADER_BYTES) as u64;
        ((waited || only_remote) && self.link.take(self.now, bytes)).then_some(far)
    }

    /// Starts an attempt at a backend server.
    pub(crate) fn dispatch(&mut self, id: RequestId, server: usize) {
        self.dispatch_count += 1;
        let last_dispatch = self.dispatch_count;
        let Some(entry) = self.table.get_mut(id) else { return };
        self.charts.request.advance(&mut entry.state, RequestEvent::Dispatch);
        let service = &self.catalog.services[entry.service];
        let target = &mut self.servers[server];
        entry.attempt_count += 1;
        entry.last_attempt += 1;
        let attempt = Attempt {
            number: entry.last_attempt,
            server,
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
        if target.locality == Locality::Remote {
            self.totals.link_bytes += (entry.body.len() + HEADER_BYTES) as u64;
        }
        target.last_dispatch = last_dispatch;
        let cost = i64::try_from(entry.cost).unwrap_or(i64::MAX);
        let (account, lane, pool, number) = (entry.account, entry.lane, entry.pool, attempt.number);
        entry.push_step(Step {
            at: self.now,
            state: entry.state,
            attempt: number,
            backend: Some(target.id.clone()),
            reason: None,
        });
        entry.attempts.push(attempt);
        self.pools[pool].queues[lane as usize].charge(account, cost);
        self.running += 1;
        self.occupy(server, lane);
        self.out.push(action);
        self.set_request_timer(id);
    }

    /// Starts a second, hedging attempt in parallel to a slow one, if the retry budget allows it
    /// and no request waits.
    pub(crate) fn hedge(&mut self, id: RequestId) {
        let Some(entry) = self.table.get(id) else { return };
        let Some(first) = entry.attempts.first().map(|attempt| attempt.server) else { return };
        let (lane, pool, service) = (entry.lane, entry.pool, entry.service);
        if self.pools[pool].waiting() > 0 || self.is_handing_over() {
            return;
        }
        let Some(server) = self.choose_server(id, lane, Some(first)) else { return };
        if self.catalog.services[service].retry_budget.take() {
            self.totals.hedges += 1;
            self.dispatch(id, server);
        }
    }

    /// Takes a slot for an attempt.
    fn occupy(&mut self, server: usize, lane: Lane) {
        let target = &mut self.servers[server];
        target.used += 1;
        target.credit.peak_used = target.credit.peak_used.max(target.used);
        let pool = &mut self.pools[target.pool];
        pool.used[usize::from(lane.is_batch())] += 1;
        target.used_batch += u32::from(lane.is_batch());
        pool.once_used += u32::from(lane == Lane::BatchOnce);
        self.update_indexes(server);
    }

    /// Releases the slot of a finished attempt.
    pub(crate) fn release(&mut self, attempt: &Attempt) {
        let server = &mut self.servers[attempt.server];
        assert!(server.used > 0, "a slot of backend {} was released twice", server.id);
        server.used -= 1;
        server.used_batch -= u32::from(attempt.lane.is_batch());
        let pool = &mut self.pools[server.pool];
        pool.used[usize::from(attempt.lane.is_batch())] -= 1;
        pool.once_used -= u32::from(attempt.lane == Lane::BatchOnce);
        pool.stragglers -= u32::from(attempt.straggler);
        self.running -= 1;
        self.return_credits(attempt.server);
        self.update_indexes(attempt.server);
    }
}

/// Asserts that the request may be dispatched and the backend server may take it.
fn check_dispatch(id: RequestId, entry: &Entry, idempotent: bool, server: &Server) {
    let free = !entry.exposed && entry.attempts.is_empty();
    assert!(idempotent || free, "non-idempotent request {id} may have run already");
    assert!(server.state.is_open() && server.listed, "backend {} does not accept work", server.id);
    assert!(server.used < server.slots, "backend {} has no slot free", server.id);
}
