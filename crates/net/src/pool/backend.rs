//! The connections to one backend server.

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

/// One backend server.
#[derive(Debug)]
pub(super) struct Backend {
    state: Mutex<State>,
    open: Arc<AtomicUsize>,
    // Idle connections found closed and not reported yet.
    lost: AtomicUsize,
    stir: Arc<Stir>,
    waker: Waker,
}

#[derive(Debug)]
struct State {
    // In the order of their last answers.
    idle: Vec<Conn>,
    limit: usize,
    retired: bool,
}

/// Right to one connection, until it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    open: Arc<AtomicUsize>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reports once that an idle connection has something to say.
#[derive(Debug)]
struct Stir {
    backend: BackendId,
    pending: AtomicBool,
    queue: mpsc::UnboundedSender<BackendId>,
}

impl Wake for Stir {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.pending.swap(true, Ordering::AcqRel) {
            // Without a pool there is nothing to tend.
            let _ = self.queue.send(self.backend.clone());
        }
    }
}

impl Backend {
    /// A backend server without connections.
    pub(super) fn new(
        id: &BackendId,
        limit: usize,
        queue: mpsc::UnboundedSender<BackendId>,
    ) -> Backend {
        let stir = Arc::new(Stir { backend: id.clone(), pending: AtomicBool::new(false), queue });
        Backend {
            state: Mutex::new(State { idle: Vec::new(), limit, retired: false }),
            open: Arc::new(AtomicUsize::new(0)),
            lost: AtomicUsize::new(0),
            waker: Waker::from(Arc::clone(&stir)),
            stir,
        }
    }

    /// An idle connection that `dispatch` may use.
    pub(super) fn take(&self, dispatch: &Dispatch, config: &Config) -> Option<Conn> {
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
            if now.duration_since(conn.answered()) > age {
                state.idle.push(conn);
                return None;
            }
            if !conn.usable(&self.waker) {
                self.lost.fetch_add(1, Ordering::Relaxed);
                self.waker.wake_by_ref();
            } else if conn.address() == dispatch.address {
                return Some(conn);
            }
        }
        None
    }

    /// The right to open a connection; the longest idle one makes room if need be.
    pub(super) fn permit(&self) -> Result<Permit, Cause> {
        let mut state = self.state();
        if state.retired {
            return Err(Cause::Retired);
        }
        let limit = state.limit;
        while self.open() >= limit && !state.idle.is_empty() {
            drop(state.idle.remove(0));
        }
        // Only this function raises the count, and it holds the lock.
        if self.open() >= limit {
            return Err(Cause::Busy { limit });
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Ok(Permit { open: Arc::clone(&self.open) })
    }

    /// Keeps a connection after a whole answer, if it can carry another request.
    pub(super) fn give_back(&self, mut conn: Conn) {
        let mut state = self.state();
        let room = self.open() <= state.limit;
        if room && !state.retired && conn.usable(&self.waker) {
            state.idle.push(conn);
        }
    }

    /// Closes idle connections.
    pub(super) fn drop_idle(&self) {
        self.state().idle.clear();
    }

    /// Closes idle connections that were last used before `since`.
    pub(super) fn drop_older(&self, since: Instant) {
        self.state().idle.retain(|conn| conn.answered() >= since);
    }

    /// Closes connections that have been idle for longer than `limit`.
    pub(super) fn expire(&self, limit: Duration) {
        self.state().idle.retain(|conn| conn.answered().elapsed() <= limit);
    }

    /// Closes idle connections that the other side closed, and tells how many since the last time.
    pub(super) fn sweep(&self) -> usize {
        let mut state = self.state();
        // Cleared before the look, so that what changes during it is reported again.
        self.stir.pending.store(false, Ordering::Release);
        let before = state.idle.len();
        state.idle.retain_mut(|conn| conn.usable(&self.waker));
        before - state.idle.len() + self.lost.swap(0, Ordering::Relaxed)
    }

    /// Closes idle connections and opens no more.
    pub(super) fn retire(&self) {
        let mut state = self.state();
        state.retired = true;
        state.idle.clear();
    }

    /// Allows connections again.
    pub(super) fn restore(&self) {
        self.state().retired = false;
    }

    /// Sets how many connections there may be.
    pub(super) fn limit(&self, limit: usize) {
        let mut state = self.state();
        state.limit = limit;
        while self.open() > limit && !state.idle.is_empty() {
            drop(state.idle.remove(0));
        }
    }

    /// Connections open now.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Connections idle now.
    pub(super) fn idle(&self) -> usize {
        self.state().idle.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
