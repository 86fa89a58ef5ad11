//! Asynchronous admission of calls, based on [`Queue`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::api::Purpose;
use crate::config::Config;
use crate::error::Error;
use crate::queue::Admission;
use crate::queue::Queue;
use crate::queue::Ticket;
use model::Time;

/// Sleep of the admission timer when no call is due.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);

/// Result of the wait of a queued call.
#[derive(Debug)]
enum WaitResult {
    Admitted(Permit),
    /// A more urgent call took its place in the full queue.
    Evicted,
    /// The circuit breaker opened.
    Down,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiters: BTreeMap<Ticket, oneshot::Sender<WaitResult>>,
    rng: SmallRng,
    closed: bool,
}

/// Admission control of one client: wakes queued calls when the queue admits them.
#[derive(Debug)]
pub(crate) struct Gate {
    state: Mutex<State>,
    changed: Notify,
    started_at: Instant,
}

/// Permission for one call in progress. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
}

/// Removes a call from the queue when it is dropped, also if its caller is cancelled.
struct WaitGuard<'a> {
    gate: &'a Gate,
    ticket: Ticket,
}

impl Gate {
    pub(crate) fn new(config: &Config) -> Arc<Gate> {
        let Config { rate, burst, inflight, depth, backoff, seed, .. } = *config;
        let state = State {
            queue: Queue::new(rate, burst, inflight, depth, backoff),
            waiters: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            closed: false,
        };
        let started_at = Instant::now();
        let gate = Arc::new(Gate { state: Mutex::new(state), changed: Notify::new(), started_at });
        tokio::spawn(run_timer(gate.clone()));
        gate
    }

    /// Waits until the call is admitted.
    ///
    /// # Errors
    /// The queue is full, the circuit breaker is open or the deadline passed.
    pub(crate) async fn admit(
        self: &Arc<Gate>,
        purpose: Purpose,
        deadline: Instant,
    ) -> Result<Permit, Error> {
        let (ticket, result) = self.enqueue(purpose)?;
        let guard = WaitGuard { gate: self, ticket };
        self.admit_ready();
        let result = timeout_at(deadline, result).await;
        drop(guard);
        match result {
            Ok(Ok(WaitResult::Admitted(permit))) => Ok(permit),
            Ok(Ok(WaitResult::Evicted)) => Err(Error::Full { purpose }),
            Ok(Ok(WaitResult::Down) | Err(_)) => Err(Error::Down { purpose }),
            Err(_) => Err(Error::Expired { purpose }),
        }
    }

    /// Stops the admission timer.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_one();
    }

    /// Random number in 0..1 that spreads the retries of many clients.
    pub(crate) fn jitter(&self) -> f64 {
        self.lock().rng.random()
    }

    /// Reports that the store responded.
    pub(crate) fn record_success(&self) {
        self.lock().queue.record_success(self.now());
    }

    /// Reports a failed call, and refuses the queued calls if that opens the circuit breaker.
    pub(crate) fn record_failure(&self) {
        let mut state = self.lock();
        let jitter = state.rng.random();
        let refused = state.queue.record_failure(self.now(), jitter);
        let waiters: Vec<_> =
            refused.iter().filter_map(|ticket| state.waiters.remove(ticket)).collect();
        drop(state);
        for waiter in waiters {
            // Fails only if the caller was cancelled.
            let _ = waiter.send(WaitResult::Down);
        }
    }

    fn enqueue(&self, purpose: Purpose) -> Result<(Ticket, oneshot::Receiver<WaitResult>), Error> {
        let mut state = self.lock();
        let (ticket, evicted) = match state.queue.push(self.now(), purpose) {
            Admission::Queued { ticket, evicted } => (ticket, evicted),
            Admission::Full => return Err(Error::Full { purpose }),
            Admission::Down => return Err(Error::Down { purpose }),
        };
        let (sender, receiver) = oneshot::channel();
        state.waiters.insert(ticket, sender);
        let evicted_waiter = evicted.and_then(|evicted| state.waiters.remove(&evicted));
        drop(state);
        if let Some(evicted_waiter) = evicted_waiter {
            // Fails only if the caller was cancelled.
            let _ = evicted_waiter.send(WaitResult::Evicted);
        }
        Ok((ticket, receiver))
    }

    /// Admits all calls that are due, and returns when the next one is.
    fn admit_ready(self: &Arc<Gate>) -> Option<Time> {
        loop {
            let mut state = self.lock();
            let Some(ticket) = state.queue.pop(self.now()) else {
                return state.queue.ready_at();
            };
            let waiter = state.waiters.remove(&ticket);
            drop(state);
            let permit = Permit { gate: self.clone() };
            if let Some(waiter) = waiter {
                // If the caller was cancelled, the permit is dropped, which frees its slot.
                let _ = waiter.send(WaitResult::Admitted(permit));
            }
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Admits calls whenever one becomes due or the queue changes, until the gate is closed.
async fn run_timer(gate: Arc<Gate>) {
    while !gate.lock().closed {
        let due = gate.admit_ready().map(|at| gate.started_at + at.since(Time::ZERO));
        let wake = due.unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
        tokio::select! {
            () = gate.changed.notified() => {}
            () = sleep_until(wake) => {}
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.lock().queue.finish();
        self.gate.changed.notify_one();
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.queue.remove(self.ticket);
        state.waiters.remove(&self.ticket);
        drop(state);
        self.gate.changed.notify_one();
    }
}
