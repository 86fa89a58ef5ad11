//! Simulated key-value store of the platform.
//!
//! Items have revisions from one store-wide counter. The store supports transactions, leases and
//! watches.

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
use crate::http::CloseConnection;
use crate::http::Handler;
use crate::http::Server;
use crate::http::json as answer;
use crate::http::read;
use crate::http::status;

/// Maximum number of items per page of a range read.
const MAX_PAGE_ITEMS: usize = 500;
/// Maximum number of conditions, writes and deletes of one transaction.
const MAX_TXN_ENTRIES: usize = 32;
/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Faults that the store injects. The default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostedStoreFaults {
    /// Whether every call is answered with status 503.
    pub down: bool,
    /// Whether transactions are executed but never answered.
    pub unanswered_writes: bool,
    /// If not zero, transactions are executed after this time and never answered.
    pub late_writes: Duration,
    /// Delay of every call.
    pub delay: Duration,
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the new item or `None` if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// Watches that start before this revision are answered with status 410.
    compacted_revision: u64,
    /// Time to live and expiry time by lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Number of leases granted so far; the latest lease has this id.
    last_lease: u64,
    faults: HostedStoreFaults,
    calls: u64,
    /// Number of range reads by prefix.
    range_reads: BTreeMap<String, u64>,
    /// How often the waiting watches of each prefix were silenced.
    silenced_watches: BTreeMap<String, u64>,
    /// Prefix whose range reads and watches are answered with status 503.
    refused_prefix: Option<String>,
}

/// A simulated store of the platform.
#[derive(Debug)]
pub struct HostedStore {
    server: Server,
    state: Arc<Mutex<State>>,
}

/// A further address of a store, for clients that lose their path to it.
#[derive(Debug)]
pub struct HostedStorePort {
    server: Server,
}

impl HostedStorePort {
    /// Returns the address.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Accepts connections, or refuses them and closes those that are open.
    pub fn set_accepting(&self, accepting: bool) {
        self.server.set_accepting(accepting);
    }
}

impl HostedStore {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// No loopback port is free.
    pub fn start() -> io::Result<HostedStore> {
        let state: Arc<Mutex<State>> = Arc::default();
        lock(&state).revision = 1;
        let server = Server::start(StoreHandler { state: Arc::clone(&state) }, None)?;
        Ok(HostedStore { server, state })
    }

    /// Returns the address of the store.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Serves the same items at a further address.
    ///
    /// # Errors
    ///
    /// No loopback port is free.
    pub fn open_port(&self) -> io::Result<HostedStorePort> {
        let handler = StoreHandler { state: Arc::clone(&self.state) };
        Ok(HostedStorePort { server: Server::start(handler, None)? })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: HostedStoreFaults) {
        lock(&self.state).faults = faults;
    }

    /// Discards the history, so that every watch from an earlier revision has to restart.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.history.clear();
        state.compacted_revision = state.revision;
    }

    /// Stalls all open connections permanently without closing them.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Never answers the watches of a prefix that are waiting now, without closing their connections.
    pub fn silence_watches(&self, prefix: &str) {
        *lock(&self.state).silenced_watches.entry(prefix.to_owned()).or_default() += 1;
    }

    /// Answers range reads and watches of this prefix with status 503; `None` ends that. Watches that
    /// wait already are answered as usual.
    pub fn refuse_reads(&self, prefix: Option<&str>) {
        lock(&self.state).refused_prefix = prefix.map(str::to_owned);
    }

    /// Writes the configuration record, as an operator does.
    pub fn configure(&self, configuration: &HostedConfiguration<'_>) {
        self.put("op/config", &configuration.body());
    }

    /// Writes an item with a JSON value, as an operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        lock(&self.state).write(key, STANDARD.encode(value.to_string()), 0);
    }

    /// Writes an item with a text value, as an entry VM does.
    pub fn put_text(&self, key: &str, value: &str) {
        lock(&self.state).write(key, STANDARD.encode(value), 0);
    }

    /// Writes an item whose value the store returns unchanged instead of in Base64, as another
    /// writer may.
    pub fn put_raw(&self, key: &str, value: &str) {
        lock(&self.state).write(key, value.to_owned(), 0);
    }

    /// Removes an item, as the platform does.
    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.remove_item(key);
    }

    /// Returns the decoded value of an item; `None` if there is no such item.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        STANDARD.decode(&state.items.get(key)?.value).ok()
    }

    /// Returns the number of range reads with this prefix.
    pub fn range_reads(&self, prefix: &str) -> u64 {
        lock(&self.state).range_reads.get(prefix).copied().unwrap_or(0)
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        self.write_at_current(key, value, lease);
    }

    /// Writes an item at the current revision.
    fn write_at_current(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    /// Removes an item at the current revision.
    fn remove_item(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    /// Ends expired leases.
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
            self.remove_item(&key);
        }
    }

    fn item_json(&self, key: &str, item: &Item) -> Value {
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
        let mut items: Vec<Value> = matching
            .take(MAX_PAGE_ITEMS + 1)
            .map(|(key, item)| self.item_json(key, item))
            .collect();
        let has_more = items.len() > MAX_PAGE_ITEMS;
        items.truncate(MAX_PAGE_ITEMS);
        json!({ "items": items, "hasMore": has_more, "storeRevision": self.revision })
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let matching = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        matching
            .map(|(revision, key, item)| match item {
                Some(item) => self.item_json(key, item),
                None => json!({ "key": key, "revision": revision, "removed": true }),
            })
            .collect()
    }

    fn transact(&mut self, body: &Value) -> Response<Body> {
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, writes, deletes) =
            (entries("precondition"), entries("writes"), entries("deletes"));
        if conditions.len() + writes.len() + deletes.len() > MAX_TXN_ENTRIES {
            return status(StatusCode::BAD_REQUEST);
        }
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
        let holds = |entry: &Value| {
            let revision = self.items.get(&text(entry, "key")).map_or(0, |item| item.revision);
            entry["revision"].as_u64() == Some(revision)
        };
        if !conditions.iter().all(holds) {
            let current_item = |entry: &Value| {
                let key = text(entry, "key");
                self.items.get(&key).map(|item| self.item_json(&key, item))
            };
            let items: Vec<Value> = conditions.iter().filter_map(current_item).collect();
            return answer(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }));
        }
        let lease = |entry: &Value| entry["lease"].as_u64().unwrap_or(0);
        if writes.iter().any(|entry| lease(entry) != 0 && !self.leases.contains_key(&lease(entry)))
        {
            return status(StatusCode::NOT_FOUND);
        }
        let is_writable = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
        if !writes.iter().all(|entry| is_writable(&text(entry, "key"))) {
            return status(StatusCode::FORBIDDEN);
        }
        self.revision += 1;
        for entry in &writes {
            self.write_at_current(&text(entry, "key"), text(entry, "value"), lease(entry));
        }
        for key in deletes.iter().filter_map(Value::as_str) {
            self.remove_item(key);
        }
        answer(StatusCode::OK, &json!({ "revision": self.revision }))
    }
}

