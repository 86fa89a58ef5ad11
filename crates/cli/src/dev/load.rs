//! Load generator: sends requests to every service and submits jobs of every client account.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::dev::local_cluster::LocalCluster;
use crate::dev::tally::CallerOutcome;
use crate::dev::tally::Tally;
use crate::options::DevOptions;
use model::AccountId;
use model::Class;
use model::JobId;
use model::RequestId;
use model::ServiceId;
use text::Text;
use wire::border;

/// Fraction of requests that are sent twice under the same id, to two entry VMs.
const DUPLICATE_SHARE: f64 = 0.1;
/// Timeout of one HTTP call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two jobs of one client account.
const JOB_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two polls of a job, or of the number of requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for requests in flight to complete after the load generator has been stopped.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest declared run time of a job, in seconds.
const MAX_DECLARED_SECS: u64 = 60;

/// HTTP response of an entry VM.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Request id from the headers; `None` if absent.
    pub request: Option<RequestId>,
    /// Verdict from the headers; `None` if absent.
    pub verdict: Option<model::Verdict>,
    /// Reason from the headers; empty if absent.
    pub reason: String,
    /// Response body.
    pub body: Bytes,
}

/// HTTP client that spreads its calls round-robin over the entry VMs.
#[derive(Clone, Debug)]
pub struct EntryClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Arc<Vec<SocketAddr>>,
    next: Arc<AtomicU64>,
}

impl EntryClient {
    /// Creates a client of the entry VMs at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> EntryClient {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        EntryClient { client, addresses: Arc::new(addresses), next: Arc::default() }
    }

    /// Calls the next entry VM with an operator token; `None` without a complete response.
    pub async fn operator(
        &self,
        method: Method,
        path: &str,
        token: &str,
        body: Vec<u8>,
    ) -> Option<Reply> {
        let token = format!("Bearer {token}");
        self.call(method, path, &[("authorization", &token)], body.into()).await
    }

    /// Calls the next entry VM; `None` without a complete response within [`CALL_TIMEOUT`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Option<Reply> {
        let turn = usize::try_from(self.next.fetch_add(1, Ordering::Relaxed)).unwrap_or(0);
        let address = self.addresses[turn % self.addresses.len()];
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).ok()?;
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            let header = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok());
            Some(Reply {
                status: parts.status.as_u16(),
                request: header("basilrack-request").and_then(|text| text.parse().ok()),
                verdict: header("basilrack-verdict").and_then(|text| text.parse().ok()),
                reason: header("basilrack-reason").unwrap_or_default().to_owned(),
                body,
            })
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
    }
}

#[derive(Clone, Debug)]
struct TargetService {
    id: ServiceId,
    class: Class,
    idempotent: bool,
}

/// Generator of random requests and jobs, drawn from a seeded random number generator.
#[derive(Debug)]
pub struct LoadGenerator {
    client: EntryClient,
    services: Vec<TargetService>,
    accounts: Vec<AccountId>,
    rate: u32,
    rng: Mutex<StdRng>,
    /// Outcomes reported to callers.
    pub tally: Mutex<Tally>,
    in_flight: AtomicU64,
    stopping: AtomicBool,
}

