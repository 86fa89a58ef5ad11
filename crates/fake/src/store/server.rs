//! The store over HTTP.

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
use crate::http::Handler;
use crate::http::Hangup;
use crate::http::Server;
use crate::http::read;
use crate::http::status;
use crate::store::answer::kind;
use crate::store::answer::parse;
use crate::store::answer::problem;
use crate::store::faults::AnswerLoss;
use crate::store::faults::StoreFaults;
use crate::store::feeder::Feeder;
use crate::store::gateway::WatchRequest;
use crate::store::kv::Kv;
use crate::store::kv::Operation;
use crate::store::kv::Outcome;
use crate::store::kv::Span;
use crate::store::record::CallKind;
use crate::store::record::Calls;
use model::Time;

/// Time between two looks for leases to expire.
const LEASE_TICK: Duration = Duration::from_millis(10);
/// Lines of a watch that may wait for the connection.
const WATCH_BUFFER: usize = 16;

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) kv: Kv,
    calls: Calls,
    pub(crate) faults: StoreFaults,
    rng: SmallRng,
    /// Time on the clock that leases expire by.
    pub(crate) lease_time: Time,
    ticked: Instant,
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    pub(crate) changed: Notify,
    origin: Instant,
}

/// The key-value store.
#[derive(Debug)]
pub struct StoreServer {
    shared: Arc<Shared>,
    server: Server,
    ticker: AbortHandle,
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.ticker.abort();
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
            ticked: Instant::now(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Notify::new(),
            origin: Instant::now(),
        });
        let server = Server::start(Gateway { shared: shared.clone() }, None)?;
        let ticker = tokio::spawn(tick(shared.clone())).abort_handle();
        Ok(StoreServer { shared, server, ticker })
    }

    /// Where it listens.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Its address as a URL.
    pub fn url(&self) -> String {
        self.address().url()
    }

    /// Changes its faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        let mut state = self.shared.lock();
        state.advance();
        change(&mut state.faults);
        self.server.set_accepting(!state.faults.down);
    }

    /// Lets every open connection go silent for good. New ones work.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Forgets what was replaced before a revision; the current one if it is 0.
    pub fn compact(&self, revision: u64) {
        let mut state = self.shared.lock();
        let revision = if revision == 0 { state.kv.revision() } else { revision };
        state.kv.compact(revision);
    }

    /// Ends every lease at once.
    pub fn expire_leases(&self) {
        let mut state = self.shared.lock();
        for id in state.kv.leases() {
            // The lease is there, as the list was just made.
            let _ = state.kv.revoke(id);
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Leases that are held.
    pub fn leases(&self) -> Vec<i64> {
        self.shared.lock().kv.leases()
    }

    /// The revision of the store.
    pub fn revision(&self) -> u64 {
        self.shared.lock().kv.revision()
    }

    /// The value of a key, read past every fault.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let start = Bytes::copy_from_slice(key.as_bytes());
        let span = Span { start, end: None };
        let range = [Operation::Range { span, revision: 0 }];
        let outcomes = self.shared.lock().kv.apply(&range).ok()?;
        let Some(Outcome::Range(records)) = outcomes.into_iter().next() else { return None };
        records.into_iter().next()?.version.value
    }

    /// Sets a key past every fault, as another client would.
    pub fn set(&self, key: &str, value: &[u8]) -> u64 {
        let (key, value) = (key.as_bytes().to_vec().into(), value.to_vec().into());
        let mut state = self.shared.lock();
        // Without a lease and within the size limit a put is never refused.
        let _ = state.kv.apply(&[Operation::Put { key, value, lease: 0 }]);
        let revision = state.kv.revision();
        drop(state);
        self.shared.changed.notify_waiters();
        revision
    }

    /// Calls so far, of one kind or of all.
    pub fn calls(&self, kind: Option<CallKind>) -> u64 {
        self.shared.lock().calls.count(kind)
    }

    /// Calls within the last span of time this long.
    pub fn calls_within(&self, window: Duration) -> u64 {
        let from = self.shared.now() - window;
        self.shared.lock().calls.since(from)
    }

    /// Most calls in any span of time this long.
    pub fn peak_calls(&self, window: Duration) -> u64 {
        self.shared.lock().calls.peak(window)
    }

    /// Forgets the calls so far.
    pub fn reset_calls(&self) {
        self.shared.lock().calls.clear();
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }
}

impl State {
    /// Moves the clock of the leases on.
    fn advance(&mut self) {
        let passed = self.ticked.elapsed();
        self.ticked += passed;
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

async fn tick(shared: Arc<Shared>) {
    loop {
        sleep(LEASE_TICK).await;
        shared.expire();
    }
}

#[derive(Clone)]
struct Gateway {
    shared: Arc<Shared>,
}

impl Handler for Gateway {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let Some(kind) = kind(request.uri().path()) else {
            return Ok(status(StatusCode::NOT_FOUND));
        };
        let body = read(request.into_body()).await?;
        let (delay, stuck) = self.arrive(kind);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if stuck {
            std::future::pending::<()>().await;
        }
        if let Some(early) = self.interfere()? {
            return Ok(early);
        }
        if kind == CallKind::Watch {
            return Ok(self.watch(&body));
        }
        self.shared.expire();
        let answer = self.shared.lock().answer(kind, &body);
        self.shared.changed.notify_waiters();
        self.lose().await?;
        Ok(answer)
    }
}

impl Gateway {
    fn arrive(&self, kind: CallKind) -> (Duration, bool) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.calls.record(now, kind);
        (state.faults.delay, state.faults.stuck)
    }

    /// Fails a call before it takes effect.
    fn interfere(&self) -> Result<Option<Response<Body>>, Hangup> {
        let mut state = self.shared.lock();
        let (dropped, refused) = (state.faults.drop_request, state.faults.unavailable);
        if state.chance(dropped) {
            return Err(Hangup);
        }
        if state.chance(refused) {
            let message = "etcdserver: no leader";
            return Ok(Some(problem(StatusCode::SERVICE_UNAVAILABLE, 14, message)));
        }
        Ok(None)
    }

    /// Loses an answer after the call took effect.
    async fn lose(&self) -> Result<(), Hangup> {
        let (lost, loss) = {
            let mut state = self.shared.lock();
            let share = state.faults.lose_answer;
            (state.chance(share), state.faults.loss)
        };
        match loss {
            AnswerLoss::Close if lost => Err(Hangup),
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
        let (lines, stream) = mpsc::channel(WATCH_BUFFER);
        let next = match create.start_revision.unsigned() {
            0 => self.shared.lock().kv.revision() + 1,
            start => start,
        };
        let feeder = Feeder {
            shared: self.shared.clone(),
            span: create.span(),
            next,
            progress: create.progress_notify,
            lines,
        };
        tokio::spawn(feeder.run());
        Response::new(Body::Stream(stream))
    }
}
