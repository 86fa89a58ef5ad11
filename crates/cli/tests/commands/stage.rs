//! Entry VMs in this process, with the platform's stand-ins around them.

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
/// Time after which a test gives up on what has to happen.
const GIVE_UP: Duration = Duration::from_secs(60);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(25);

/// The configuration that the stages run.
pub const TEXT: &str = r#"{
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

/// Entry VMs and the platform's stand-ins.
pub struct Stage {
    /// The store.
    pub store: StoreServer,
    _vms: VmServer,
    _pool: BackendPool,
    _workers: WorkerFleet,
    /// Entry VMs.
    pub nodes: Vec<Node>,
}

impl Stage {
    /// Starts the stand-ins and entry VMs, which have no configuration yet.
    pub fn start(entries: usize) -> Stage {
        let place = Place::new("zone-a", "region-a");
        let pool = BackendPool::start(BackendOptions {
            places: vec![place.clone()],
            time: ServiceTime::exponential(Duration::from_millis(5)),
            ..BackendOptions::new("hub", 4)
        })
        .unwrap();
        let workers = WorkerFleet::start(WorkerOptions {
            places: vec![place.clone()],
            times: TaskTimes { second: Duration::from_millis(10), ..TaskTimes::default() },
            ..WorkerOptions::new(16)
        })
        .unwrap();
        let listed = pool.vms().into_iter().chain(workers.vms()).collect();
        let (store, vms) = (StoreServer::start(1).unwrap(), VmServer::start(listed).unwrap());
        let start = |number| start_node(number, &place, &store, &vms);
        let nodes = (0..entries).map(start).collect();
        Stage { store, _vms: vms, _pool: pool, _workers: workers, nodes }
    }

    /// Starts entry VMs and puts [`TEXT`] in force on them.
    pub async fn configured(name: &str, entries: usize) -> Stage {
        let stage = Stage::start(entries);
        let file = write(&format!("{name}-first.jsonc"), TEXT);
        stage.program(&["apply", &file, "--wait"]).run().await.expect(0);
        stage.meet().await;
        stage
    }

    /// Waits until the entry VMs hear each other, have a configuration that the store confirmed,
    /// and own every shard between them.
    pub async fn meet(&self) {
        let count = self.nodes.len();
        let met = async || {
            self.nodes.iter().all(|node| {
                let view = node.view().borrow().clone();
                let live = view.members.iter().filter(|member| member.state == "live").count();
                let owned = view.shards.iter().all(|shard| view.owners.contains_key(shard));
                live == count && !view.shards.is_empty() && owned && view.current
            })
        };
        until("the entry VMs know each other", met).await;
    }

    /// Where an entry VM serves.
    pub fn url(&self, number: usize) -> String {
        format!("http://{}", self.nodes[number].callers())
    }

    /// The program as an operator of the first entry VM runs it.
    pub fn program(&self, args: &[&str]) -> Program {
        self.program_at(&self.url(0), args)
    }

    /// The program as an operator of the entry VM at `url` runs it.
    pub fn program_at(&self, url: &str, args: &[&str]) -> Program {
        Program::new(args).env("BASILRACK_URL", url).env("BASILRACK_TOKEN", TOKEN)
    }

    /// Sends a request and gives its id, once it has been answered.
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

    /// The kept revisions.
    pub async fn history(&self) -> border::History {
        let reading = async || self.program(&["history", "--json"]).run().await;
        // After faults of the store, an entry VM may take a moment to call it again.
        until("the store can be read", async || reading().await.code == 0).await;
        reading().await.expect(0).json()
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

/// Waits until something holds.
pub async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let deadline = tokio::time::Instant::now() + GIVE_UP;
    while !holds().await {
        assert!(tokio::time::Instant::now() < deadline, "gave up waiting until {what}");
        tokio::time::sleep(PAUSE).await;
    }
}