impl LoadGenerator {
    /// Creates a generator for the services and client accounts of `text`.
    pub fn new(options: &DevOptions, text: &Text, cluster: &LocalCluster) -> LoadGenerator {
        let services = text.services.iter().map(|(id, service)| TargetService {
            id: id.clone(),
            class: service.class,
            idempotent: service.idempotent,
        });
        LoadGenerator {
            client: cluster.client(),
            services: services.collect(),
            accounts: text.accounts.keys().cloned().collect(),
            rate: options.rate,
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            tally: Mutex::default(),
            in_flight: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Sends requests and submits jobs until [`LoadGenerator::finish`] is called.
    pub async fn run(self: Arc<LoadGenerator>) {
        for account in self.accounts.clone() {
            tokio::spawn(self.clone().submit_jobs(account));
        }
        let mut interval = tokio::time::interval(Duration::from_secs(1) / self.rate);
        while !self.stopping.load(Ordering::Relaxed) {
            interval.tick().await;
            let load = self.clone();
            self.in_flight.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                load.send().await;
                load.in_flight.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Stops the load and waits up to [`DRAIN_TIMEOUT`] for requests in flight; those that remain
    /// count as lost.
    pub async fn finish(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.in_flight.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let lost = self.in_flight.load(Ordering::Relaxed);
        if lost > 0 {
            let mut tally = self.tally();
            *tally.outcomes.entry(CallerOutcome::Lost).or_default() += lost;
        }
    }

    /// Progress line with the counts so far.
    pub fn progress(&self) -> String {
        let tally = self.tally();
        let jobs: u64 = tally.jobs.values().sum();
        format!(
            "requests: {} ran, {} not run, {} unknown, {} in progress; jobs ended: {jobs}",
            tally.count(CallerOutcome::Ran),
            tally.count(CallerOutcome::NotRun),
            tally.count(CallerOutcome::Unknown),
            self.in_flight.load(Ordering::Relaxed),
        )
    }

    /// Locks the outcomes that callers were told so far.
    pub fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send(&self) {
        let (service, account, duplicate, payload) = {
            let mut rng = self.rng();
            let service = self.services.choose(&mut *rng).cloned();
            let account = self.accounts.choose(&mut *rng).cloned();
            let (Some(service), Some(account)) = (service, account) else { return };
            (service, account, rng.random_bool(DUPLICATE_SHARE), rng.random::<u64>())
        };
        let body = Bytes::from(format!("{{\"payload\":{payload}}}"));
        let started = Instant::now();
        let replies = if duplicate {
            self.send_twice(&service, &account, &body).await
        } else {
            let path = format!("/v1/services/{}", service.id);
            let headers = [("basilrack-account", account.as_str())];
            vec![self.client.call(Method::POST, &path, &headers, body.clone()).await]
        };
        let latency = started.elapsed();
        let mut tally = self.tally();
        for reply in &replies {
            if service.idempotent {
                tally.idempotent.extend(reply.as_ref().and_then(|reply| reply.request));
            }
            check_reply(&mut tally, reply.as_ref(), &body);
        }
        tally.latencies.entry(service.class).or_default().add(latency);
    }

    /// Sends one request twice concurrently under the same id, to two entry VMs.
    async fn send_twice(
        &self,
        service: &TargetService,
        account: &AccountId,
        body: &Bytes,
    ) -> Vec<Option<Reply>> {
        let ids = self.client.call(Method::POST, "/v1/ids?count=1", &[], Bytes::new()).await;
        let ids: Option<border::Ids> =
            ids.and_then(|reply| serde_json::from_slice(&reply.body).ok());
        let Some(id) = ids.and_then(|ids| ids.ids.first().cloned()) else { return vec![None] };
        let path = format!("/v1/requests/{id}");
        let headers =
            [("basilrack-account", account.as_str()), ("basilrack-service", service.id.as_str())];
        let first = self.client.call(Method::PUT, &path, &headers, body.clone());
        let second = self.client.call(Method::PUT, &path, &headers, body.clone());
        let (first, second) = tokio::join!(first, second);
        vec![first, second]
    }

    async fn submit_jobs(self: Arc<LoadGenerator>, account: AccountId) {
        while !self.stopping.load(Ordering::Relaxed) {
            let load = self.clone();
            let account = account.clone();
            tokio::spawn(async move { load.submit_job(&account).await });
            tokio::time::sleep(JOB_INTERVAL).await;
        }
    }

    async fn submit_job(&self, account: &AccountId) {
        let spec = self.random_job(account);
        let body = serde_json::to_vec(&spec).unwrap_or_default();
        let started = Instant::now();
        let reply = self.client.call(Method::POST, "/v1/jobs", &[], body.into()).await;
        let Some(reply) = reply else { return };
        let status: Result<border::JobStatus, _> = serde_json::from_slice(&reply.body);
        let Ok(status) = status else {
            let problem: Option<border::Problem> = serde_json::from_slice(&reply.body).ok();
            let detail = problem.map_or_else(|| reply.reason.clone(), |problem| problem.detail);
            *self.tally().refused.entry(detail).or_default() += 1;
            return;
        };
        if let Ok(job) = status.id.parse::<JobId>() {
            let tasks = spec.shape.tasks;
            let gang = fake::Gang { job, tasks, idempotent: spec.idempotent };
            self.tally().gangs.insert(job, gang);
        }
        self.watch_job(&status.id, started).await;
    }

    async fn watch_job(&self, id: &str, started: Instant) {
        let path = format!("/v1/jobs/{id}");
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let reply = self.client.call(Method::GET, &path, &[], Bytes::new()).await;
            let status: Option<border::JobStatus> =
                reply.and_then(|reply| serde_json::from_slice(&reply.body).ok());
            let Some(status) = status else { continue };
            if status.final_ {
                let mut tally = self.tally();
                *tally.jobs.entry(status.state).or_default() += 1;
                tally.completions.add(started.elapsed());
                return;
            }
        }
    }

    fn random_job(&self, account: &AccountId) -> border::JobSpec {
        let mut rng = self.rng();
        let tasks = *[1, 1, 1, 2, 4, 8].choose(&mut *rng).unwrap_or(&1);
        let accelerators = *[1, 2, 4, 8].choose(&mut *rng).unwrap_or(&1);
        let service = self.services.choose(&mut *rng).map_or("", |service| service.id.as_str());
        let adjacency =
            if tasks == 1 { border::Adjacency::Worker } else { border::Adjacency::Rack };
        border::JobSpec {
            account: account.to_string(),
            service: service.to_owned(),
            shape: border::GangShape {
                tasks,
                accelerators,
                millicores: 2_000 * accelerators,
                memory_mib: 4_096 * accelerators,
                adjacency,
            },
            priority: if rng.random_bool(0.1) {
                border::Priority::Urgent
            } else {
                border::Priority::Normal
            },
            idempotent: rng.random_bool(0.5),
            checkpoint: false,
            declared_ms: rng.random_range(1..=MAX_DECLARED_SECS) * 1_000,
            zone: None,
            volatile: false,
        }
    }
}

/// Counts a response and checks that it belongs to its request.
fn check_reply(tally: &mut Tally, reply: Option<&Reply>, body: &[u8]) {
    let Some(reply) = reply else {
        tally.add(CallerOutcome::Lost);
        return;
    };
    match (reply.verdict, reply.request) {
        (Some(model::Verdict::Ran), Some(id)) if reply.reason == "answered" => {
            tally.add(CallerOutcome::Ran);
            tally.ran.push(id);
            let expected = fake::Answer::to(&id.to_string(), body);
            let answer: Option<fake::Answer> = serde_json::from_slice(&reply.body).ok();
            if answer.as_ref() != Some(&expected) {
                tally.mismatched.push(id);
            }
        }
        (Some(model::Verdict::NotRun), id) => {
            tally.add(CallerOutcome::NotRun);
            tally.add_reason(&reply.reason);
            tally.not_run.extend(id);
        }
        (Some(_), _) => {
            tally.add(CallerOutcome::Unknown);
            tally.add_reason(&reply.reason);
        }
        (None, _) => {
            tally.add(CallerOutcome::Lost);
            tally.add_reason(&format!("status {}", reply.status));
        }
    }
}
