//! Entry VMs and simulated platform services in this process.

use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use hyper::Method;

use crate::dev::load::EntryClient;
use crate::error::Error;
use crate::options::DevOptions;
use entry::Listeners;
use entry::Node;
use entry::members::View;
use fake::BackendOptions;
use fake::BackendPool;
use fake::Place;
use fake::ServiceTime;
use fake::StoreServer;
use fake::TaskTimes;
use fake::VmServer;
use fake::WorkerFleet;
use fake::WorkerOptions;
use fleet::MemberState;
use model::JobId;
use text::Settings;
use text::Text;
use wire::border;

/// Number of backend servers in each pool.
const BACKENDS_PER_POOL: usize = 48;
/// Number of workers.
const WORKER_COUNT: usize = 48;
/// Mean run time of a request.
const MEAN_REQUEST_TIME: Duration = Duration::from_millis(5);
/// Fraction of requests that are stragglers.
const STRAGGLER_SHARE: f64 = 0.01;
/// Factor by which a straggler runs longer than other requests.
const STRAGGLER_FACTOR: f64 = 40.0;
/// Real time that one declared second of a task takes.
const REAL_TIME_PER_SECOND: Duration = Duration::from_millis(10);
/// Largest factor, either way, between the real and the declared run time of a task.
const MAX_RUN_TIME_FACTOR: f64 = 4.0;
/// Cores of a worker, in thousandths.
const WORKER_MILLICORES: u32 = 128_000;
/// Memory of a worker, in mebibytes.
const WORKER_MEMORY_MIB: u32 = 256 << 10;
/// Time limit for the entry VMs to store the configuration, load it and discover each other.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of whether the entry VMs are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Operator token of the entry VMs.
const OPERATOR_TOKEN: &str = "dev";

/// Running entry VMs and the simulated platform services that they use.
pub struct LocalCluster {
    store: StoreServer,
    vms: VmServer,
    /// Pools of backend servers, in order of their names.
    pub pools: Vec<BackendPool>,
    /// Workers.
    pub workers: WorkerFleet,
    nodes: Vec<Node>,
    client: EntryClient,
}

impl LocalCluster {
    /// Starts the simulated services and the entry VMs.
    pub async fn start(options: &DevOptions, text: &Text) -> Result<LocalCluster, Error> {
        let store = StoreServer::start(options.seed)?;
        let places = places();
        let mut registered = Vec::new();
        let mut pools = Vec::new();
        for (name, pool) in &text.pools {
            let service_time = ServiceTime::exponential(MEAN_REQUEST_TIME)
                .with_stragglers(STRAGGLER_SHARE, STRAGGLER_FACTOR);
            let pool = BackendPool::start(BackendOptions {
                places: places.clone(),
                slots: pool.slots,
                connections: pool.connections,
                service_time,
                seed: options.seed,
                ..BackendOptions::new(name, BACKENDS_PER_POOL)
            })?;
            registered.extend(pool.vms());
            pools.push(pool);
        }
        let workers = WorkerFleet::start(WorkerOptions {
            places: places.clone(),
            millicores: WORKER_MILLICORES,
            memory_mib: WORKER_MEMORY_MIB,
            times: TaskTimes {
                per_second: REAL_TIME_PER_SECOND,
                estimate_error: MAX_RUN_TIME_FACTOR,
                ..TaskTimes::default()
            },
            seed: options.seed,
            ..WorkerOptions::new(WORKER_COUNT)
        })?;
        registered.extend(workers.vms());
        let vms = VmServer::start(registered)?;
        let nodes = start_nodes(options.entries, &places, &store, &vms)?;
        let client = EntryClient::new(nodes.iter().map(Node::callers).collect());
        Ok(LocalCluster { store, vms, pools, workers, nodes, client })
    }

    /// Addresses of the entry VMs and services and the operator token, one per line.
    pub fn describe(&self) -> String {
        let mut lines = String::new();
        for (number, node) in self.nodes.iter().enumerate() {
            // Writing to a string cannot fail.
            let _ = writeln!(lines, "entry VM {number}: http://{}", node.callers());
        }
        let _ = writeln!(lines, "store: {}", self.store.url());
        let _ = writeln!(lines, "list of VMs: {}", self.vms.url());
        let _ = writeln!(lines, "operator token: {OPERATOR_TOKEN}");
        lines
    }

    /// Client of the entry VMs.
    pub fn client(&self) -> EntryClient {
        self.client.clone()
    }

