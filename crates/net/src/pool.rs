//! Connections to backend servers.
//!
//! [`Pool::run`] sends one request on one connection and says what is certain about it. A request
//! that was not sent did not run; the proof is a count of the bytes that the kernel took. A
//! connection carries its next request only after a whole answer to the last one: on a timeout, an
//! error or a cancelled call it is closed, so a late answer cannot meet another request.
//!
//! Some middle box may lose track of connections, which then stay silent while new ones work. A
//! failure on one connection therefore closes the idle ones that were last used before it, and
//! [`Reuse::Proven`] limits a request to connections that are new or answered lately.

mod backend;
mod conn;
mod outcome;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::HeaderValue;
use hyper::http::uri::PathAndQuery;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::timeout_at;

use crate::pool::backend::Backend;
use crate::pool::conn::Conn;
use crate::pool::conn::request;
use model::BackendId;
use model::RequestId;

pub use outcome::Answer;
pub use outcome::Cause;
pub use outcome::Outcome;

/// Header with the id of the request, in requests and answers.
pub const REQUEST_HEADER: &str = "basilrack-request";
/// Header with the number of the attempt, from one.
pub const ATTEMPT_HEADER: &str = "basilrack-attempt";
/// Header with the milliseconds until the answer is useless.
pub const DEADLINE_HEADER: &str = "basilrack-deadline-ms";
/// Header with the verdict of a backend server on a request that it refused.
pub const VERDICT_HEADER: &str = "basilrack-verdict";

/// Limits of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Connections to one backend server, idle ones included.
    pub max_connections: usize,
    /// Limit on connecting.
    pub connect_timeout: Duration,
    /// How long an answer proves a connection.
    pub proven_window: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// Longest answer body, in bytes.
    pub answer_len: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_connections: 8,
            connect_timeout: Duration::from_millis(1_000),
            proven_window: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            answer_len: 16 << 20,
        }
    }
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any.
    Any,
    /// New ones, and those that answered lately.
    Proven,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The backend server.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// Path of the request.
    pub path: PathAndQuery,
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt, from one.
    pub attempt: u32,
    /// Content type of the body.
    pub content: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
    /// Time after which the answer is useless.
    pub timeout: Duration,
    /// Which connections may be used.
    pub reuse: Reuse,
}

/// Counters of a pool since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Connections open now.
    pub open: usize,
    /// Connections idle now.
    pub idle: usize,
    /// Connections opened.
    pub opened: u64,
    /// Requests sent on a connection that had answered before.
    pub reused: u64,
    /// Idle connections closed by the backend server.
    pub closed_idle: u64,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests of which nothing was sent.
    pub unsent: u64,
    /// Requests that were sent without a whole answer.
    pub broken: u64,
    /// Requests that timed out.
    pub timed_out: u64,
    /// Answers that named another request.
    pub mismatched: u64,
}

/// Connections to all backend servers; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    config: Config,
    backends: RwLock<BTreeMap<BackendId, Arc<Backend>>>,
    stirred: mpsc::UnboundedSender<BackendId>,
    totals: Totals,
}

#[derive(Debug, Default)]
struct Totals {
    opened: AtomicU64,
    reused: AtomicU64,
    closed_idle: AtomicU64,
    answered: AtomicU64,
    unsent: AtomicU64,
    broken: AtomicU64,
    timed_out: AtomicU64,
    mismatched: AtomicU64,
}

impl Pool {
    /// An empty pool, which tends its idle connections on the current tokio runtime.
    ///
    /// `closed` gets the backend servers that close an idle connection, which may be a sign that
    /// they are leaving; a sign that finds no room is left out.
    pub fn new(config: Config, closed: mpsc::Sender<BackendId>) -> Pool {
        let (stirred, queue) = mpsc::unbounded_channel();
        let pause = config.idle_timeout;
        let backends = RwLock::new(BTreeMap::new());
        let inner = Arc::new(Inner { config, backends, stirred, totals: Totals::default() });
        tokio::spawn(tend(Arc::downgrade(&inner), queue, closed, pause));
        Pool { inner }
    }

    /// Sends a request and waits for its answer.
    ///
    /// Dropping the future closes the connection.
    pub async fn run(&self, dispatch: Dispatch) -> Outcome {
        let outcome = self.inner.run(dispatch).await;
        self.inner.totals.count(&outcome);
        outcome
    }

    /// Closes the idle connections to a backend server.
    pub fn drop_idle(&self, backend: &BackendId) {
        if let Some(backend) = self.inner.find(backend) {
            backend.drop_idle();
        }
    }

    /// Closes the idle connections to a backend server and sends it nothing new.
    ///
    /// Requests in progress go on.
    pub fn retire(&self, backend: &BackendId) {
        self.inner.backend(backend).retire();
    }

    /// Lets a retired backend server have requests again.
    pub fn restore(&self, backend: &BackendId) {
        if let Some(backend) = self.inner.find(backend) {
            backend.restore();
        }
    }

    /// Forgets a backend server that is gone for good.
    pub fn forget(&self, backend: &BackendId) {
        let mut backends = self.inner.backends.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(backend) = backends.remove(backend) {
            backend.retire();
        }
    }

    /// Sets how many connections a backend server may have from here.
    pub fn set_limit(&self, backend: &BackendId, connections: usize) {
        self.inner.backend(backend).limit(connections);
    }

