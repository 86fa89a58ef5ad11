//! Incoming requests: repeats, forwarding to the home, admission control and queueing.

use std::time::Duration;

use crate::Call;
use crate::Reason;
use crate::RequestState;
use crate::Router;
use crate::ServicePolicy;
use crate::Step;
use crate::Ticket;
use crate::answers::empty_answer;
use crate::completion::request_timer_at;
use crate::forwarding::Owner;
use crate::ledger::IdStatus;
use crate::lifecycle::RequestEvent;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::router::Timer;
use crate::server::Lane;
use crate::table::Entry;
use crate::table::Waiter;
use model::Class;
use model::Incarnation;
use model::RequestId;
use model::ServiceId;
use model::Time;
use model::Verdict;

/// Service and client account of an admitted request, as indexes into the catalog.
struct Admission {
    service: usize,
    account: usize,
}

/// Reason and retry advice for a request that is not admitted.
struct Refusal {
    reason: Reason,
    retry: Option<Duration>,
    dependency: Option<ServiceId>,
}

impl Refusal {
    fn new(reason: Reason, retry: Option<Duration>) -> Refusal {
        Refusal { reason, retry, dependency: None }
    }
}

/// Number of steps that a request records if its first attempt is answered.
const TYPICAL_STEPS: usize = 4;

