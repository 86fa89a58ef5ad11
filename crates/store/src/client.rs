//! [`Client`], which implements [`Store`] over the JSON gateway.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::time::Instant;

use crate::api::Cas;
use crate::api::Entry;
use crate::api::KeepAlive;
use crate::api::Lease;
use crate::api::LeaseId;
use crate::api::Listing;
use crate::api::Purpose;
use crate::api::Store;
use crate::config::Config;
use crate::connection::Call;
use crate::connection::Pool;
use crate::counters::AtomicCounters;
use crate::counters::Counters;
use crate::error::Error;
use crate::gate::Gate;
use crate::gateway;
use crate::types::GrantRequest;
use crate::types::LeaseRequest;
use crate::types::RangeRequest;
use crate::types::RequestOp;
use crate::types::TxnRequest;
use crate::watch::Hub;
use crate::watch::Watch;

/// Maximum number of entries per page of a listing.
const PAGE_ENTRIES: u32 = 64;
/// Maximum number of restarts of a listing whose revision was compacted while it was read.
const LIST_RESTARTS: u32 = 2;

/// Client of the store. Clones share the queue, the connections and the counters.
#[derive(Clone, Debug)]
pub struct Client {
    pub(crate) inner: Arc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) config: Config,
    pub(crate) gate: Arc<Gate>,
    pub(crate) pool: Pool,
    pub(crate) counters: Arc<AtomicCounters>,
    hubs: Mutex<BTreeMap<String, Weak<Hub>>>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.gate.close();
    }
}

impl Client {
    /// Creates a client, which connects on first use. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// The URL is not of the form `http://<address>:<port>`.
    pub fn new(config: Config) -> Result<Client, Error> {
        let invalid = || Error::Url { url: config.url.clone() };
        let address = config.url.strip_prefix("http://").ok_or_else(invalid)?;
        let address = address.trim_end_matches('/').to_owned();
        let port = address.rsplit_once(':').and_then(|(_, port)| port.parse::<u16>().ok());
        if port.is_none() || address.contains('/') {
            return Err(invalid());
        }
        let counters = Arc::new(AtomicCounters::default());
        let inner = Inner {
            gate: Gate::new(&config),
            pool: Pool::new(&address, config.hedge_delay, counters.clone()),
            counters,
            config,
            hubs: Mutex::new(BTreeMap::new()),
        };
        Ok(Client { inner: Arc::new(inner) })
    }

    /// Snapshot of the counters since the client was created.
    pub fn counters(&self) -> Counters {
        self.inner.counters.counters()
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.inner.config.deadline
    }

    async fn read_page(
        &self,
        purpose: Purpose,
        range: &RangeRequest,
    ) -> Result<gateway::Page, Error> {
        let call = call("/v3/kv/range", range, true);
        self.inner.run(purpose, &call, self.deadline(), gateway::parse_page).await
    }

    async fn list_pages(&self, purpose: Purpose, prefix: &str) -> Result<Listing, Error> {
        let end = gateway::prefix_end(prefix);
        let mut start = gateway::encode_base64(prefix.as_bytes());
        let mut listing = Listing::default();
        loop {
            let pinned_revision = (listing.revision > 0).then(|| listing.revision.to_string());
            let range = RangeRequest {
                key: start,
                range_end: Some(end.clone()),
                limit: Some(PAGE_ENTRIES.to_string()),
                revision: pinned_revision,
            };
            let page = self.read_page(purpose, &range).await?;
            if listing.revision == 0 {
                listing.revision = page.listing.revision;
            }
            let last = page.listing.entries.last().map(|entry| entry.key.clone());
            listing.entries.extend(page.listing.entries);
            let Some(last) = last.filter(|_| page.more) else {
                return Ok(listing);
            };
            start = gateway::encode_base64(format!("{last}\0").as_bytes());
        }
    }

    async fn change_if_version(
        &self,
        purpose: Purpose,
        key: &str,
        expect: u64,
        change: RequestOp,
    ) -> Result<Cas, Error> {
        let read =
            RequestOp { request_range: Some(gateway::single_key(key)), ..RequestOp::default() };
        let txn = TxnRequest {
            compare: vec![gateway::version_equals(key, expect)],
            success: vec![change],
            failure: vec![read],
        };
        let call = call("/v3/kv/txn", &txn, false);
        self.inner.run(purpose, &call, self.deadline(), gateway::parse_txn).await
    }
}

