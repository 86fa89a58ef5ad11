//! Connections to one backend server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Wake;
use std::task::Waker;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::pool::Cause;
use crate::pool::Config;
use crate::pool::Dispatch;
use crate::pool::Reuse;
use crate::pool::conn::Conn;
use model::BackendId;

/// Connections to one backend server.
#[derive(Debug)]
pub(super) struct Backend {
    state: Mutex<State>,
    open: Arc<AtomicUsize>,
    // Idle connections that `take_idle` found closed and `drop_closed` has not reported yet.
    found_closed: AtomicUsize,
    idle_waker: Arc<IdleWaker>,
    waker: Waker,
}

#[derive(Debug)]
struct State {
    // Ordered by the time of the last response, oldest first.
    idle: Vec<Conn>,
    limit: usize,
    retired: bool,
}

/// Permit for one open connection, returned on drop.
#[derive(Debug)]
pub(super) struct Permit {
    open: Arc<AtomicUsize>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waker of idle connections: queues the backend server's id for [`Backend::drop_closed`], once
/// until that function runs.
#[derive(Debug)]
struct IdleWaker {
    backend: BackendId,
    pending: AtomicBool,
    queue: mpsc::UnboundedSender<BackendId>,
}

impl Wake for IdleWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.pending.swap(true, Ordering::AcqRel) {
            // Sending fails only when the pool was dropped, along with its connections.
            let _ = self.queue.send(self.backend.clone());
        }
    }
}

impl Backend {
    /// Creates the state of a backend server without connections.
    pub(super) fn new(
        id: &BackendId,
        limit: usize,
        queue: mpsc::UnboundedSender<BackendId>,
    ) -> Backend {
        let idle_waker =
            Arc::new(IdleWaker { backend: id.clone(), pending: AtomicBool::new(false), queue });
        Backend {
            state: Mutex::new(State { idle: Vec::new(), limit, retired: false }),
            open: Arc::new(AtomicUsize::new(0)),
            found_closed: AtomicUsize::new(0),
            waker: Waker::from(Arc::clone(&idle_waker)),
            idle_waker,
        }
    }

    /// Takes an idle connection that `dispatch` may use, the most recently used first.
    pub(super) fn take_idle(&self, dispatch: &Dispatch, config: &Config) -> Option<Conn> {
        let age = match dispatch.reuse {
            Reuse::Any => config.idle_timeout,
            Reuse::Proven => config.proven_window.min(config.idle_timeout),
        };
        let now = Instant::now();
        let mut state = self.state();
        if state.retired {
            return None;
        }
        while let Some(mut conn) = state.idle.pop() {
            if now.duration_since(conn.last_answer()) > age {
                state.idle.push(conn);
                return None;
            }
            if !conn.is_reusable(&self.waker) {
                self.found_closed.fetch_add(1, Ordering::Relaxed);
                self.waker.wake_by_ref();
            } else if conn.address() == dispatch.address {
                return Some(conn);
            }
        }
        None
    }

    /// Acquires the permit to open a connection; at the limit, closes the longest idle connection.
    pub(super) fn acquire_permit(&self) -> Result<Permit, Cause> {
        let mut state = self.state();
        if state.retired {
            return Err(Cause::Retired);
        }
        let limit = state.limit;
        while self.open_count() >= limit && !state.idle.is_empty() {
            drop(state.idle.remove(0));
        }
        // Only this function increments the count, and it holds the lock.
        if self.open_count() >= limit {
            return Err(Cause::Busy { limit });
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Ok(Permit { open: Arc::clone(&self.open) })
    }

    /// Keeps a connection for reuse after a complete response, if it can carry another request.
    pub(super) fn put_idle(&self, mut conn: Conn) {
        let mut state = self.state();
        let room = self.open_count() <= state.limit;
        if room && !state.retired && conn.is_reusable(&self.waker) {
            state.idle.push(conn);
        }
    }

    /// Closes all idle connections.
    pub(super) fn drop_idle(&self) {
        self.state().idle.clear();
    }

    /// Closes idle connections that were last used before `since`.
    pub(super) fn drop_idle_before(&self, since: Instant) {
        self.state().idle.retain(|conn| conn.last_answer() >= since);
    }

    /// Closes connections that have been idle for longer than `limit`.
    pub(super) fn drop_expired(&self, limit: Duration) {
        self.state().idle.retain(|conn| conn.last_answer().elapsed() <= limit);
    }

    /// Drops the idle connections that the backend server closed. Returns how many were found
    /// closed since the last call.
    pub(super) fn drop_closed(&self) -> usize {
        let mut state = self.state();
        // Cleared before the check, so that a change during the check wakes the pool again.
        self.idle_waker.pending.store(false, Ordering::Release);
        let before = state.idle.len();
        state.idle.retain_mut(|conn| conn.is_reusable(&self.waker));
        before - state.idle.len() + self.found_closed.swap(0, Ordering::Relaxed)
    }

    /// Closes all idle connections and allows no new ones.
    pub(super) fn retire(&self) {
        let mut state = self.state();
        state.retired = true;
        state.idle.clear();
    }

    /// Allows connections again after [`Backend::retire`].
    pub(super) fn restore(&self) {
        self.state().retired = false;
    }

    /// Sets the maximum number of connections and closes idle ones above it.
    pub(super) fn set_limit(&self, limit: usize) {
        let mut state = self.state();
        state.limit = limit;
        while self.open_count() > limit && !state.idle.is_empty() {
            drop(state.idle.remove(0));
        }
    }

    /// Returns the number of open connections.
    pub(super) fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of idle connections.
    pub(super) fn idle_count(&self) -> usize {
        self.state().idle.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
