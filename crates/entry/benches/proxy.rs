//! Overhead of proxying through one entry VM: the same calls directly to a backend server and
//! through the entry VM.
//!
//! Prints one JSON object per line. `--seconds N` sets the duration of each measurement.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use entry::Listeners;
use entry::Node;
use fake::BackendOptions;
use fake::BackendPool;
use fake::StoreServer;
use fake::VmServer;

/// Concurrent callers of the throughput measurement.
const CALLERS: usize = 32;
/// Number of backend servers.
const BACKENDS: usize = 8;
/// Slots of each backend server.
const SLOTS: u32 = 32;
/// Default duration of a measurement, in seconds.
const DEFAULT_SECONDS: u64 = 5;
/// Warm-up requests of each caller, which are not measured.
const WARM_UP_REQUESTS: usize = 500;

const TEXT: &str = r#"{
  "services": { "echo": {
    "class": "interactive", "idempotent": false, "timeout": "5s", "deadline": "10s",
    "objective": { "availability": "99.9%", "latency": "1s" }, "pool": "hub",
  } },
  "pools": { "hub": { "slots": 32, "connections": 64 } },
  "accounts": { "all": { "weight": 1 } },
}"#;

struct Target {
    name: &'static str,
    addresses: Vec<SocketAddr>,
    path: &'static str,
}

struct Measurement {
    calls: f64,
    median: Duration,
}

fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

fn start_node(store: &StoreServer, vms: &VmServer) -> Node {
    let listeners = Listeners { callers: listen(), operators: None, peers: listen() };
    let address = listeners.callers.local_addr().expect("a bound socket");
    let settings = serde_json::json!({
        "vm": "entry-0", "zone": "z1", "region": "r1",
        "listen": { "callers": address, "operators": address, "peers": "127.0.0.1:0" },
        "advertise": "127.0.0.1:0",
        "store": [store.url()],
        "vms": format!("{}/v1/vms", vms.url()),
        "token": "bench",
    });
    let settings = text::parse_settings("bench", &settings.to_string()).expect("valid settings");
    Node::start(&settings, listeners).expect("a node")
}

async fn apply_configuration(node: &Node) {
    let call = wire::border::ApplyCall {
        expect: 0,
        text: TEXT.to_owned(),
        author: "bench".to_owned(),
        write: "1".to_owned(),
    };
    let body = serde_json::to_vec(&call).expect("a value");
    loop {
        let request = Request::put("/v1/text")
            .header("authorization", "Bearer bench")
            .header("host", "entry")
            .body(Full::new(Bytes::from(body.clone())))
            .expect("a request");
        let mut connection = connect(node.callers()).await;
        let stored = connection.send_request(request).await.is_ok_and(|r| r.status() == 200);
        if stored && node.view().borrow().revision.0 > 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn connect(address: SocketAddr) -> http1::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("the server runs");
    stream.set_nodelay(true).expect("an open socket");
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("a connection");
    tokio::spawn(connection);
    sender
}

async fn call(sender: &mut http1::SendRequest<Full<Bytes>>, path: &str, number: u64) -> u16 {
    let request = Request::post(path)
        .header("host", "bench")
        .header("basilrack-account", "all")
        .header("basilrack-request", format!("0123456789abcdef:{number}"))
        .header("basilrack-attempt", "1")
        .body(Full::new(Bytes::from_static(b"a short body of a confirmation")))
        .expect("a request");
    sender.ready().await.expect("an open connection");
    let response = sender.send_request(request).await.expect("an answer");
    let status = response.status().as_u16();
    response.into_body().collect().await.expect("a whole answer");
    status
}

async fn run_caller(
    address: SocketAddr,
    path: &'static str,
    number: u64,
    span: Duration,
) -> Vec<u64> {
    let mut sender = connect(address).await;
    let mut times = Vec::new();
    let mut turn = number << 32;
    for _ in 0..WARM_UP_REQUESTS {
        turn += 1;
        call(&mut sender, path, turn).await;
    }
    let started = Instant::now();
    while started.elapsed() < span {
        turn += 1;
        let sent = Instant::now();
        assert_eq!(call(&mut sender, path, turn).await, 200);
        times.push(u64::try_from(sent.elapsed().as_nanos()).unwrap_or(u64::MAX));
    }
    times
}

async fn measure(target: &Target, callers: usize, span: Duration) -> Measurement {
    let running: Vec<_> = (0..callers)
        .map(|number| {
            let address = target.addresses[number % target.addresses.len()];
            tokio::spawn(run_caller(address, target.path, number as u64 + 1, span))
        })
        .collect();
    let mut histogram = Histogram::<u64>::new(3).expect("valid bounds");
    for task in running {
        for time in task.await.expect("a caller") {
            histogram.record(time).expect("a resizing histogram");
        }
    }
    let calls = histogram.len() as f64 / span.as_secs_f64();
    let median = Duration::from_nanos(histogram.value_at_quantile(0.5));
    print(&format!("throughput_{callers}_callers"), target.name, calls, "calls/s");
    print(&format!("median_{callers}_callers"), target.name, micros(median), "us");
    let p99 = Duration::from_nanos(histogram.value_at_quantile(0.99));
    print(&format!("p99_{callers}_callers"), target.name, micros(p99), "us");
    Measurement { calls, median }
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

fn print(measure: &str, policy: &str, value: f64, unit: &str) {
    let line = serde_json::json!({
        "measure": measure, "policy": policy, "value": value, "unit": unit,
    });
    println!("{line}");
}

fn seconds() -> u64 {
    let mut arguments = std::env::args().skip_while(|argument| argument != "--seconds").skip(1);
    arguments.next().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SECONDS)
}

async fn run() {
    let span = Duration::from_secs(seconds());
    let options = BackendOptions { slots: SLOTS, ..BackendOptions::new("hub", BACKENDS) };
    let pool = BackendPool::start(options).expect("backend servers");
    let store = StoreServer::start(1).expect("a store");
    let vms = VmServer::start(pool.vms()).expect("a list of VMs");
    let node = start_node(&store, &vms);
    apply_configuration(&node).await;
    let backends = pool.backends().iter().map(|backend| backend.address().0).collect();
    let direct = Target { name: "direct", addresses: backends, path: "/run" };
    let proxied =
        Target { name: "entry_vm", addresses: vec![node.callers()], path: "/v1/services/echo" };
    let (alone, through) = (measure(&direct, 1, span).await, measure(&proxied, 1, span).await);
    let added = through.median.saturating_sub(alone.median);
    print("added_median", "entry_vm", micros(added), "us");
    let (alone, through) =
        (measure(&direct, CALLERS, span).await, measure(&proxied, CALLERS, span).await);
    print("throughput_ratio", "entry_vm", through.calls / alone.calls, "");
    node.stop().await;
}

fn main() {
    tokio::runtime::Runtime::new().expect("a runtime").block_on(run());
}
