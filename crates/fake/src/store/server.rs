//! HTTP interface of the store, with fault injection.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::http::Address;
use crate::http::Body;
use crate::http::CloseConnection;
use crate::http::Handler;
use crate::http::Server;
use crate::http::read;
use crate::http::status;
use crate::store::answer::call_kind;
use crate::store::answer::error_response;
use crate::store::answer::parse;
use crate::store::faults::AnswerLoss;
use crate::store::faults::StoreFaults;
use crate::store::feeder::WatchFeeder;
use crate::store::gateway::WatchRequest;
use crate::store::kv::KeyRange;
use crate::store::kv::Kv;
use crate::store::kv::Operation;
use crate::store::kv::Outcome;
use crate::store::record::CallKind;
use crate::store::record::Calls;
use model::Time;

/// Interval at which leases are checked for expiry.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of lines of a watch that are buffered for the connection.
const WATCH_BUFFER_LINES: usize = 16;

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) kv: Kv,
    calls: Calls,
    pub(crate) faults: StoreFaults,
    rng: SmallRng,
    /// Current time on the clock on which leases expire.
    pub(crate) lease_time: Time,
    /// Real time up to which `lease_time` has been advanced.
    advanced_at: Instant,
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    pub(crate) changed: Notify,
    origin: Instant,
}

/// A simulated key-value store.
#[derive(Debug)]
pub struct StoreServer {
    shared: Arc<Shared>,
    server: Server,
    expiry_task: AbortHandle,
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.expiry_task.abort();
    }
}

impl StoreServer {
    /// Starts an empty store.
    ///
    /// # Errors
    /// No loopback port is free.
    pub fn start(seed: u64) -> io::Result<StoreServer> {
        let state = State {
            kv: Kv::new(),
            calls: Calls::default(),
            faults: StoreFaults::default(),
            rng: SmallRng::seed_from_u64(seed),
            lease_time: Time::ZERO,
            advanced_at: Instant::now(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Notify::new(),
            origin: Instant::now(),
        });
        let server = Server::start(Gateway { shared: shared.clone() }, None)?;
        let expiry_task = tokio::spawn(expire_periodically(shared.clone())).abort_handle();
        Ok(StoreServer { shared, server, expiry_task })
    }

    /// Returns the address of the store.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Returns the address of the store as a URL.
    pub fn url(&self) -> String {
        self.address().url()
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        let mut state = self.shared.lock();
        state.advance();
        change(&mut state.faults);
        self.server.set_accepting(!state.faults.down);
    }

    /// Stalls all open connections permanently without closing them. New connections work.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Compacts the history up to a revision, or up to the current revision if it is 0.
    pub fn compact(&self, revision: u64) {
        let mut state = self.shared.lock();
        let revision = if revision == 0 { state.kv.revision() } else { revision };
        state.kv.compact(revision);
    }

