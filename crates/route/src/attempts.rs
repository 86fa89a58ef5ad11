//! Handling of finished attempts: retries of the request, and health and statistics of the backend
//! server.

use bytes::Bytes;

use crate::Action;
use crate::AttemptResult;
use crate::Cause;
use crate::HealthSignal;
use crate::Reason;
use crate::Router;
use crate::lifecycle::RequestEvent;
use crate::table::Attempt;
use model::RequestId;

/// HTTP status with which a backend server rejects work.
const UNAVAILABLE: u16 = 503;

/// Lowest HTTP status that counts as a failure of the backend server.
const SERVER_ERROR: u16 = 500;

/// Largest exponent of two in the backoff before a retry.
const MAX_BACKOFF_EXPONENT: u32 = 6;

impl Router {
    /// Handles the end of an attempt. A report for an unknown attempt is ignored: it was aborted or
    /// has timed out.
    pub(crate) fn attempt_ended(&mut self, id: RequestId, number: u32, result: AttemptResult) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let Some(position) = entry.attempts.iter().position(|a| a.number == number) else { return };
        let attempt = entry.attempts.swap_remove(position);
        let pool = entry.pool;
        self.update_statistics(id, &attempt, &result);
        self.release(&attempt);
        self.update_server_health(&attempt, &result);
        match result {
            AttemptResult::Answered { status: UNAVAILABLE, body } => {
                self.handle_unavailable(id, &attempt, body);
            }
            AttemptResult::Answered { status, body } => {
                self.handle_answered(id, &attempt, status, body)
            }
            AttemptResult::NotSent { .. } | AttemptResult::TimedOut { sent: false } => {
                self.handle_not_sent(id, &attempt);
            }
            AttemptResult::Broken { .. } => {
                self.handle_possible_run(id, &attempt, Reason::ConnectionLost);
            }
            AttemptResult::TimedOut { sent: true } => {
                self.handle_possible_run(id, &attempt, Reason::Timeout);
            }
        }
        self.dispatch_queued(pool);
        self.set_request_timer(id);
    }

    /// Updates run time statistics, the retry budget and the backend server's slowness, and
    /// corrects the account's charge from the expected to the measured run time.
    fn update_statistics(&mut self, id: RequestId, attempt: &Attempt, result: &AttemptResult) {
        let Some(entry) = self.table.get(id) else { return };
        let run = self.now.since(attempt.started);
        let service = &mut self.catalog.services[entry.service];
        let micros = i64::try_from(run.as_micros()).unwrap_or(i64::MAX);
        let expected = i64::try_from(entry.cost).unwrap_or(0);
        let queue = &mut self.pools[entry.pool].queues[attempt.lane as usize];
        queue.charge(entry.account, micros - expected);
        if let AttemptResult::Answered { status, .. } = result
            && *status < SERVER_ERROR
        {
            let ratio = service.run_time.ratio(run);
            service.run_time.observe(run);
            service.retry_budget.earn(self.settings.retry_percent);
            self.servers[attempt.server].observe(ratio);
        }
    }

    /// Updates the health of the backend server from the result of an attempt.
    fn update_server_health(&mut self, attempt: &Attempt, result: &AttemptResult) {
        let server = attempt.server;
        match result {
            AttemptResult::Answered { status: UNAVAILABLE, .. } => {
                self.handle_signal(server, HealthSignal::Unavailable);
            }
            AttemptResult::Answered { status, .. } if *status < SERVER_ERROR => {
                self.record_success(server)
            }
            AttemptResult::NotSent { cause: Cause::Refused } => {
                self.handle_signal(server, HealthSignal::Refused);
            }
            AttemptResult::NotSent { cause: Cause::NoConnection | Cause::TooLarge } => {}
            AttemptResult::TimedOut { .. } | AttemptResult::Broken { .. } => {
                let backend = self.servers[server].id.clone();
                self.out.push(Action::DropIdle { backend });
                self.record_failure(server);
            }
            AttemptResult::Answered { .. } | AttemptResult::NotSent { .. } => {
                self.record_failure(server);
            }
        }
    }

    fn handle_answered(&mut self, id: RequestId, attempt: &Attempt, status: u16, body: Bytes) {
        self.abort_attempts(id);
        self.record_step(id, attempt.number, Some(attempt.server), None);
        self.settle_answered(id, attempt.server, status, body);
    }

    /// Handles status 503, which counts as not run only if the service guarantees that
    /// ([`ServicePolicy::safe_503`](crate::ServicePolicy)).
    fn handle_unavailable(&mut self, id: RequestId, attempt: &Attempt, body: Bytes) {
        let Some(entry) = self.table.get(id) else { return };
        let policy = &self.catalog.services[entry.service].policy;
        if policy.safe_503 {
            return self.handle_not_sent(id, attempt);
        }
        drop(body);
        self.handle_possible_run(id, attempt, Reason::Unavailable);
    }

    /// Handles an attempt without effect: requeues the request at once the first time, with backoff
    /// later, and refuses it when the deadline or the attempts are used up.
    fn handle_not_sent(&mut self, id: RequestId, attempt: &Attempt) {
        self.record_step(id, attempt.number, Some(attempt.server), Some(Reason::ConnectFailed));
        let Some(entry) = self.table.get(id) else { return };
        if !entry.attempts.is_empty() {
            return self.advance(id, RequestEvent::Fail);
        }
        let (tried, late) = (entry.attempt_count, self.now >= entry.deadline);
        if late {
            return self.refuse(id, Reason::Expired, Some(std::time::Duration::ZERO));
        }
        if tried >= self.settings.max_attempts {
            let pause = self.jitter(self.settings.base_backoff * 10);
            return self.refuse(id, Reason::ConnectFailed, Some(pause));
        }
        if tried == 1 {
            return self.requeue(id);
        }
        self.schedule_retry(id, tried);
    }

    /// Handles an attempt that may have run: only an idempotent request is retried, within the
    /// retry budget of its service.
    fn handle_possible_run(&mut self, id: RequestId, attempt: &Attempt, reason: Reason) {
        self.record_step(id, attempt.number, Some(attempt.server), Some(reason));
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.exposed = true;
        let (service, tried) = (entry.service, entry.attempt_count);
        let (late, others) = (self.now >= entry.deadline, !entry.attempts.is_empty());
        if others {
            return self.advance(id, RequestEvent::Fail);
        }
        let max_attempts = self.settings.max_attempts;
        let service = &mut self.catalog.services[service];
        if !service.policy.idempotent
            || late
            || tried >= max_attempts
            || !service.retry_budget.take()
        {
            return self.settle_unknown(id, reason);
        }
        self.schedule_retry(id, tried);
    }

    /// Schedules the next attempt after an exponential backoff with jitter.
    fn schedule_retry(&mut self, id: RequestId, tried: u32) {
        let base = self.settings.base_backoff * 2_u32.pow(tried.min(MAX_BACKOFF_EXPONENT));
        let pause = self.jitter(base);
        self.totals.retries += 1;
        self.advance(id, RequestEvent::Retry);
        let resume = self.now + pause;
        if let Some(entry) = self.table.get_mut(id) {
            entry.resume_at = resume;
        }
    }
}
