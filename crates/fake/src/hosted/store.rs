//! The platform's store: items by key with one revision counter, transactions, leases, watches.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::hosted::HostedConfiguration;
use crate::http::Address;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Hangup;
use crate::http::Server;
use crate::http::json as answer;
use crate::http::read;
use crate::http::status;

/// Most items of one page.
const PAGE: usize = 500;
/// Most entries of one transaction.
const ENTRIES: usize = 32;
/// Pause between looks of a watch that waits.
const LOOK: Duration = Duration::from_millis(2);

/// What the store does to its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostedStoreFaults {
    /// It refuses every call.
    pub down: bool,
    /// It carries out writes and does not answer them.
    pub unanswered_writes: bool,
    /// How long it takes beyond the usual.
    pub delay: Duration,
}

#[derive(Clone, Debug)]
struct Stored {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Stored>,
    /// Changes in order: revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Stored>)>,
    /// Watches from before this are told that the history is gone.
    forgotten: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Leases granted so far.
    granted: u64,
    faults: HostedStoreFaults,
    calls: u64,
    /// Reads of whole ranges, by prefix.
    ranges: BTreeMap<String, u64>,
}

/// A stand-in for the platform's store.
#[derive(Debug)]
pub struct HostedStore {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl HostedStore {
    /// A store on a free loopback port.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn start() -> io::Result<HostedStore> {
        let state: Arc<Mutex<State>> = Arc::default();
        lock(&state).revision = 1;
        let server = Server::start(StoreHandler { state: Arc::clone(&state) }, None)?;
        Ok(HostedStore { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Sets what it does to its callers.
    pub fn set_faults(&self, faults: HostedStoreFaults) {
        lock(&self.state).faults = faults;
    }

    /// Forgets the history: every watch has to start anew.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.history.clear();
        state.forgotten = state.revision;
    }

    /// Lets every open connection go silent for good.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, configuration: &HostedConfiguration<'_>) {
        self.put("op/config", &configuration.body());
    }

    /// Writes an item as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        lock(&self.state).write(key, STANDARD.encode(value.to_string()), 0);
    }

    /// Writes an item whose value is a plain text, as an entry VM does.
    pub fn put_text(&self, key: &str, value: &str) {
        lock(&self.state).write(key, STANDARD.encode(value), 0);
    }

    /// Removes an item as the platform does.
    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.drop_item(key);
    }

    /// The value of an item.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        STANDARD.decode(&state.items.get(key)?.value).ok()
    }

    /// Reads of all items under a prefix.
    pub fn range_reads(&self, prefix: &str) -> u64 {
        lock(&self.state).ranges.get(prefix).copied().unwrap_or(0)
    }

    /// Calls received.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        self.set(key, value, lease);
    }

    /// Writes at the present revision.
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Stored { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    /// Removes at the present revision.
    fn drop_item(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    /// Ends leases whose time is over.
    fn expire(&mut self, now: Instant) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        self.revision += 1;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.drop_item(&key);
        }
    }

    fn show(&self, key: &str, item: &Stored) -> Value {
        json!({
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        })
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Value {
        let matching = self.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
        });
        let mut items: Vec<Value> =
            matching.take(PAGE + 1).map(|(key, item)| self.show(key, item)).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        json!({ "items": items, "hasMore": more, "storeRevision": self.revision })
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let matching = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        matching
            .map(|(revision, key, item)| match item {
                Some(item) => self.show(key, item),
                None => json!({ "key": key, "revision": revision, "removed": true }),
            })
            .collect()
    }

    fn transact(&mut self, body: &Value) -> Response<Body> {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, writes, deletes) = (rows("precondition"), rows("writes"), rows("deletes"));
        if conditions.len() + writes.len() + deletes.len() > ENTRIES {
            return status(StatusCode::BAD_REQUEST);
        }
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let holds = |row: &Value| {
            let revision = self.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        };
        if !conditions.iter().all(holds) {
            let present = |row: &Value| {
                let key = text(row, "key");
                self.items.get(&key).map(|item| self.show(&key, item))
            };
            let items: Vec<Value> = conditions.iter().filter_map(present).collect();
            return answer(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }));
        }
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if writes.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return status(StatusCode::NOT_FOUND);
        }
        let own = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
        if !writes.iter().all(|row| own(&text(row, "key"))) {
            return status(StatusCode::FORBIDDEN);
        }
        self.revision += 1;
        for row in &writes {
            self.set(&text(row, "key"), text(row, "value"), lease(row));
        }
        for key in deletes.iter().filter_map(Value::as_str) {
            self.drop_item(key);
        }
        answer(StatusCode::OK, &json!({ "revision": self.revision }))
    }
}

