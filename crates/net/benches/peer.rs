//! Cost of peer links: an idle one in bytes and processor time, a busy one in messages.
//!
//! Prints one JSON object a line. Processor time is that of the whole process, so of both ends.

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
const IDLE_TIME: Duration = Duration::from_secs(10);
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

/// Processor time of all threads so far.
fn processor_time() -> Duration {
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

/// Sends on one link as fast as its queue allows.
async fn busy() {
    let mut one = start(1).await;
    let mut two = start(2).await;
    one.peers.connect(Incarnation(2), two.address);
    while !one.peers.is_linked(Incarnation(2)) {
        one.events.recv().await.expect("the link opens");
    }
    let body = Bytes::from(vec![0; MESSAGE_LEN]);
    let begun = Instant::now();
    let used = processor_time();
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
    let used = processor_time() - used;
    report("busy_link", MESSAGES as f64 / begun.elapsed().as_secs_f64(), "messages/s");
    report("busy_link_cpu", used.as_secs_f64() * 1e6 / MESSAGES as f64, "us/message");
    one.peers.stop().await;
    two.peers.stop().await;
}

/// Holds links on which nothing but heartbeats passes.
async fn idle() {
    let centre = start(1).await;
    let mut others = Vec::new();
    for number in 2..2 + IDLE_LINKS {
        let node = start(number).await;
        centre.peers.connect(Incarnation(number), node.address);
        others.push(node);
    }
    while centre.peers.counters().links < others.len() {
        sleep(Duration::from_millis(10)).await;
    }
    let bytes = || -> u64 {
        let volumes = centre.peers.counters().bytes;
        volumes.values().map(|volume| volume.sent + volume.received).sum()
    };
    let before = bytes();
    let used = processor_time();
    sleep(IDLE_TIME).await;
    let used = processor_time() - used;
    let rate = |value: f64| value / IDLE_LINKS as f64 / IDLE_TIME.as_secs_f64();
    report("idle_link", rate((bytes() - before) as f64), "B/s");
    report("idle_link_cpu", rate(used.as_secs_f64() * 1e6), "us/s");
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        busy().await;
        idle().await;
    });
}
