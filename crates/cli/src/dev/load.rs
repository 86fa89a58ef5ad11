//! Sends requests of each service and submits gangs of each client account.

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

/// Share of requests that are sent twice under one id, to two entry VMs.
const REPEATED: f64 = 0.1;
/// Time for one HTTP call.
const CALL_TIME: Duration = Duration::from_secs(60);
/// Pause between two jobs of one client account.
const JOB_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two looks at a job.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Time for requests and jobs in progress after the load has ended.
const FINISH_TIME: Duration = Duration::from_secs(8);
/// Longest declared run time of a job, in seconds.
const MAX_DECLARED: u64 = 60;

/// An HTTP answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// The request that it names.
    pub request: Option<RequestId>,
    /// The verdict that it gives.
    pub verdict: Option<model::Verdict>,
    /// The reason that it gives.
    pub reason: String,
    /// Its body.
    pub body: Bytes,
}

/// Calls the entry VMs.
#[derive(Clone, Debug)]
pub struct EntryClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Arc<Vec<SocketAddr>>,
    next: Arc<AtomicU64>,
}

impl EntryClient {
    /// Callers of entry VMs at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> EntryClient {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        EntryClient { client, addresses: Arc::new(addresses), next: Arc::default() }
    }

    /// Calls as an operator.
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

    /// Calls the next entry VM in turn.
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
        tokio::time::timeout(CALL_TIME, exchange).await.ok().flatten()
    }
}

#[derive(Clone, Debug)]
struct Kind {
    service: ServiceId,
    class: Class,
    idempotent: bool,
}

/// The load of a trial.
#[derive(Debug)]
pub struct LoadGenerator {
    client: EntryClient,
    kinds: Vec<Kind>,
    accounts: Vec<AccountId>,
    rate: u32,
    rng: Mutex<StdRng>,
    /// What callers were told.
    pub tally: Mutex<Tally>,
    open: AtomicU64,
    ended: AtomicBool,
}

impl LoadGenerator {
    /// A load on the services and client accounts of `text`.
    pub fn new(options: &DevOptions, text: &Text, cluster: &LocalCluster) -> LoadGenerator {
        let kinds = text.services.iter().map(|(id, service)| Kind {
            service: id.clone(),
            class: service.class,
            idempotent: service.idempotent,
        });
        LoadGenerator {
            client: cluster.client(),
            kinds: kinds.collect(),
            accounts: text.accounts.keys().cloned().collect(),
            rate: options.rate,
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            tally: Mutex::default(),
            open: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        }
    }

    /// Sends until told to finish.
    pub async fn run(self: Arc<LoadGenerator>) {
        for account in self.accounts.clone() {
            tokio::spawn(self.clone().submit_jobs(account));
        }
        let mut interval = tokio::time::interval(Duration::from_secs(1) / self.rate);
        while !self.ended.load(Ordering::Relaxed) {
            interval.tick().await;
            let load = self.clone();
            self.open.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                load.send().await;
                load.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Ends the load and waits for what is in progress.
    pub async fn finish(&self) {
        self.ended.store(true, Ordering::Relaxed);
        let give_up = Instant::now() + FINISH_TIME;
        while self.open.load(Ordering::Relaxed) > 0 && Instant::now() < give_up {
            tokio::time::sleep(WATCH_PAUSE).await;
        }
        let lost = self.open.load(Ordering::Relaxed);
        if lost > 0 {
            let mut tally = self.tally();
            *tally.outcomes.entry(CallerOutcome::Lost).or_default() += lost;
        }
    }

    /// One line on how far the load is.
    pub fn progress(&self) -> String {
        let tally = self.tally();
        let jobs: u64 = tally.jobs.values().sum();
        format!(
            "requests: {} ran, {} not run, {} unknown, {} in progress; jobs ended: {jobs}",
            tally.count(CallerOutcome::Ran),
            tally.count(CallerOutcome::NotRun),
            tally.count(CallerOutcome::Unknown),
            self.open.load(Ordering::Relaxed),
        )
    }

    /// What callers were told so far.
    pub fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send(&self) {
        let (kind, account, repeated, payload) = {
            let mut rng = self.rng();
            let kind = self.kinds.choose(&mut *rng).cloned();
            let account = self.accounts.choose(&mut *rng).cloned();
            let (Some(kind), Some(account)) = (kind, account) else { return };
            (kind, account, rng.random_bool(REPEATED), rng.random::<u64>())
        };
        let body = Bytes::from(format!("{{\"payload\":{payload}}}"));
        let started = Instant::now();
        let replies = if repeated {
            self.send_twice(&kind, &account, &body).await
        } else {
            let path = format!("/v1/services/{}", kind.service);
            let headers = [("basilrack-account", account.as_str())];
            vec![self.client.call(Method::POST, &path, &headers, body.clone()).await]
        };
        let took = started.elapsed();
        let mut tally = self.tally();
        for reply in &replies {
            if kind.idempotent {
                tally.idempotent.extend(reply.as_ref().and_then(|reply| reply.request));
            }
            judge(&mut tally, reply.as_ref(), &body);
        }
        tally.waits.entry(kind.class).or_default().add(took);
    }

    /// Sends one request twice at once, to two entry VMs.
    async fn send_twice(
        &self,
        kind: &Kind,
        account: &AccountId,
        body: &Bytes,
    ) -> Vec<Option<Reply>> {
        let ids = self.client.call(Method::POST, "/v1/ids?count=1", &[], Bytes::new()).await;
        let ids: Option<border::Ids> =
            ids.and_then(|reply| serde_json::from_slice(&reply.body).ok());
        let Some(id) = ids.and_then(|ids| ids.ids.first().cloned()) else { return vec![None] };
        let path = format!("/v1/requests/{id}");
        let headers =
            [("basilrack-account", account.as_str()), ("basilrack-service", kind.service.as_str())];
        let first = self.client.call(Method::PUT, &path, &headers, body.clone());
        let second = self.client.call(Method::PUT, &path, &headers, body.clone());
        let (first, second) = tokio::join!(first, second);
        vec![first, second]
    }

    async fn submit_jobs(self: Arc<LoadGenerator>, account: AccountId) {
        while !self.ended.load(Ordering::Relaxed) {
            let load = self.clone();
            let account = account.clone();
            tokio::spawn(async move { load.submit_job(&account).await });
            tokio::time::sleep(JOB_PAUSE).await;
        }
    }

    async fn submit_job(&self, account: &AccountId) {
        let spec = self.draw_job(account);
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
            tokio::time::sleep(WATCH_PAUSE).await;
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

    fn draw_job(&self, account: &AccountId) -> border::JobSpec {
        let mut rng = self.rng();
        let tasks = *[1, 1, 1, 2, 4, 8].choose(&mut *rng).unwrap_or(&1);
        let accelerators = *[1, 2, 4, 8].choose(&mut *rng).unwrap_or(&1);
        let service = self.kinds.choose(&mut *rng).map_or("", |kind| kind.service.as_str());
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
            declared_ms: rng.random_range(1..=MAX_DECLARED) * 1_000,
            zone: None,
            volatile: false,
        }
    }
}

/// Counts one answer and checks that it belongs to its request.
fn judge(tally: &mut Tally, reply: Option<&Reply>, body: &[u8]) {
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
            tally.reason(&reply.reason);
            tally.not_run.extend(id);
        }
        (Some(_), _) => {
            tally.add(CallerOutcome::Unknown);
            tally.reason(&reply.reason);
        }
        (None, _) => {
            tally.add(CallerOutcome::Lost);
            tally.reason(&format!("status {}", reply.status));
        }
    }
}
