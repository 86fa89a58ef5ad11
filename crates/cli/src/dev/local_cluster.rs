//! The entry VMs and the stand-ins around them.

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

/// Backend servers of each pool.
const BACKENDS: usize = 48;
/// Workers.
const WORKERS: usize = 48;
/// Mean run time of a request.
const REQUEST_TIME: Duration = Duration::from_millis(5);
/// Share of requests that straggle.
const STRAGGLERS: f64 = 0.01;
/// How many times longer a straggler runs.
const STRAGGLE: f64 = 40.0;
/// Real time of one declared second of a task.
const TASK_SECOND: Duration = Duration::from_millis(10);
/// Largest factor between the declared and the real run time of a task.
const LIE: f64 = 4.0;
/// Cores of a worker, in thousandths.
const MILLICORES: u32 = 128_000;
/// Memory of a worker, in mebibytes.
const MEMORY_MIB: u32 = 256 << 10;
/// Time for the entry VMs to find each other and the configuration.
const READY_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks at whether they have.
const READY_PAUSE: Duration = Duration::from_millis(50);
/// Operator token of the trial.
const TOKEN: &str = "dev";

/// The entry VMs and the stand-ins around them.
pub struct LocalCluster {
    store: StoreServer,
    vms: VmServer,
    /// Backend servers by pool.
    pub pools: Vec<BackendPool>,
    /// Workers.
    pub workers: WorkerFleet,
    nodes: Vec<Node>,
    client: EntryClient,
}

impl LocalCluster {
    /// Starts the stand-ins and the entry VMs.
    pub async fn start(options: &DevOptions, text: &Text) -> Result<LocalCluster, Error> {
        let store = StoreServer::start(options.seed)?;
        let places = places();
        let mut listed = Vec::new();
        let mut pools = Vec::new();
        for (name, pool) in &text.pools {
            let time = ServiceTime::exponential(REQUEST_TIME).with_stragglers(STRAGGLERS, STRAGGLE);
            let pool = BackendPool::start(BackendOptions {
                places: places.clone(),
                slots: pool.slots,
                connections: pool.connections,
                time,
                seed: options.seed,
                ..BackendOptions::new(name, BACKENDS)
            })?;
            listed.extend(pool.vms());
            pools.push(pool);
        }
        let workers = WorkerFleet::start(WorkerOptions {
            places: places.clone(),
            millicores: MILLICORES,
            memory_mib: MEMORY_MIB,
            times: TaskTimes { second: TASK_SECOND, lie: LIE, ..TaskTimes::default() },
            seed: options.seed,
            ..WorkerOptions::new(WORKERS)
        })?;
        listed.extend(workers.vms());
        let vms = VmServer::start(listed)?;
        let nodes = start_nodes(options.entries, &places, &store, &vms)?;
        let client = EntryClient::new(nodes.iter().map(Node::callers).collect());
        Ok(LocalCluster { store, vms, pools, workers, nodes, client })
    }

    /// The addresses, one a line.
    pub fn describe(&self) -> String {
        let mut lines = String::new();
        for (number, node) in self.nodes.iter().enumerate() {
            // Writing to a string does not fail.
            let _ = writeln!(lines, "entry VM {number}: http://{}", node.callers());
        }
        let _ = writeln!(lines, "store: {}", self.store.url());
        let _ = writeln!(lines, "list of VMs: {}", self.vms.url());
        let _ = writeln!(lines, "operator token: {TOKEN}");
        lines
    }

    /// Calls the entry VMs.
    pub fn client(&self) -> EntryClient {
        self.client.clone()
    }

    /// Stores the configuration and waits until it is in force and every shard has an owner.
    pub async fn apply(&self, source: &str) -> Result<(), Error> {
        let call = border::ApplyCall {
            expect: 0,
            text: source.to_owned(),
            author: "dev".to_owned(),
            write: format!("{:016x}", rand::random::<u64>()),
        };
        let body = serde_json::to_vec(&call).unwrap_or_default();
        let give_up = tokio::time::Instant::now() + READY_TIME;
        loop {
            let answer =
                self.client.operator(Method::PUT, "/v1/text?wait=true", TOKEN, body.clone()).await;
            let reason = match answer {
                Some(reply) if reply.status == 200 => break,
                Some(reply) => String::from_utf8_lossy(&reply.body).into_owned(),
                None => "no answer".to_owned(),
            };
            if tokio::time::Instant::now() > give_up {
                return Err(Error::NotReady { reason });
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        self.settle(give_up).await
    }

    async fn settle(&self, give_up: tokio::time::Instant) -> Result<(), Error> {
        loop {
            let views: Vec<_> =
                self.nodes.iter().map(|node| node.view().borrow().clone()).collect();
            let ready = views.iter().all(|view| {
                view.revision.0 > 0
                    && !view.shards.is_empty()
                    && view.shards.iter().all(|shard| view.is_held(shard))
                    && live(view) == self.nodes.len()
            });
            if ready {
                return Ok(());
            }
            if tokio::time::Instant::now() > give_up {
                let reason = "not every shard has an owner".to_owned();
                return Err(Error::NotReady { reason });
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
    }

    /// The path of a job, one step a line.
    pub async fn explain(&self, job: JobId) -> Vec<String> {
        let path = format!("/v1/explain/{job}");
        let reply = self.client.operator(Method::GET, &path, TOKEN, Vec::new()).await;
        let known: Option<border::Explanation> =
            reply.and_then(|reply| serde_json::from_slice(&reply.body).ok());
        let steps = known.map(|known| known.steps).unwrap_or_default();
        steps.iter().map(|step| format!("{} {}: {}", step.at_ms, step.state, step.reason)).collect()
    }

    /// The burn report of one entry VM.
    pub async fn burn(&self) -> Option<border::BurnReport> {
        let reply = self.client.operator(Method::GET, "/v1/burn", TOKEN, Vec::new()).await?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Calls that the store has counted.
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

/// Entry VMs that are heard.
fn live(view: &View) -> usize {
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
            "token": TOKEN,
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
