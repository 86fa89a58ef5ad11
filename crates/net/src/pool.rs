//! Connection pool for requests to backend servers.
//!
//! [`Pool::run`] sends one request on one connection and reports whether it may have run. A request
//! of which no byte was sent did not run; this is proven by counting the bytes that the kernel
//! accepted. A connection is reused only after a complete response to its last request. It is
//! closed after a timeout, an error or a cancelled call, so that a late response cannot be taken
//! for the response to another request.
//!
//! A middlebox, such as a NAT gateway or firewall, may drop its state of established connections:
//! packets on them are then lost silently while new connections work. A failure on one connection
//! therefore closes the idle connections that were last used before it, and [`Reuse::Proven`]
//! restricts a request to connections that are new or have recently delivered a response.

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
use crate::pool::conn::build_request;
use model::BackendId;
use model::RequestId;

pub use outcome::Answer;
pub use outcome::Cause;
pub use outcome::Outcome;

/// Header with the id of the request, in requests and responses.
pub const REQUEST_HEADER: &str = "basilrack-request";
/// Header with the number of the attempt, starting at 1.
pub const ATTEMPT_HEADER: &str = "basilrack-attempt";
/// Header with the time left until the request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "basilrack-deadline-ms";
/// Header with the verdict of a backend server on a request that it refused.
pub const VERDICT_HEADER: &str = "basilrack-verdict";

/// Connection and time limits of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Maximum number of connections to one backend server, including idle ones.
    pub max_connections: usize,
    /// Time limit on establishing a connection.
    pub connect_timeout: Duration,
    /// Time after a response during which a connection satisfies [`Reuse::Proven`].
    pub proven_window: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum length of a response body, in bytes.
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
    /// Any connection, new or idle.
    Any,
    /// New connections, and idle ones with a response within [`Config::proven_window`].
    Proven,
}

/// One attempt to send a request.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Backend server to send the request to.
    pub backend: BackendId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Path and query of the request.
    pub path: PathAndQuery,
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Content type of the body, if known.
    pub content: Option<HeaderValue>,
    /// Body of the request.
    pub body: Bytes,
    /// Time limit on the whole attempt, including connecting.
    pub timeout: Duration,
    /// Which connections the request may use.
    pub reuse: Reuse,
}

/// Counters of a pool since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Connections that are currently open, including idle ones.
    pub open: usize,
    /// Connections that are currently idle.
    pub idle: usize,
    /// Connections opened.
    pub opened: u64,
    /// Requests assigned to a reused connection.
    pub reused: u64,
    /// Idle connections closed by the backend server.
    pub closed_idle: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Requests of which nothing was sent.
    pub unsent: u64,
    /// Requests that were sent, at least in part, and failed without a complete response.
    pub broken: u64,
    /// Requests that timed out.
    pub timed_out: u64,
    /// Responses that carried the id of another request.
    pub mismatched: u64,
}

/// Connection pool for all backend servers; clones share the connections.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    config: Config,
    backends: RwLock<BTreeMap<BackendId, Arc<Backend>>>,
    woken: mpsc::UnboundedSender<BackendId>,
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
    /// Creates an empty pool, whose idle connections are maintained by a task on the current tokio
    /// runtime.
    ///
    /// `closed` receives the id of a backend server that closes idle connections, which may
    /// indicate that it is shutting down. Ids are dropped while the channel is full.
    pub fn new(config: Config, closed: mpsc::Sender<BackendId>) -> Pool {
        let (woken, queue) = mpsc::unbounded_channel();
        let check_interval = config.idle_timeout;
        let backends = RwLock::new(BTreeMap::new());
        let inner = Arc::new(Inner { config, backends, woken, totals: Totals::default() });
        tokio::spawn(maintain_idle(Arc::downgrade(&inner), queue, closed, check_interval));
        Pool { inner }
    }

    /// Sends a request and waits for its response.
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

    /// Closes the idle connections to a backend server and sends it no further requests.
    ///
    /// Requests in progress continue.
    pub fn retire(&self, backend: &BackendId) {
        self.inner.find_or_add(backend).retire();
    }

    /// Allows requests to a retired backend server again.
    pub fn restore(&self, backend: &BackendId) {
        if let Some(backend) = self.inner.find(backend) {
            backend.restore();
        }
    }

    /// Removes a backend server that no longer exists and closes its idle connections.
    pub fn forget(&self, backend: &BackendId) {
        let mut backends = self.inner.backends.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(backend) = backends.remove(backend) {
            backend.retire();
        }
    }

    /// Sets the maximum number of connections from this pool to a backend server.
    pub fn set_limit(&self, backend: &BackendId, connections: usize) {
        self.inner.find_or_add(backend).set_limit(connections);
    }

    /// Returns the number of open connections to a backend server.
    pub fn open_count(&self, backend: &BackendId) -> usize {
        self.inner.find(backend).map_or(0, |backend| backend.open_count())
    }

    /// Returns the counters of the pool.
    pub fn counters(&self) -> PoolCounters {
        self.inner.counters()
    }
}

