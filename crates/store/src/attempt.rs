//! Execution of one call: admission, choice of a connection, and retry where that is safe.
//!
//! A retryable call is retried once: when its connection breaks, or when a reused connection gives
//! no response for much longer than the usual latency. In the second case the store may merely be
//! slow, so both requests stay in flight and the first response is used.

use std::pin::Pin;
use std::pin::pin;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::api::Purpose;
use crate::client::Inner;
use crate::connection::Call;
use crate::counters::Outcome;
use crate::error::Error;
use crate::gate::Permit;
use crate::gateway::DecodeError;

/// Whether a connection was opened for the call or reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionKind {
    New,
    /// A transport failure may mean that the idle connection was dead, so it does not count as a
    /// failure of the store.
    Reused,
}

/// A call with its priority and time limit.
#[derive(Clone, Copy, Debug)]
struct Request<'a> {
    purpose: Purpose,
    call: &'a Call,
    deadline: Instant,
}

impl Inner {
    /// Performs a call and decodes the response.
    pub(crate) async fn run<T>(
        &self,
        purpose: Purpose,
        call: &Call,
        deadline: Instant,
        decode: fn(&[u8]) -> Result<T, DecodeError>,
    ) -> Result<T, Error> {
        let answer = self.call_with_retry(Request { purpose, call, deadline }).await?;
        Ok(decode(&answer)?)
    }

    async fn call_with_retry(&self, request: Request<'_>) -> Result<Bytes, Error> {
        let Request { purpose, call, deadline } = request;
        let permit = self.admit(purpose, deadline).await?;
        let (kind, answer) = match self.pool.take_idle(call) {
            None => (ConnectionKind::New, self.pool.call_on_new(call, deadline).await),
            Some(idle) => {
                let sent = Instant::now();
                let mut first = pin!(self.pool.call_on(idle, call, deadline));
                let answer = match self.pool.hedge_delay(call, deadline) {
                    None => Ok(first.as_mut().await),
                    Some(hedge_delay) => timeout(hedge_delay, first.as_mut()).await,
                };
                let Ok(answer) = answer else {
                    // Frees the slot for the retry, which could otherwise wait behind calls on
                    // unresponsive connections.
                    drop(permit);
                    return self.await_with_retry(request, sent, first).await;
                };
                (ConnectionKind::Reused, answer)
            }
        };
        drop(permit);
        match self.record(purpose, kind, answer) {
            Err(error) if may_retry(call, &error) && Instant::now() < deadline => {
                self.retry(request).await
            }
            answer => answer,
        }
    }

    /// Retries a call while the first request is still in flight, and returns the first response.
    async fn await_with_retry(
        &self,
        request: Request<'_>,
        sent: Instant,
        mut first: Pin<&mut impl Future<Output = Result<Bytes, Error>>>,
    ) -> Result<Bytes, Error> {
        let purpose = request.purpose;
        let mut second = pin!(self.retry(request));
        tokio::select! {
            answer = first.as_mut() => match self.record(purpose, ConnectionKind::Reused, answer) {
                Err(error) if error.is_transport() => second.await,
                answer => answer,
            },
            answer = second.as_mut() => {
                if answer.is_err() {
                    return self.record(purpose, ConnectionKind::Reused, first.await);
                }
                self.pool.drop_stale(sent);
                self.counters.record(purpose, Outcome::Unanswered);
                answer
            }
        }
    }

    /// Sends a call again, on a new connection.
    async fn retry(&self, request: Request<'_>) -> Result<Bytes, Error> {
        let Request { purpose, call, deadline } = request;
        self.counters.retries.fetch_add(1, Ordering::Relaxed);
        let _permit = self.admit(purpose, deadline).await?;
        let answer = self.pool.call_on_new(call, deadline).await;
        self.record(purpose, ConnectionKind::New, answer)
    }

    /// Waits for admission and counts the call as unsent if it is refused.
    pub(crate) async fn admit(&self, purpose: Purpose, deadline: Instant) -> Result<Permit, Error> {
        let permit = self.gate.admit(purpose, deadline).await;
        if permit.is_err() {
            self.counters.record(purpose, Outcome::Unsent);
        }
        permit
    }

    /// Counts the outcome of a call and reports it to the circuit breaker.
    pub(crate) fn record<T>(
        &self,
        purpose: Purpose,
        kind: ConnectionKind,
        answer: Result<T, Error>,
    ) -> Result<T, Error> {
        let outcome = answer.as_ref().err().map_or(Outcome::Answered, Outcome::of);
        self.counters.record(purpose, outcome);
        match &answer {
            Ok(_) | Err(Error::Rejected { .. }) => self.gate.record_success(),
            Err(error) if kind == ConnectionKind::Reused && error.is_transport() => {}
            Err(_) => self.gate.record_failure(),
        }
        answer
    }
}

/// Whether a failed call may be retried. A call that was never sent always may.
fn may_retry(call: &Call, error: &Error) -> bool {
    match error {
        Error::Unsent { .. } => true,
        error => call.retryable && error.is_transport(),
    }
}