#[derive(Clone)]
struct StoreHandler {
    state: Arc<Mutex<State>>,
}

impl Handler for StoreHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
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
                *state.range_reads.entry(prefix.unwrap_or_default().to_owned()).or_default() += 1;
            }
            state.faults
        };
        sleep(faults.delay).await;
        if faults.down {
            return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let query_field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
        };
        let query_number =
            |name: &str| query_field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let prefix = query_field("prefix").unwrap_or_default();
        let refused = lock(&self.state).refused_prefix.as_ref() == Some(&prefix);
        let response = match path.as_str() {
            "/-/kv-range" | "/-/kv-watch" if refused => status(StatusCode::SERVICE_UNAVAILABLE),
            "/-/kv-key" => self.get(&query_field("key").unwrap_or_default()),
            "/-/kv-range" => answer(
                StatusCode::OK,
                &lock(&self.state).range(&prefix, query_field("after").as_deref()),
            ),
            "/-/kv-watch" => {
                self.watch(&prefix, query_number("after"), query_number("waitMs")).await
            }
            "/-/kv-txn" => {
                if !faults.late_writes.is_zero() {
                    // The transaction is carried out even if the caller closes the connection.
                    let state = Arc::clone(&self.state);
                    tokio::spawn(async move {
                        sleep(faults.late_writes).await;
                        lock(&state).transact(&body);
                    });
                    return std::future::pending().await;
                }
                let response = lock(&self.state).transact(&body);
                if faults.unanswered_writes {
                    std::future::pending::<()>().await;
                }
                response
            }
            "/-/kv-lease" => self.grant(body["ttlMs"].as_u64().unwrap_or(0)),
            path if path.starts_with("/-/kv-keep/") => self.keep_alive(id),
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
        let mut found = state.item_json(key, item);
        found["storeRevision"] = json!(state.revision);
        answer(StatusCode::OK, &found)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Response<Body> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let silenced = || lock(&self.state).silenced_watches.get(prefix).copied();
        let silenced_before = silenced();
        loop {
            let now = Instant::now();
            if silenced() != silenced_before {
                return std::future::pending().await;
            }
            {
                let mut state = lock(&self.state);
                state.expire(now);
                if after < state.compacted_revision {
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
            sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    fn grant(&self, ttl_ms: u64) -> Response<Body> {
        let mut state = lock(&self.state);
        let ttl = Duration::from_millis(ttl_ms);
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        answer(StatusCode::OK, &json!({ "lease": lease, "ttlMs": ttl_ms }))
    }

    fn keep_alive(&self, lease: u64) -> Response<Body> {
        let mut state = lock(&self.state);
        let Some((ttl, end)) = state.leases.get_mut(&lease) else {
            return status(StatusCode::NOT_FOUND);
        };
        *end = Instant::now() + *ttl;
        let ttl = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        answer(StatusCode::OK, &json!({ "ttlMs": ttl }))
    }
}

/// Decodes a value of a query; `+` stands for a space.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        let digits = tail.first_chunk::<2>().and_then(|pair| std::str::from_utf8(pair).ok());
        let coded = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, coded) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => bytes.push(b' '),
            _ => bytes.push(first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