impl Inner {
    async fn run(&self, dispatch: Dispatch) -> Outcome {
        let backend = self.find_or_add(&dispatch.backend);
        let started = Instant::now();
        let deadline = started + dispatch.timeout;
        let mut reuse = true;
        loop {
            let idle = if reuse { backend.take_idle(&dispatch, &self.config) } else { None };
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
            let sent_at = Instant::now();
            let request = build_request(&dispatch, conn.host(), deadline.duration_since(sent_at));
            let exchange = conn.exchange(request, self.config.answer_len);
            let result = timeout_at(deadline, exchange).await;
            let sent = conn.has_sent_bytes();
            match result {
                Ok(Ok(answer)) if answer.matches(dispatch.id) => {
                    backend.put_idle(conn);
                    return Outcome::Answered(answer);
                }
                Ok(Ok(answer)) => {
                    let cause =
                        Cause::Mismatched { expected: dispatch.id, found: answer.request_text() };
                    return close_failed(&backend, conn, sent_at, Outcome::Broken { cause });
                }
                Ok(Err(cause)) if sent => {
                    return close_failed(&backend, conn, sent_at, Outcome::Broken { cause });
                }
                // No byte was sent, so the request can be sent on a new connection.
                Ok(Err(_)) if reused => reuse = false,
                Ok(Err(cause)) => return Outcome::NotSent { cause },
                Err(_) => return close_failed(&backend, conn, sent_at, Outcome::TimedOut { sent }),
            }
        }
    }

    async fn open(&self, backend: &Backend, address: SocketAddr) -> Result<Conn, Cause> {
        let permit = backend.acquire_permit()?;
        let conn = Conn::open(address, self.config.connect_timeout, permit).await?;
        self.totals.opened.fetch_add(1, Ordering::Relaxed);
        Ok(conn)
    }

    fn find(&self, id: &BackendId) -> Option<Arc<Backend>> {
        let backends = self.backends.read().unwrap_or_else(PoisonError::into_inner);
        backends.get(id).cloned()
    }

    fn find_or_add(&self, id: &BackendId) -> Arc<Backend> {
        if let Some(backend) = self.find(id) {
            return backend;
        }
        let new_backend =
            || Arc::new(Backend::new(id, self.config.max_connections, self.woken.clone()));
        let mut backends = self.backends.write().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(backends.entry(id.clone()).or_insert_with(new_backend))
    }

    fn all(&self) -> Vec<Arc<Backend>> {
        let backends = self.backends.read().unwrap_or_else(PoisonError::into_inner);
        backends.values().cloned().collect()
    }

    fn counters(&self) -> PoolCounters {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let all = self.all();
        PoolCounters {
            open: all.iter().map(|backend| backend.open_count()).sum(),
            idle: all.iter().map(|backend| backend.idle_count()).sum(),
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

/// Closes a failed connection and the idle ones last used before the failed request was sent.
fn close_failed(backend: &Backend, conn: Conn, sent_at: Instant, outcome: Outcome) -> Outcome {
    drop(conn);
    backend.drop_idle_before(sent_at);
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

/// Closes idle connections that the backend server closed or that have reached their idle timeout.
async fn maintain_idle(
    inner: Weak<Inner>,
    mut woken: mpsc::UnboundedReceiver<BackendId>,
    closed: mpsc::Sender<BackendId>,
    check_interval: Duration,
) {
    let mut ticks = interval(check_interval.max(Duration::from_millis(1)));
    loop {
        let id = tokio::select! {
            id = woken.recv() => id,
            _ = ticks.tick() => None,
        };
        let Some(inner) = inner.upgrade() else { return };
        let Some(id) = id else {
            inner.all().iter().for_each(|backend| backend.drop_expired(inner.config.idle_timeout));
            continue;
        };
        let closed_idle = inner.find(&id).map_or(0, |backend| backend.drop_closed());
        if closed_idle > 0 {
            inner.totals.closed_idle.fetch_add(closed_idle as u64, Ordering::Relaxed);
            // A full channel is harmless: the receiver treats these ids only as hints.
            let _ = closed.try_send(id);
        }
    }
}
