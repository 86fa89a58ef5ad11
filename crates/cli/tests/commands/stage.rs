//! Test cluster: entry VMs in this process with simulated platform services.

use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::program::Program;
use crate::program::write;
use entry::Listeners;
use entry::Node;
use fake::Address;
use fake::BackendOptions;
use fake::BackendPool;
use fake::Place;
use fake::ServiceTime;
use fake::StoreServer;
use fake::TaskTimes;
use fake::VmServer;
use fake::WorkerFleet;
use fake::WorkerOptions;
use text::Settings;
use wire::border;

/// Operator token of the entry VMs.
pub const TOKEN: &str = "a-token";
/// Time after which [`wait_until`] fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Configuration of the test clusters.
pub const CONFIG: &str = r#"{
  "services": {
    // Not idempotent.
    "tickets": {
      "class": "interactive", "idempotent": false, "timeout": "2s", "deadline": "10s",
      "objective": { "availability": "99.9%", "latency": "1s" }, "pool": "hub",
    },
    "sorting": {
      "class": "batch", "idempotent": true, "timeout": "2s", "deadline": "10s",
      "objective": { "availability": "99%", "latency": "5s" }, "pool": "hub",
    },
  },
  "pools": { "hub": { "slots": 8, "connections": 64 } },
  "accounts": {
    "growers": { "weight": 2, "quota": 64 },
    "loaders": {
      "weight": 1, "quota": 128,
      "guarantees": [{ "tasks": 4, "accelerators": 8, "adjacency": "rack" }],
    },
  },
}
"#;

/// Running entry VMs and the simulated platform services that they use.
pub struct TestCluster {
    /// Simulated store, whose faults tests control.
    pub store: StoreServer,
    _vms: VmServer,
    _pool: BackendPool,
    _workers: WorkerFleet,
    /// Running entry VMs.
    pub nodes: Vec<Node>,
}

impl TestCluster {
    /// Starts the simulated services and entry VMs without a configuration.
    pub fn start(entries: usize) -> TestCluster {
        let place = Place::new("zone-a", "region-a");
        let pool = BackendPool::start(BackendOptions {
            places: vec![place.clone()],
            service_time: ServiceTime::exponential(Duration::from_millis(5)),
            ..BackendOptions::new("hub", 4)
        })
        .unwrap();
        let workers = WorkerFleet::start(WorkerOptions {
            places: vec![place.clone()],
            times: TaskTimes { per_second: Duration::from_millis(10), ..TaskTimes::default() },
            ..WorkerOptions::new(16)
        })
        .unwrap();
        let registered = pool.vms().into_iter().chain(workers.vms()).collect();
        let (store, vms) = (StoreServer::start(1).unwrap(), VmServer::start(registered).unwrap());
        let start = |number| start_node(number, &place, &store, &vms);
        let nodes = (0..entries).map(start).collect();
        TestCluster { store, _vms: vms, _pool: pool, _workers: workers, nodes }
    }

    /// Starts entry VMs and applies [`CONFIG`]; `name` is the prefix of the configuration file.
    pub async fn configured(name: &str, entries: usize) -> TestCluster {
        let cluster = TestCluster::start(entries);
        let file = write(&format!("{name}-first.jsonc"), CONFIG);
        cluster.program(&["apply", &file, "--wait"]).run().await.expect_code(0);
        cluster.wait_until_ready().await;
        cluster
    }

    /// Waits until the entry VMs see each other as live, have a configuration that the store
    /// confirmed, and own every shard between them.
    pub async fn wait_until_ready(&self) {
        let count = self.nodes.len();
        let ready = async || {
            self.nodes.iter().all(|node| {
                let view = node.view().borrow().clone();
                let live = view.members.iter().filter(|member| member.state == "live").count();
                let owned = view.shards.iter().all(|shard| view.owners.contains_key(shard));
                live == count && !view.shards.is_empty() && owned && view.current
            })
        };
        wait_until("the entry VMs know each other", ready).await;
    }

    /// URL of an entry VM.
    pub fn url(&self, number: usize) -> String {
        format!("http://{}", self.nodes[number].callers())
    }

    /// The program with the URL and operator token of the first entry VM.
    pub fn program(&self, args: &[&str]) -> Program {
        self.program_at(&self.url(0), args)
    }

    /// The program with `url` and the operator token.
    pub fn program_at(&self, url: &str, args: &[&str]) -> Program {
        Program::new(args).env("BASILRACK_URL", url).env("BASILRACK_TOKEN", TOKEN)
    }

    /// Sends a request, checks that it ran, and returns its id.
    pub async fn send(&self, service: &str, account: &str) -> String {
        let request = Request::post(format!("{}/v1/services/{service}", self.url(0)))
            .header("basilrack-account", account)
            .body(Full::new(Bytes::from_static(b"a body")))
            .unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.unwrap();
        assert_eq!(response.headers()["basilrack-verdict"], "ran");
        response.headers()["basilrack-request"].to_str().unwrap().to_owned()
    }

    /// Retained revisions of the configuration.
    pub async fn history(&self) -> border::History {
        let reading = async || self.program(&["history", "--json"]).run().await;
        // After store faults, an entry VM may not call the store again at once.
        wait_until("the store can be read", async || reading().await.code == 0).await;
        reading().await.expect_code(0).json()
    }
}

fn start_node(number: usize, place: &Place, store: &StoreServer, vms: &VmServer) -> Node {
    let listen = || TcpListener::bind("127.0.0.1:0").unwrap();
    let listeners = Listeners { callers: listen(), operators: None, peers: listen() };
    let callers = listeners.callers.local_addr().unwrap();
    let peers = listeners.peers.local_addr().unwrap();
    let name = format!("entry-{number}");
    let source = serde_json::json!({
        "vm": name,
        "zone": place.zone,
        "region": place.region,
        "listen": { "callers": callers, "operators": callers, "peers": peers },
        "advertise": peers,
        "store": [store.url()],
        "vms": format!("{}/v1/vms", vms.url()),
        "token": TOKEN,
    });
    let settings: Settings = text::parse_settings("stage", &source.to_string()).unwrap();
    let vm = place.vm(&name, border::VmRole::Entry, border::VmState::Live, Address(peers));
    vms.update(|list| list.push(vm));
    Node::start(&settings, listeners).unwrap()
}

/// Polls `condition` until it holds; `what` describes it in the failure message.
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
