//! Peers under test, and a proxy between them that can close or blackhole connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;

use model::Incarnation;
use model::RegionId;
use model::VmId;
use model::ZoneId;
use net::PeerEvent;
use net::Peers;
use net::peer::Config;
use wire::Hello;

/// A peer with its event channel.
pub struct Node {
    /// Handle to the links of the node.
    pub peers: Peers,
    /// Events of the links.
    pub events: mpsc::Receiver<PeerEvent>,
    /// Incarnation of the node.
    pub id: Incarnation,
    /// Address that the node listens at.
    pub address: SocketAddr,
}

impl Node {
    /// Starts a node whose incarnation is `number`.
    pub async fn start(number: u64, config: Config) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = mpsc::channel(64);
        let peers = Peers::start(listener, hello(number), config, sender);
        Node { peers, events, id: Incarnation(number), address }
    }

    /// Waits for the next event for which `pick` returns a value, and returns the value.
    pub async fn next<T>(&mut self, pick: impl Fn(PeerEvent) -> Option<T>) -> T {
        loop {
            let event = self.events.recv().await.expect("the node runs");
            if let Some(picked) = pick(event) {
                return picked;
            }
        }
    }

    /// Waits until a link opens, and returns the peer's incarnation.
    pub async fn wait_up(&mut self) -> Incarnation {
        self.next(|event| match event {
            PeerEvent::Up { hello, .. } => Some(hello.incarnation),
            _ => None,
        })
        .await
    }
}

/// Configuration with short time limits, so that a silent link is detected soon.
pub fn fast_config() -> Config {
    Config {
        heartbeat_interval: Duration::from_millis(50),
        silence_timeout: Duration::from_millis(200),
        write_timeout: Duration::from_millis(400),
        max_backoff: Duration::from_millis(100),
        ..Config::default()
    }
}

/// Returns the hello of node `number`, which is in an availability zone of its own.
pub fn hello(number: u64) -> Hello {
    let zone = ZoneId::new(&format!("zone-{number}"));
    Hello::new(Incarnation(number), VmId::new("vm"), zone, RegionId::new("region-1"))
}

/// What a proxy does with connections that are open when the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Forwards their bytes.
    None,
    /// Closes them.
    Close,
    /// Keeps them open, but discards their bytes.
    Blackhole,
}

/// A proxy in front of one address.
pub struct Proxy {
    /// Address that the proxy listens at.
    pub address: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (fault, _) = watch::channel(Fault::None);
        let faults = fault.clone();
        tokio::spawn(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                let far = TcpStream::connect(target).await.unwrap();
                let (near_in, near_out) = near.into_split();
                let (far_in, far_out) = far.into_split();
                tokio::spawn(forward(near_in, far_out, faults.subscribe()));
                tokio::spawn(forward(far_in, near_out, faults.subscribe()));
            }
        });
        Proxy { address, fault }
    }

    /// Injects a fault into the open connections; later ones are not affected.
    pub fn inject(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

/// Forwards bytes until the connection ends or a fault is injected.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let len = tokio::select! {
            len = from.read(&mut buffer) => len.unwrap_or(0),
            _ = fault.changed() => break,
        };
        if len == 0 || to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
    if *fault.borrow() == Fault::Blackhole {
        // Keeps reading and keeps both sockets open, as if the other end were still there.
        while from.read(&mut buffer).await.is_ok_and(|len| len > 0) {}
    }
}
