//! Cost of peer links: traffic and CPU time of an idle link, throughput and CPU time of a busy one.
//!
//! Prints one JSON object per line. CPU time is that of the whole process, so it covers both ends.

use std::fs;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

use model::Incarnation;
use model::RegionId;
use model::VmId;
use model::ZoneId;
use net::PeerEvent;
use net::Peers;
use net::SendError;
use net::peer::Config;
use wire::Hello;
use wire::Subsystem;

const IDLE_LINKS: u64 = 100;
const IDLE_DURATION: Duration = Duration::from_secs(10);
const MESSAGES: usize = 500_000;
const MESSAGE_LEN: usize = 200;

struct Node {
    peers: Peers,
    events: mpsc::Receiver<PeerEvent>,
    address: std::net::SocketAddr,
}

async fn start(number: u64) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let (sender, events) = mpsc::channel(1_024);
    let hello = Hello::new(
        Incarnation(number),
        VmId::new("vm"),
        ZoneId::new("zone"),
        RegionId::new("region"),
    );
    Node { peers: Peers::start(listener, hello, Config::default(), sender), events, address }
}

/// Returns the CPU time of all threads so far.
fn cpu_time() -> Duration {
    let threads = fs::read_dir("/proc/self/task").expect("a process directory");
    let nanos = threads.flatten().map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
    });
    Duration::from_nanos(nanos.sum())
}

fn report(measure: &str, value: f64, unit: &str) {
    println!(r#"{{"measure":"{measure}","value":{value:.1},"unit":"{unit}"}}"#);
}

/// Measures a link on which messages are sent as fast as its queue allows.
async fn measure_busy_link() {
    let mut one = start(1).await;
    let mut two = start(2).await;
    one.peers.connect(Incarnation(2), two.address);
    while !one.peers.is_linked(Incarnation(2)) {
        one.events.recv().await.expect("the link opens");
    }
    let body = Bytes::from(vec![0; MESSAGE_LEN]);
    let started = Instant::now();
    let used = cpu_time();
    let sender = one.peers.clone();
    let sending = tokio::spawn(async move {
        let mut left = MESSAGES;
        while left > 0 {
            match sender.send(Incarnation(2), Subsystem::Route, body.clone()) {
                Ok(()) => left -= 1,
                Err(SendError::QueueFull(_)) => tokio::task::yield_now().await,
                Err(error) => panic!("{error}"),
            }
        }
    });
    let mut received = 0;
    while received < MESSAGES {
        let event = two.events.recv().await.expect("the link stays");
        received += usize::from(matches!(event, PeerEvent::Message { .. }));
    }
    sending.await.expect("everything was queued");
    let used = cpu_time() - used;
    report("busy_link", MESSAGES as f64 / started.elapsed().as_secs_f64(), "messages/s");
    report("busy_link_cpu", used.as_secs_f64() * 1e6 / MESSAGES as f64, "us/message");
    one.peers.stop().await;
    two.peers.stop().await;
}

/// Measures links that carry nothing but heartbeats.
async fn measure_idle_links() {
    let hub = start(1).await;
    let mut others = Vec::new();
    for number in 2..2 + IDLE_LINKS {
        let node = start(number).await;
        hub.peers.connect(Incarnation(number), node.address);
        others.push(node);
    }
    while hub.peers.counters().links < others.len() {
        sleep(Duration::from_millis(10)).await;
    }
    let bytes = || -> u64 {
        let bytes = hub.peers.counters().bytes;
        bytes.values().map(|counts| counts.sent + counts.received).sum()
    };
    let before = bytes();
    let used = cpu_time();
    sleep(IDLE_DURATION).await;
    let used = cpu_time() - used;
    let rate = |value: f64| value / IDLE_LINKS as f64 / IDLE_DURATION.as_secs_f64();
    report("idle_link", rate((bytes() - before) as f64), "B/s");
    report("idle_link_cpu", rate(used.as_secs_f64() * 1e6), "us/s");
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        measure_busy_link().await;
        measure_idle_links().await;
    });
}