pub(crate) fn call<T: Serialize>(path: &'static str, request: &T, retryable: bool) -> Call {
    let body = serde_json::to_vec(request).expect("a generated type serializes to JSON");
    Call { path, body: Bytes::from(body), retryable }
}

impl Store for Client {
    async fn get(&self, purpose: Purpose, key: &str) -> Result<Option<Entry>, Error> {
        let page = self.read_page(purpose, &gateway::single_key(key)).await?;
        Ok(page.listing.entries.into_iter().next())
    }

    async fn list(&self, purpose: Purpose, prefix: &str) -> Result<Listing, Error> {
        let mut restarts = 0;
        loop {
            match self.list_pages(purpose, prefix).await {
                Err(Error::Rejected { .. }) if restarts < LIST_RESTARTS => restarts += 1,
                result => return result,
            }
        }
    }

    async fn put(
        &self,
        purpose: Purpose,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<u64, Error> {
        let call = call("/v3/kv/put", &gateway::put_request(key, &value, lease), false);
        self.inner.run(purpose, &call, self.deadline(), gateway::parse_put).await
    }

    async fn cas(
        &self,
        purpose: Purpose,
        key: &str,
        expect: u64,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Cas, Error> {
        let put = Some(gateway::put_request(key, &value, lease));
        let change = RequestOp { request_put: put, ..RequestOp::default() };
        self.change_if_version(purpose, key, expect, change).await
    }

    async fn delete(&self, purpose: Purpose, key: &str, expect: u64) -> Result<Cas, Error> {
        let range = Some(gateway::single_key(key));
        let change = RequestOp { request_delete_range: range, ..RequestOp::default() };
        self.change_if_version(purpose, key, expect, change).await
    }

    async fn grant(&self, purpose: Purpose, ttl: Duration) -> Result<Lease, Error> {
        let sent = Instant::now();
        let seconds = ttl.as_secs_f64().ceil().max(1.0);
        let request = GrantRequest { ttl: seconds.to_string() };
        let call = call("/v3/lease/grant", &request, true);
        let deadline = self.deadline();
        let granted = self.inner.run(purpose, &call, deadline, gateway::parse_grant).await?;
        Ok(Lease { id: granted.id, ttl: granted.ttl, sent })
    }

    async fn keep_alive(&self, purpose: Purpose, lease: LeaseId) -> Result<KeepAlive, Error> {
        let sent = Instant::now();
        let request = LeaseRequest { id: lease.0.to_string() };
        let call = call("/v3/lease/keepalive", &request, true);
        let deadline = self.deadline();
        let ttl = self.inner.run(purpose, &call, deadline, gateway::parse_renewal).await?;
        if ttl.is_zero() {
            return Ok(KeepAlive::Gone);
        }
        Ok(KeepAlive::Renewed { ttl, sent })
    }

    async fn revoke(&self, purpose: Purpose, lease: LeaseId) -> Result<(), Error> {
        let request = LeaseRequest { id: lease.0.to_string() };
        let call = call("/v3/lease/revoke", &request, true);
        match self.inner.run(purpose, &call, self.deadline(), |_| Ok(())).await {
            Err(Error::Rejected { status: 404, .. }) => Ok(()),
            result => result,
        }
    }

    fn watch(&self, purpose: Purpose, prefix: &str, from: u64) -> Watch {
        let mut hubs = self.inner.hubs.lock().unwrap_or_else(PoisonError::into_inner);
        hubs.retain(|_, hub| hub.strong_count() > 0);
        let hub = hubs.get(prefix).and_then(Weak::upgrade).unwrap_or_else(|| {
            let hub = Hub::start(self.inner.clone(), purpose, prefix, from);
            hubs.insert(prefix.to_owned(), Arc::downgrade(&hub));
            hub
        });
        drop(hubs);
        Watch::subscribe(hub, from)
    }
}
