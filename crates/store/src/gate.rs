//! Makes calls wait for their turn.

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

/// Longest sleep of the pump when nothing is due.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);

#[derive(Debug)]
enum WaitResult {
    Admitted(Permit),
    Evicted,
    Down,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    waiters: BTreeMap<Ticket, oneshot::Sender<WaitResult>>,
    rng: SmallRng,
    closed: bool,
}

/// The bounded queue of one client.
#[derive(Debug)]
pub(crate) struct Gate {
    state: Mutex<State>,
    changed: Notify,
    started_at: Instant,
}

/// The right to have one call in progress.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
}

/// Withdraws a call whose caller went away.
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

    /// Waits for a turn.
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

    /// Stops the pump.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_one();
    }

    /// A random number in 0..1.
    pub(crate) fn jitter(&self) -> f64 {
        self.lock().rng.random()
    }

    /// Notes that the store answered.
    pub(crate) fn record_success(&self) {
        self.lock().queue.record_success(self.now());
    }

    /// Notes that the store did not answer, and refuses the calls that wait if it fails for long.
    pub(crate) fn record_failure(&self) {
        let mut state = self.lock();
        let jitter = state.rng.random();
        let refused = state.queue.record_failure(self.now(), jitter);
        let waiters: Vec<_> =
            refused.iter().filter_map(|ticket| state.waiters.remove(ticket)).collect();
        drop(state);
        for waiter in waiters {
            // Its caller may have gone away; then nobody is left to be told.
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
            // Its caller may have gone away; then nobody is left to be told.
            let _ = evicted_waiter.send(WaitResult::Evicted);
        }
        Ok((ticket, receiver))
    }

    /// Lets every call go that may; says when the next one is due.
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
                // A permit that nobody receives is dropped and so given back.
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