    /// Applies the configuration and waits until it is in force and every shard has an owner.
    pub async fn apply(&self, source: &str) -> Result<(), Error> {
        let call = border::ApplyCall {
            expect: 0,
            text: source.to_owned(),
            author: "dev".to_owned(),
            write: format!("{:016x}", rand::random::<u64>()),
        };
        let body = serde_json::to_vec(&call).unwrap_or_default();
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let answer = self
                .client
                .operator(Method::PUT, "/v1/text?wait=true", OPERATOR_TOKEN, body.clone())
                .await;
            let reason = match answer {
                Some(reply) if reply.status == 200 => break,
                Some(reply) => String::from_utf8_lossy(&reply.body).into_owned(),
                None => "no answer".to_owned(),
            };
            if tokio::time::Instant::now() > deadline {
                return Err(Error::NotReady { reason });
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        self.wait_until_ready(deadline).await
    }

    async fn wait_until_ready(&self, deadline: tokio::time::Instant) -> Result<(), Error> {
        loop {
            let views: Vec<_> =
                self.nodes.iter().map(|node| node.view().borrow().clone()).collect();
            let ready = views.iter().all(|view| {
                view.revision.0 > 0
                    && !view.shards.is_empty()
                    && view.shards.iter().all(|shard| view.is_owned(shard))
                    && live_members(view) == self.nodes.len()
            });
            if ready {
                return Ok(());
            }
            if tokio::time::Instant::now() > deadline {
                let reason = "not every shard has an owner".to_owned();
                return Err(Error::NotReady { reason });
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// State changes of a job, formatted one per line; empty if they are unknown.
    pub async fn explain(&self, job: JobId) -> Vec<String> {
        let path = format!("/v1/explain/{job}");
        let reply = self.client.operator(Method::GET, &path, OPERATOR_TOKEN, Vec::new()).await;
        let explanation: Option<border::Explanation> =
            reply.and_then(|reply| serde_json::from_slice(&reply.body).ok());
        let steps = explanation.map(|explanation| explanation.steps).unwrap_or_default();
        steps.iter().map(|step| format!("{} {}: {}", step.at_ms, step.state, step.reason)).collect()
    }

    /// Burn report of one entry VM; `None` if it did not respond.
    pub async fn burn(&self) -> Option<border::BurnReport> {
        let reply =
            self.client.operator(Method::GET, "/v1/burn", OPERATOR_TOKEN, Vec::new()).await?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Number of calls that the store has received.
    pub fn store_calls(&self) -> u64 {
        self.store.calls(None)
    }

    /// Stops the entry VMs, one after another.
    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }
}

/// Number of entry VMs that the view lists as live.
fn live_members(view: &View) -> usize {
    let members = view.fleet.members.iter();
    members.filter(|member| member.state == MemberState::Live).count()
}

fn places() -> Vec<Place> {
    let zones = [("zemgale-a", "zemgale"), ("zemgale-b", "zemgale"), ("latgale-a", "latgale")];
    zones.map(|(zone, region)| Place::new(zone, region)).to_vec()
}

fn start_nodes(
    count: u32,
    places: &[Place],
    store: &StoreServer,
    vms: &VmServer,
) -> Result<Vec<Node>, Error> {
    let mut nodes = Vec::new();
    for (number, place) in (0..count).zip(places.iter().cycle()) {
        let listeners = Listeners { callers: listen()?, operators: None, peers: listen()? };
        let callers = listeners.callers.local_addr()?;
        let peers = listeners.peers.local_addr()?;
        let source = serde_json::json!({
            "vm": format!("entry-{number}"),
            "zone": place.zone,
            "region": place.region,
            "listen": { "callers": callers, "operators": callers, "peers": peers },
            "advertise": peers,
            "store": [store.url()],
            "vms": format!("{}/v1/vms", vms.url()),
            "token": OPERATOR_TOKEN,
            "limits": { "drain": "10s" },
        });
        let settings: Settings =
            text::parse_settings("dev", &source.to_string()).map_err(Error::Faults)?;
        let vm = place.vm(
            &format!("entry-{number}"),
            border::VmRole::Entry,
            border::VmState::Live,
            fake::Address(peers),
        );
        vms.update(|list| list.push(vm));
        nodes.push(Node::start(&settings, listeners)?);
    }
    Ok(nodes)
}

fn listen() -> Result<TcpListener, Error> {
    Ok(TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?)
}
