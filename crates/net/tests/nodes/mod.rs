//! Peers to test with, and a proxy between them that can cut or swallow what passes.

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

/// One process's end of the peer channels.
pub struct Node {
    /// The handle.
    pub peers: Peers,
    /// Its events.
    pub events: mpsc::Receiver<PeerEvent>,
    /// Its incarnation.
    pub id: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Node {
    /// Starts a node.
    pub async fn start(number: u64, config: Config) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = mpsc::channel(64);
        let peers = Peers::start(listener, hello(number), config, sender);
        Node { peers, events, id: Incarnation(number), address }
    }

    /// The next event that `pick` takes.
    pub async fn next<T>(&mut self, pick: impl Fn(PeerEvent) -> Option<T>) -> T {
        loop {
            let event = self.events.recv().await.expect("the node runs");
            if let Some(picked) = pick(event) {
                return picked;
            }
        }
    }

    /// Waits until a link opens, and tells to whom.
    pub async fn up(&mut self) -> Incarnation {
        self.next(|event| match event {
            PeerEvent::Up { hello, .. } => Some(hello.incarnation),
            _ => None,
        })
        .await
    }
}

/// Limits under which a silent link is found soon.
pub fn quick() -> Config {
    Config {
        heartbeat_interval: Duration::from_millis(50),
        silence_timeout: Duration::from_millis(200),
        write_timeout: Duration::from_millis(400),
        max_backoff: Duration::from_millis(100),
        ..Config::default()
    }
}

/// The hello of node `number`, in an availability zone of its own.
pub fn hello(number: u64) -> Hello {
    let zone = ZoneId::new(&format!("zone-{number}"));
    Hello::new(Incarnation(number), VmId::new("vm"), zone, RegionId::new("region-1"))
}

/// What a proxy does with connections that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Passes bytes on.
    Nothing,
    /// Closes connections that were opened before this.
    Cut,
    /// Swallows the bytes of connections that were opened before this.
    Silence,
}

/// A proxy in front of one address.
pub struct Proxy {
    /// Where the proxy listens.
    pub address: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (fault, _) = watch::channel(Fault::Nothing);
        let faults = fault.clone();
        tokio::spawn(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                let far = TcpStream::connect(target).await.unwrap();
                let (near_in, near_out) = near.into_split();
                let (far_in, far_out) = far.into_split();
                tokio::spawn(pump(near_in, far_out, faults.subscribe()));
                tokio::spawn(pump(far_in, near_out, faults.subscribe()));
            }
        });
        Proxy { address, fault }
    }

    /// Brings a fault on the connections that are open; later ones work.
    pub fn strike(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

/// Copies until an end or a fault.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut fault: watch::Receiver<Fault>) {
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
    if *fault.borrow() == Fault::Silence {
        // Reads on and keeps both sockets open, as if the other end were there.
        while from.read(&mut buffer).await.is_ok_and(|len| len > 0) {}
    }
}
