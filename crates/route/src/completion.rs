//! Settling of requests, and request timers: deadlines, hedging and stragglers.

use std::time::Duration;

use bytes::Bytes;

use crate::Action;
use crate::Answer;
use crate::Reason;
use crate::RequestState;
use crate::Router;
use crate::answers::empty_answer;
use crate::catalog::Service;
use crate::ledger::IdStatus;
use crate::lifecycle::RequestEvent;
use crate::server::Lane;
use crate::table::Attempt;
use crate::table::Entry;
use model::RequestId;
use model::Time;
use model::Verdict;

/// Time after its timeout at which an attempt that the shell has not reported is given up.
const REPORT_GRACE: Duration = Duration::from_secs(1);

/// Retry delay advised after an unknown outcome that is not final.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Router {
    /// Status of an id that this router answers for and that is not in the table.
    pub(crate) fn id_status(&self, id: RequestId) -> IdStatus {
        if id.home == self.me {
            return self.ledger.status(id.sequence);
        }
        let inherited = self.inherited_homes.get(&id.home);
        inherited.map_or(IdStatus::NotIssued, |inherited| inherited.ledger.status(id.sequence))
    }

    /// Records the verdict of an id in the ledger, where it outlives the answer.
    pub(crate) fn record_verdict(&mut self, id: RequestId, verdict: Verdict) {
        if id.home == self.me {
            self.ledger.record_verdict(id.sequence, verdict);
        } else if let Some(inherited) = self.inherited_homes.get_mut(&id.home) {
            inherited.ledger.record_verdict(id.sequence, verdict);
        }
    }

    /// Settles a request as not run, or as unknown if an earlier attempt may have run.
    pub(crate) fn refuse(&mut self, id: RequestId, reason: Reason, retry: Option<Duration>) {
        let Some(entry) = self.table.get(id) else { return };
        if entry.state == RequestState::Queued {
            self.dequeue(id);
        }
        let Some(entry) = self.table.get(id) else { return };
        if entry.exposed {
            return self.settle_unknown(id, reason);
        }
        assert!(entry.attempts.is_empty(), "request {id} is refused while it runs");
        let mut answer = empty_answer(id, Verdict::NotRun, reason);
        answer.retry = retry;
        self.settle(id, RequestEvent::Refuse, answer);
    }

    /// Settles a request as unknown, as it may have run.
    pub(crate) fn settle_unknown(&mut self, id: RequestId, reason: Reason) {
        let Some(entry) = self.table.get(id) else { return };
        let idempotent = self.catalog.services[entry.service].policy.idempotent;
        let mut answer = empty_answer(id, Verdict::Unknown, reason);
        answer.last = !idempotent;
        answer.retry = idempotent.then_some(UNKNOWN_RETRY_DELAY);
        self.settle(id, RequestEvent::Lose, answer);
    }

    /// Settles a request with the backend server's complete answer.
    pub(crate) fn settle_answered(
        &mut self,
        id: RequestId,
        server: usize,
        status: u16,
        body: Bytes,
    ) {
        let mut answer = empty_answer(id, Verdict::Ran, Reason::Answered);
        answer.status = status;
        answer.body = body;
        answer.backend = Some(self.servers[server].id.clone());
        self.settle(id, RequestEvent::Answer, answer);
    }

    fn settle(&mut self, id: RequestId, event: RequestEvent, mut answer: Answer) {
        let reason = answer.reason;
        let Some(entry) = self.table.get_mut(id) else { return };
        if answer.backend.is_none() {
            answer.backend = entry.steps.iter().rev().find_map(|step| step.backend.clone());
        }
        let waiters = std::mem::take(&mut entry.waiters);
        if let Some(wake) = entry.timer_at.take() {
            self.stop_timer(wake, crate::router::Timer::Request(id));
        }
        self.advance(id, event);
        self.record_step(id, 0, None, Some(reason));
        self.record_verdict(id, answer.verdict);
        self.table.store_answer(id, answer.clone(), self.now);
        for waiter in waiters {
            self.deliver(waiter, answer.clone());
        }
    }

    /// Aborts all attempts of an idempotent request and settles it as unknown.
    pub(crate) fn abort_and_settle(&mut self, id: RequestId, reason: Reason) {
        self.abort_attempts(id);
        self.settle_unknown(id, reason);
    }

    /// Aborts all attempts of a request, which counts as possibly run from then on.
    pub(crate) fn abort_attempts(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let attempts = std::mem::take(&mut entry.attempts);
        entry.exposed |= !attempts.is_empty();
        for attempt in attempts {
            self.out.push(Action::Abort { id, attempt: attempt.number });
            self.release(&attempt);
        }
    }

    /// Handles the timer of a request.
    pub(crate) fn handle_request_timer(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.timer_at = None;
        let (now, state, exposed) = (self.now, entry.state, entry.exposed);
        let expired = now >= entry.deadline;
        match state {
            RequestState::Queued if expired => {
                self.refuse(id, Reason::Expired, Some(Duration::ZERO));
            }
            RequestState::Paused if expired => {
                let reason = if exposed { Reason::DeadlinePassed } else { Reason::Expired };
                self.refuse(id, reason, Some(Duration::ZERO));
            }
            RequestState::Paused if now >= entry.resume_at => {
                self.requeue(id);
                self.dispatch_queued_for(id);
            }
            RequestState::Running => self.handle_running_timer(id, expired),
            _ => {}
        }
        self.set_request_timer(id);
    }

    fn handle_running_timer(&mut self, id: RequestId, expired: bool) {
        self.time_out_unreported(id);
        let Some(entry) = self.table.get(id) else { return };
        if entry.state != RequestState::Running {
            return;
        }
        let idempotent = self.catalog.services[entry.service].policy.idempotent;
        if expired && idempotent {
            return self.abort_and_settle(id, Reason::DeadlinePassed);
        }
        if expired {
            self.answer_waiters(id);
        }
        let Some(entry) = self.table.get(id) else { return };
        let due = entry.attempts.first().map(|attempt| attempt.started);
        let tail = self.catalog.services[entry.service].run_time.tail();
        let hedge = self.catalog.services[entry.service].policy.hedge && idempotent;
        let slow = due.is_some_and(|started| self.now >= started + tail);
        if hedge && slow && entry.attempts.len() == 1 && entry.attempt_count == 1 {
            self.hedge(id);
        }
        self.mark_stragglers(id);
    }

    /// Sends all waiters a provisional answer for a request that continues to run.
    fn answer_waiters(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let waiters = std::mem::take(&mut entry.waiters);
        let mut answer = empty_answer(id, Verdict::Unknown, Reason::DeadlinePassed);
        answer.last = false;
        answer.retry = Some(UNKNOWN_RETRY_DELAY);
        for waiter in waiters {
            self.deliver(waiter, answer.clone());
        }
    }

    /// Aborts attempts whose end the shell has not reported, and treats them as timed out.
    fn time_out_unreported(&mut self, id: RequestId) {
        let Some(entry) = self.table.get(id) else { return };
        let timeout = self.catalog.services[entry.service].policy.timeout + REPORT_GRACE;
        let late = |attempt: &&Attempt| self.now >= attempt.started + timeout;
        let late: Vec<u32> = entry.attempts.iter().filter(late).map(|a| a.number).collect();
        for attempt in late {
            self.out.push(Action::Abort { id, attempt });
            self.attempt_ended(id, attempt, crate::AttemptResult::TimedOut { sent: true });
        }
    }

    /// Marks batch runs that have become stragglers. Above the straggler bound, an idempotent one
    /// is stopped once to be run again later.
    fn mark_stragglers(&mut self, id: RequestId) {
        let Some(entry) = self.table.get(id) else { return };
        let limit = self.catalog.services[entry.service].straggler_time();
        let now = self.now;
        let (pool, stopped) = (entry.pool, entry.straggler_stops);
        let Some(entry) = self.table.get_mut(id) else { return };
        let mut found = 0;
        for attempt in &mut entry.attempts {
            let slow = attempt.lane.is_batch() && now >= attempt.started + limit;
            if slow && !attempt.straggler {
                attempt.straggler = true;
                found += 1;
            }
        }
        let lane = entry.lane;
        self.pools[pool].stragglers += found;
        let over = self.pools[pool].stragglers > self.straggler_bound(pool);
        if found > 0 && over && lane == Lane::Batch && stopped == 0 {
            self.stop_straggler(id, limit);
        }
    }

    fn stop_straggler(&mut self, id: RequestId, pause: Duration) {
        self.abort_attempts(id);
        self.advance(id, RequestEvent::Retry);
        let pause = self.jitter(pause);
        let resume = self.now + pause;
        if let Some(entry) = self.table.get_mut(id) {
            entry.straggler_stops += 1;
            entry.resume_at = resume;
        }
        self.record_step(id, 0, None, Some(Reason::Timeout));
    }

    /// Maximum number of slots of a pool that stragglers may hold at this entry VM.
    pub(crate) fn straggler_bound(&self, pool: usize) -> u32 {
        let pool = &self.pools[pool];
        (pool.credits * self.settings.straggler_percent / 100).max(1)
    }
}