    /// Connections open to a backend server.
    pub fn open_count(&self, backend: &BackendId) -> usize {
        self.inner.find(backend).map_or(0, |backend| backend.open())
    }

    /// Counters since the start.
    pub fn counters(&self) -> PoolCounters {
        self.inner.counters()
    }
}

impl Inner {
    async fn run(&self, dispatch: Dispatch) -> Outcome {
        let backend = self.backend(&dispatch.backend);
        let started = Instant::now();
        let deadline = started + dispatch.timeout;
        let mut reuse = true;
        loop {
            let idle = if reuse { backend.take(&dispatch, &self.config) } else { None };
            let reused = idle.is_some();
            let mut conn = match idle {
                Some(conn) => conn,
                None => match timeout_at(deadline, self.open(&backend, dispatch.address)).await {
                    Ok(Ok(conn)) => conn,
                    Ok(Err(cause)) => return Outcome::NotSent { cause },
                    Err(_) => return Outcome::TimedOut { sent: false },
                },
            };
            if reused {
                self.totals.reused.fetch_add(1, Ordering::Relaxed);
            }
            let begun = Instant::now();
            let request = request(&dispatch, conn.host(), deadline.duration_since(begun));
            let exchange = conn.exchange(request, self.config.answer_len);
            let result = timeout_at(deadline, exchange).await;
            let sent = conn.sent();
            match result {
                Ok(Ok(answer)) if answer.belongs_to(dispatch.id) => {
                    backend.give_back(conn);
                    return Outcome::Answered(answer);
                }
                Ok(Ok(answer)) => {
                    let cause = Cause::Mismatched { expected: dispatch.id, found: answer.found() };
                    return fail(&backend, conn, begun, Outcome::Broken { cause });
                }
                Ok(Err(cause)) if sent => {
                    return fail(&backend, conn, begun, Outcome::Broken { cause });
                }
                // Nothing left this process, so another connection may carry the request.
                Ok(Err(_)) if reused => reuse = false,
                Ok(Err(cause)) => return Outcome::NotSent { cause },
                Err(_) => return fail(&backend, conn, begun, Outcome::TimedOut { sent }),
            }
        }
    }

    async fn open(&self, backend: &Backend, address: SocketAddr) -> Result<Conn, Cause> {
        let permit = backend.permit()?;
        let conn = Conn::open(address, self.config.connect_timeout, permit).await?;
        self.totals.opened.fetch_add(1, Ordering::Relaxed);
        Ok(conn)
    }

    fn find(&self, id: &BackendId) -> Option<Arc<Backend>> {
        let backends = self.backends.read().unwrap_or_else(PoisonError::into_inner);
        backends.get(id).cloned()
    }

    fn backend(&self, id: &BackendId) -> Arc<Backend> {
        if let Some(backend) = self.find(id) {
            return backend;
        }
        let make = || Arc::new(Backend::new(id, self.config.max_connections, self.stirred.clone()));
        let mut backends = self.backends.write().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(backends.entry(id.clone()).or_insert_with(make))
    }

    fn all(&self) -> Vec<Arc<Backend>> {
        let backends = self.backends.read().unwrap_or_else(PoisonError::into_inner);
        backends.values().cloned().collect()
    }

    fn counters(&self) -> PoolCounters {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let all = self.all();
        PoolCounters {
            open: all.iter().map(|backend| backend.open()).sum(),
            idle: all.iter().map(|backend| backend.idle()).sum(),
            opened: load(&self.totals.opened),
            reused: load(&self.totals.reused),
            closed_idle: load(&self.totals.closed_idle),
            answered: load(&self.totals.answered),
            unsent: load(&self.totals.unsent),
            broken: load(&self.totals.broken),
            timed_out: load(&self.totals.timed_out),
            mismatched: load(&self.totals.mismatched),
        }
    }
}

/// Closes a failed connection and the idle ones that were last used before it began to fail.
fn fail(backend: &Backend, conn: Conn, begun: Instant, outcome: Outcome) -> Outcome {
    drop(conn);
    backend.drop_older(begun);
    outcome
}

impl Totals {
    fn count(&self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Answered(_) => &self.answered,
            Outcome::NotSent { .. } => &self.unsent,
            Outcome::Broken { .. } => &self.broken,
            Outcome::TimedOut { .. } => &self.timed_out,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if let Outcome::Broken { cause: Cause::Mismatched { .. } } = outcome {
            self.mismatched.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Closes idle connections that the other side closed or that have been idle too long.
async fn tend(
    inner: Weak<Inner>,
    mut stirred: mpsc::UnboundedReceiver<BackendId>,
    closed: mpsc::Sender<BackendId>,
    pause: Duration,
) {
    let mut ticks = interval(pause.max(Duration::from_millis(1)));
    loop {
        let id = tokio::select! {
            id = stirred.recv() => id,
            _ = ticks.tick() => None,
        };
        let Some(inner) = inner.upgrade() else { return };
        let Some(id) = id else {
            inner.all().iter().for_each(|backend| backend.expire(inner.config.idle_timeout));
            continue;
        };
        let closed_idle = inner.find(&id).map_or(0, |backend| backend.sweep());
        if closed_idle > 0 {
            inner.totals.closed_idle.fetch_add(closed_idle as u64, Ordering::Relaxed);
            // A sign only: the next one tells the same.
            let _ = closed.try_send(id);
        }
    }
}