#[derive(Clone)]
struct StoreHandler {
    state: Arc<Mutex<State>>,
}

impl Handler for StoreHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let body = read(request.into_body()).await?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let faults = {
            let mut state = lock(&self.state);
            state.calls += 1;
            state.expire(Instant::now());
            if path == "/-/kv-range" {
                let prefix = query.split('&').find_map(|pair| pair.strip_prefix("prefix="));
                *state.ranges.entry(prefix.unwrap_or_default().to_owned()).or_default() += 1;
            }
            state.faults
        };
        sleep(faults.delay).await;
        if faults.down {
            return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let number = |name: &str| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let prefix = field("prefix").unwrap_or_default();
        let response = match path.as_str() {
            "/-/kv-key" => self.get(&field("key").unwrap_or_default()),
            "/-/kv-range" => {
                answer(StatusCode::OK, &lock(&self.state).range(&prefix, field("after").as_deref()))
            }
            "/-/kv-watch" => self.watch(&prefix, number("after"), number("waitMs")).await,
            "/-/kv-txn" => {
                let response = lock(&self.state).transact(&body);
                if faults.unanswered_writes {
                    std::future::pending::<()>().await;
                }
                response
            }
            "/-/kv-lease" => self.grant(body["ttlMs"].as_u64().unwrap_or(0)),
            path if path.starts_with("/-/kv-keep/") => self.keep(id),
            path if path.starts_with("/-/kv-lease-end/") => {
                lock(&self.state).end_lease(id);
                status(StatusCode::OK)
            }
            _ => status(StatusCode::NOT_FOUND),
        };
        Ok(response)
    }
}

impl StoreHandler {
    fn get(&self, key: &str) -> Response<Body> {
        let state = lock(&self.state);
        let Some(item) = state.items.get(key) else { return status(StatusCode::NOT_FOUND) };
        let mut shown = state.show(key, item);
        shown["storeRevision"] = json!(state.revision);
        answer(StatusCode::OK, &shown)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Response<Body> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let now = Instant::now();
            {
                let mut state = lock(&self.state);
                state.expire(now);
                if after < state.forgotten {
                    return status(StatusCode::GONE);
                }
                let events = state.events(prefix, after);
                if !events.is_empty() || now >= end {
                    let revision = state.revision;
                    return answer(
                        StatusCode::OK,
                        &json!({ "events": events, "storeRevision": revision }),
                    );
                }
            }
            sleep(LOOK).await;
        }
    }

    fn grant(&self, ttl_ms: u64) -> Response<Body> {
        let mut state = lock(&self.state);
        let ttl = Duration::from_millis(ttl_ms);
        state.granted += 1;
        let lease = state.granted;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        answer(StatusCode::OK, &json!({ "lease": lease, "ttlMs": ttl_ms }))
    }

    fn keep(&self, lease: u64) -> Response<Body> {
        let mut state = lock(&self.state);
        let Some((ttl, end)) = state.leases.get_mut(&lease) else {
            return status(StatusCode::NOT_FOUND);
        };
        *end = Instant::now() + *ttl;
        let ttl = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        answer(StatusCode::OK, &json!({ "ttlMs": ttl }))
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