/// Time at which something is due for a request; `None` if nothing is.
pub(crate) fn request_timer_at(service: &Service, entry: &Entry, now: Time) -> Option<Time> {
    match entry.state {
        RequestState::Queued => Some(entry.deadline),
        RequestState::Paused => Some(entry.resume_at.min(entry.deadline)),
        RequestState::Running => running_timer_at(service, entry, now),
        _ => None,
    }
}

fn running_timer_at(service: &Service, entry: &Entry, now: Time) -> Option<Time> {
    let timeout = service.policy.timeout + REPORT_GRACE;
    let reports = entry.attempts.iter().map(|attempt| attempt.started + timeout);
    let expiry = (!entry.waiters.is_empty()).then_some(entry.deadline);
    let hedge = hedge_time(service, entry, now);
    let fresh = entry.attempts.iter().filter(|a| a.lane.is_batch() && !a.straggler);
    let slow = fresh.map(|attempt| attempt.started + service.straggler_time());
    reports.chain(expiry).chain(hedge).chain(slow).min()
}

fn hedge_time(service: &Service, entry: &Entry, now: Time) -> Option<Time> {
    let policy = &service.policy;
    let [attempt] = entry.attempts.as_slice() else { return None };
    let wanted = policy.hedge && policy.idempotent && service.run_time.is_known();
    let due = attempt.started + service.run_time.tail();
    (wanted && entry.attempt_count == 1 && due > now).then_some(due)
}