    /// Revokes all leases and deletes their keys.
    pub fn expire_leases(&self) {
        let mut state = self.shared.lock();
        for id in state.kv.leases() {
            // Cannot fail: the id was just read from the table of leases.
            let _ = state.kv.revoke(id);
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the ids of the current leases.
    pub fn leases(&self) -> Vec<i64> {
        self.shared.lock().kv.leases()
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.shared.lock().kv.revision()
    }

    /// Returns the value of a key, bypassing the faults; `None` if the key does not exist.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let start = Bytes::copy_from_slice(key.as_bytes());
        let key_range = KeyRange { start, end: None };
        let range = [Operation::Range { key_range, revision: 0 }];
        let outcomes = self.shared.lock().kv.apply(&range).ok()?;
        let Some(Outcome::Range(records)) = outcomes.into_iter().next() else { return None };
        records.into_iter().next()?.version.value
    }

    /// Sets a key, bypassing the faults, as if another client did; returns the revision.
    pub fn set(&self, key: &str, value: &[u8]) -> u64 {
        let (key, value) = (key.as_bytes().to_vec().into(), value.to_vec().into());
        let mut state = self.shared.lock();
        // A put without a lease and within the size limit never fails.
        let _ = state.kv.apply(&[Operation::Put { key, value, lease: 0 }]);
        let revision = state.kv.revision();
        drop(state);
        self.shared.changed.notify_waiters();
        revision
    }

    /// Returns the number of recorded calls, of one kind or of all kinds.
    pub fn calls(&self, kind: Option<CallKind>) -> u64 {
        self.shared.lock().calls.count(kind)
    }

    /// Returns the number of calls within the latest time window of this length.
    pub fn calls_within(&self, window: Duration) -> u64 {
        let from = self.shared.now() - window;
        self.shared.lock().calls.count_since(from)
    }

    /// Returns the maximum number of calls within any time window of this length.
    pub fn peak_calls(&self, window: Duration) -> u64 {
        self.shared.lock().calls.peak(window)
    }

    /// Clears the record of calls.
    pub fn reset_calls(&self) {
        self.shared.lock().calls.clear();
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }
}

impl State {
    /// Advances the lease clock to the present.
    fn advance(&mut self) {
        let passed = self.advanced_at.elapsed();
        self.advanced_at += passed;
        self.lease_time = self.lease_time + passed.mul_f64(self.faults.lease_speed);
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    fn expire(&self) {
        let mut state = self.lock();
        state.advance();
        let now = state.lease_time;
        let changed = state.kv.expire(now);
        drop(state);
        if changed {
            self.changed.notify_waiters();
        }
    }
}

async fn expire_periodically(shared: Arc<Shared>) {
    loop {
        sleep(LEASE_CHECK_INTERVAL).await;
        shared.expire();
    }
}

#[derive(Clone)]
struct Gateway {
    shared: Arc<Shared>,
}

impl Handler for Gateway {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
        let Some(kind) = call_kind(request.uri().path()) else {
            return Ok(status(StatusCode::NOT_FOUND));
        };
        let body = read(request.into_body()).await?;
        let (delay, stuck) = self.record_call(kind);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if stuck {
            std::future::pending::<()>().await;
        }
        if let Some(early_answer) = self.inject_early_faults()? {
            return Ok(early_answer);
        }
        if kind == CallKind::Watch {
            return Ok(self.watch(&body));
        }
        self.shared.expire();
        let answer = self.shared.lock().execute(kind, &body);
        self.shared.changed.notify_waiters();
        self.inject_answer_loss().await?;
        Ok(answer)
    }
}

impl Gateway {
    fn record_call(&self, kind: CallKind) -> (Duration, bool) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.calls.record(now, kind);
        (state.faults.delay, state.faults.stuck)
    }

    /// Injects the faults that fail a call before it takes effect.
    fn inject_early_faults(&self) -> Result<Option<Response<Body>>, CloseConnection> {
        let mut state = self.shared.lock();
        let (dropped, refused) = (state.faults.drop_request, state.faults.unavailable);
        if state.chance(dropped) {
            return Err(CloseConnection);
        }
        if state.chance(refused) {
            let message = "etcdserver: no leader";
            return Ok(Some(error_response(StatusCode::SERVICE_UNAVAILABLE, 14, message)));
        }
        Ok(None)
    }

    /// Injects the loss of the answer of a call that took effect.
    async fn inject_answer_loss(&self) -> Result<(), CloseConnection> {
        let (lost, loss) = {
            let mut state = self.shared.lock();
            let share = state.faults.lose_answer;
            (state.chance(share), state.faults.loss)
        };
        match loss {
            AnswerLoss::Close if lost => Err(CloseConnection),
            AnswerLoss::Silence if lost => std::future::pending().await,
            AnswerLoss::Close | AnswerLoss::Silence => Ok(()),
        }
    }

    fn watch(&self, body: &[u8]) -> Response<Body> {
        let request: WatchRequest = match parse(body) {
            Ok(request) => request,
            Err(failure) => return failure.into_response(),
        };
        let create = request.create_request;
        let (lines, stream) = mpsc::channel(WATCH_BUFFER_LINES);
        let next_revision = match create.start_revision.unsigned() {
            0 => self.shared.lock().kv.revision() + 1,
            start => start,
        };
        let feeder = WatchFeeder {
            shared: self.shared.clone(),
            range: create.key_range(),
            next_revision,
            sends_progress: create.progress_notify,
            lines,
        };
        tokio::spawn(feeder.run());
        Response::new(Body::Stream(stream))
    }
}