/// Shortest retry delay advised for a shed request.
const MIN_SHED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay advised when the time until a retry can succeed is unknown.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Router {
    /// Handles a request, new or repeated, from a caller or a peer.
    pub(crate) fn call(&mut self, waiter: Waiter, call: Call) {
        let id = call.id;
        if self.table.get(id).is_some_and(|entry| entry.state != RequestState::Moved) {
            return self.handle_repeat(waiter, call);
        }
        match self.owner(id) {
            Owner::Local => self.handle_unseen_call(waiter, call),
            Owner::Peer(to) => self.forward(waiter, call, to),
            Owner::Ended { certain } => self.handle_ended_home(waiter, call, certain),
            Owner::HandingOver => self.answer_home_unreachable(waiter, id),
        }
    }

    /// Handles a request whose home has ended or was never seen: an idempotent one is run here once
    /// the end is `certain`, any other is answered as unknown.
    fn handle_ended_home(&mut self, waiter: Waiter, call: Call, certain: bool) {
        let service = self.catalog.service(&call.service);
        match service.filter(|index| self.catalog.services[*index].policy.idempotent) {
            Some(_) if certain => self.admit(waiter, call, true),
            _ => {
                let mut answer = empty_answer(call.id, Verdict::Unknown, Reason::HomeGone);
                answer.last = certain;
                answer.retry = (!certain).then_some(DEFAULT_RETRY_DELAY);
                self.deliver(waiter, answer);
            }
        }
    }

    /// Handles a repeat of a request that is in the table.
    fn handle_repeat(&mut self, waiter: Waiter, call: Call) {
        let id = call.id;
        let Some(entry) = self.table.get(id) else { return };
        if entry.digest != call.digest() {
            let verdict = entry.answer.as_ref().map_or(Verdict::Unknown, |a| a.verdict);
            let mut answer = empty_answer(id, verdict, Reason::Conflict);
            answer.last = entry.is_settled();
            return self.deliver(waiter, answer);
        }
        let idempotent = self.catalog.services[entry.service].policy.idempotent;
        match &entry.answer {
            Some(_) if idempotent && entry.state == RequestState::Lost => self.rerun(waiter, call),
            Some(answer) => {
                let answer = answer.clone();
                self.deliver(waiter, answer);
            }
            None => {
                let deadline = self.now + call.deadline;
                self.attach_waiter(id, waiter, deadline);
            }
        }
    }

    /// Adds a waiter to a request in progress, and extends the deadline of a running one to the
    /// later of the two.
    fn attach_waiter(&mut self, id: RequestId, waiter: Waiter, deadline: Time) {
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.add_waiter(waiter);
        if entry.state == RequestState::Running {
            entry.deadline = entry.deadline.max(deadline);
        }
        self.set_request_timer(id);
    }

    /// Runs an idempotent request again after an unknown outcome.
    fn rerun(&mut self, waiter: Waiter, call: Call) {
        let id = call.id;
        self.table.reopen(id);
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.body = call.body;
        entry.arrived = self.now;
        entry.deadline = self.now + call.deadline;
        entry.attempt_count = 0;
        entry.waiters = vec![waiter];
        self.requeue(id);
        self.dispatch_queued_for(id);
        self.set_request_timer(id);
    }

    /// Handles a request that is not in the table and whose id this router answers for.
    fn handle_unseen_call(&mut self, waiter: Waiter, call: Call) {
        let id = call.id;
        let status = self.id_status(id);
        if status == IdStatus::Unused {
            return self.admit(waiter, call, false);
        }
        let service = self.catalog.service(&call.service);
        let idempotent = service.is_some_and(|s| self.catalog.services[s].policy.idempotent);
        let mut answer = match status {
            IdStatus::Settled(Verdict::Unknown) | IdStatus::TooOld if idempotent => {
                return self.admit(waiter, call, true);
            }
            // A home may issue ids after it sent its ledger to the heir.
            IdStatus::NotIssued if id.home != self.me => {
                return self.answer_home_unreachable(waiter, id);
            }
            IdStatus::NotIssued => empty_answer(id, Verdict::NotRun, Reason::NotIssued),
            IdStatus::TooOld => empty_answer(id, Verdict::Unknown, Reason::TooOld),
            IdStatus::Unused => return,
            IdStatus::Settled(verdict) => self.verdict_answer(id, verdict),
        };
        answer.retry = answer.verdict.permits_resend().then_some(Duration::ZERO);
        self.deliver(waiter, answer);
    }

    fn admit(&mut self, waiter: Waiter, call: Call, adopted: bool) {
        let Admission { service, account } = match self.check_call(&call) {
            Ok(admission) => admission,
            Err(refusal) => return self.reject(waiter, &call, refusal, adopted),
        };
        let digest = call.digest();
        let entry = Entry {
            service,
            pool: self.catalog.services[service].pool,
            account,
            digest,
            state: self.charts.request.initial(),
            body: call.body,
            arrived: self.now,
            deadline: self.now + call.deadline,
            lane: Lane::Interactive,
            cost: 0,
            waiters: vec![waiter],
            attempts: Vec::new(),
            attempt_count: 0,
            last_attempt: 0,
            straggler_stops: 0,
            exposed: adopted,
            adopted,
            resume_at: self.now,
            timer_at: None,
            answer: None,
            settled_at: self.now,
            steps: Vec::with_capacity(TYPICAL_STEPS),
        };
        self.table.insert(call.id, entry);
        self.enqueue(call.id);
        self.dispatch_queued_for(call.id);
        self.set_request_timer(call.id);
    }

    fn reject(&mut self, waiter: Waiter, call: &Call, refusal: Refusal, adopted: bool) {
        let id = call.id;
        let verdict = if adopted { Verdict::Unknown } else { Verdict::NotRun };
        let mut answer = empty_answer(id, verdict, refusal.reason);
        answer.last = !adopted;
        answer.retry = refusal.retry;
        answer.dependency = refusal.dependency;
        if !adopted {
            self.record_verdict(id, Verdict::NotRun);
        }
        self.deliver(waiter, answer);
    }

    /// Admission control: checks service, account, deadline, pools, load and account limits.
    fn check_call(&mut self, call: &Call) -> Result<Admission, Refusal> {
        let service = self.catalog.service(&call.service);
        let service = service.ok_or_else(|| Refusal::new(Reason::NoService, None))?;
        let account = self.catalog.account(&call.account);
        let account = account.ok_or_else(|| Refusal::new(Reason::NoAccount, None))?;
        if call.deadline.is_zero() {
            return Err(Refusal::new(Reason::Expired, Some(Duration::ZERO)));
        }
        self.check_pools(service)?;
        self.check_load(service, account, call)?;
        self.check_account(account)?;
        Ok(Admission { service, account })
    }

    fn check_account(&mut self, account: usize) -> Result<(), Refusal> {
        let now = self.now;
        let account = &mut self.catalog.accounts[account];
        if account.waiting >= account.policy.queue_limit {
            return Err(Refusal::new(Reason::QueueLimit, Some(DEFAULT_RETRY_DELAY)));
        }
        if account.policy.rate.is_some() && !account.rate.take(now, 1) {
            return Err(Refusal::new(Reason::RateLimit, Some(account.rate.time_to_token())));
        }
        Ok(())
    }

    fn check_pools(&self, service: usize) -> Result<(), Refusal> {
        let own = &self.catalog.services[service];
        if self.pools[own.pool].listed == 0 {
            return Err(Refusal::new(Reason::NoBackend, Some(DEFAULT_RETRY_DELAY)));
        }
        if own.depends.is_empty() {
            return Ok(());
        }
        let mut seen = vec![service];
        let mut open = own.depends.clone();
        while let Some(index) = open.pop() {
            if seen.contains(&index) {
                continue;
            }
            seen.push(index);
            let other = &self.catalog.services[index];
            if self.pools[other.pool].open_total() == 0 {
                let dependency = Some(other.id.clone());
                let retry = Some(DEFAULT_RETRY_DELAY);
                return Err(Refusal { reason: Reason::DependencyDown, retry, dependency });
            }
            open.extend(&other.depends);
        }
        Ok(())
    }

    /// Refuses a request that would not meet its deadline. When the queues are full, sheds queued
    /// batch work to admit an interactive request.
    fn check_load(&mut self, service: usize, account: usize, call: &Call) -> Result<(), Refusal> {
        let lane = lane_of(&self.catalog.services[service].policy);
        let pool = self.catalog.services[service].pool;
        let wait = self.estimate_wait(pool, lane, account);
        let allowed = match lane {
            Lane::Interactive => call.deadline * self.settings.wait_percent / 100,
            Lane::Batch | Lane::BatchOnce => call.deadline,
        };
        let run = self.catalog.services[service].run_time.mean();
        if !wait.is_zero() && (wait > allowed || wait + run > call.deadline) {
            let retry = self.jitter(wait.max(MIN_SHED_RETRY_DELAY));
            return Err(Refusal::new(Reason::Shed, Some(retry)));
        }
        while self.is_full(call.body.len()) {
            let victim = match lane {
                Lane::Interactive => self.least_urgent(),
                Lane::Batch | Lane::BatchOnce => None,
            };
            let Some(victim) = victim else {
                return Err(Refusal::new(Reason::Shed, Some(DEFAULT_RETRY_DELAY)));
            };
            self.refuse(victim, Reason::Shed, Some(DEFAULT_RETRY_DELAY));
        }
        Ok(())
    }

    fn is_full(&self, body_bytes: usize) -> bool {
        self.waiting >= self.settings.queue_limit
            || self.waiting > 0 && self.waiting_bytes + body_bytes > self.settings.queue_bytes
    }

    /// The queued batch request with the latest deadline.
    fn least_urgent(&self) -> Option<RequestId> {
        let batch = self.pools.iter().flat_map(|pool| &pool.queues[1..]);
        batch.filter_map(Queue::latest_deadline).max().map(|waiting| waiting.id)
    }

    /// Estimated queueing time of a new request.
    fn estimate_wait(&self, pool: usize, lane: Lane, account: usize) -> Duration {
        let pool = &self.pools[pool];
        let weight = self.catalog.accounts[account].policy.weight;
        let urgent = &pool.queues[Lane::Interactive as usize];
        let (work, slots) = match lane {
            Lane::Interactive => (urgent.work_ahead(account, weight), pool.used[0]),
            Lane::Batch | Lane::BatchOnce => {
                let queued = pool.queues[lane as usize].work_ahead(account, weight);
                (queued.saturating_add(urgent.work()), pool.used[0] + pool.used[1])
            }
        };
        Duration::from_micros(work / u64::from(slots.max(1)))
    }

    /// Puts a request into its queue. The calling function must set the request timer afterwards,
    /// once it has tried to dispatch it.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let service = &self.catalog.services[entry.service];
        let cost = service.run_time.mean_micros();
        entry.lane = lane_of(&service.policy);
        entry.cost = cost;
        entry.pool = service.pool;
        let waiting = Waiting { deadline: entry.deadline, id };
        let account = &mut self.catalog.accounts[entry.account];
        account.waiting += 1;
        self.waiting += 1;
        self.waiting_bytes += entry.body.len();
        let weight = account.policy.weight;
        let queue = &mut self.pools[entry.pool].queues[entry.lane as usize];
        queue.push(entry.account, weight, waiting, cost);
        entry.push_step(Step {
            at: self.now,
            state: entry.state,
            attempt: 0,
            backend: None,
            reason: None,
        });
    }

    /// Removes a request from its queue.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(entry) = self.table.get(id) else { return };
        let waiting = Waiting { deadline: entry.deadline, id };
        let queue = &mut self.pools[entry.pool].queues[entry.lane as usize];
        let there = queue.remove(entry.account, waiting, entry.cost);
        assert!(there, "request {id} is not in its queue");
        self.catalog.accounts[entry.account].waiting -= 1;
        self.waiting -= 1;
        self.waiting_bytes -= entry.body.len();
    }

    /// Queues a request again after a backoff, an attempt without effect or a repeat.
    pub(crate) fn requeue(&mut self, id: RequestId) {
        self.advance(id, RequestEvent::Requeue);
        self.enqueue(id);
    }

    /// Advances the state machine of a request.
    pub(crate) fn advance(&mut self, id: RequestId, event: RequestEvent) {
        if let Some(entry) = self.table.get_mut(id) {
            self.charts.request.advance(&mut entry.state, event);
        }
    }

    /// Records a step in the history of a request; `attempt` is 0 if it belongs to none.
    pub(crate) fn record_step(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: Option<usize>,
        reason: Option<Reason>,
    ) {
        let backend = server.map(|server| self.servers[server].id.clone());
        let at = self.now;
        if let Some(entry) = self.table.get_mut(id) {
            let state = entry.state;
            entry.push_step(Step { at, state, attempt, backend, reason });
        }
    }

    /// Sets the timer of a request to the next time at which something is due for it.
    pub(crate) fn set_request_timer(&mut self, id: RequestId) {
        let now = self.now;
        let Some(entry) = self.table.get_mut(id) else { return };
        let wake = request_timer_at(&self.catalog.services[entry.service], entry, now);
        let old = entry.timer_at;
        entry.timer_at = wake;
        if old == wake {
            return;
        }
        if let Some(old) = old {
            self.stop_timer(old, Timer::Request(id));
        }
        if let Some(wake) = wake {
            self.start_timer(wake, Timer::Request(id));
        }
    }

    /// Handles the disconnect of a caller.
    pub(crate) fn hang_up(&mut self, ticket: Ticket) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        self.remove_waiter(Waiter::Ticket(ticket), id);
    }

    /// Handles a peer's message that none of its callers waits any more.
    pub(crate) fn handle_cancel(&mut self, from: Incarnation, id: RequestId) {
        self.remove_waiter(Waiter::Peer(from), id);
    }

    fn remove_waiter(&mut self, waiter: Waiter, id: RequestId) {
        if self.remove_forward_waiter(waiter, id) {
            return;
        }
        let Some(entry) = self.table.get_mut(id) else { return };
        let before = entry.waiters.len();
        entry.waiters.retain(|other| *other != waiter);
        if before > 0 && entry.waiters.is_empty() && !entry.is_settled() {
            self.handle_abandoned(id);
        }
    }

    /// Cancels a request that nobody waits for any more, unless it runs and is not idempotent.
    fn handle_abandoned(&mut self, id: RequestId) {
        let Some(entry) = self.table.get(id) else { return };
        let idempotent = self.catalog.services[entry.service].policy.idempotent;
        match entry.state {
            RequestState::Queued | RequestState::Paused => {
                self.refuse(id, Reason::Cancelled, Some(Duration::ZERO));
            }
            RequestState::Running if idempotent => self.abort_and_settle(id, Reason::Cancelled),
            _ => {}
        }
    }
}

fn lane_of(policy: &ServicePolicy) -> Lane {
    match (policy.class, policy.idempotent) {
        (Class::Interactive, _) => Lane::Interactive,
        (Class::Batch, true) => Lane::Batch,
        (Class::Batch, false) => Lane::BatchOnce,
    }
}
