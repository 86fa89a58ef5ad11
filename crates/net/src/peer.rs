//! Links to the other entry VMs.
//!
//! [`Peers`] keeps at most one link to each peer over a WebSocket connection. A link is opened by
//! [`Peers::connect`] or by the peer, and reopened with jittered exponential backoff when it ends.
//! When both sides dial at once, both keep the connection dialled by the lower incarnation.
//! Messages of one link arrive in order and at most once. A link that ends loses its messages in
//! flight, and both sides get [`PeerEvent::Down`].

mod config;
mod handshake;
mod heartbeat;
mod hub;
mod link;
mod reason;
mod shared;
mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::peer::hub::Command;
use crate::peer::hub::Hub;
use crate::peer::hub::Report;
use crate::peer::link::PushError;
use crate::peer::shared::Shared;
use model::Incarnation;
use wire::EncodeError;
use wire::Frame;
use wire::Hello;
use wire::Subsystem;

pub use config::Config;
pub use heartbeat::Heartbeat;
pub use heartbeat::HeartbeatAction;
pub use heartbeat::Side;
pub use reason::Reason;
pub use shared::ByteCounts;
pub use shared::Distance;
pub use shared::PeerCounters;

/// Maximum number of reports waiting for the hub.
const REPORT_QUEUE_LEN: usize = 1_024;
/// Delay before accepting again after an error, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Event of a peer link.
#[derive(Debug)]
pub enum PeerEvent {
    /// A link opened.
    Up {
        /// Hello of the peer.
        hello: Hello,
        /// Remote address; its port is the peer's listening port only if this side dialled.
        address: SocketAddr,
    },
    /// A link ended; its messages in flight are lost.
    Down {
        /// Incarnation of the peer.
        incarnation: Incarnation,
        /// Why the link ended.
        reason: Reason,
    },
    /// A dial failed; it is repeated until [`Peers::forget`] is called for the peer.
    Failed {
        /// Incarnation of the peer.
        incarnation: Incarnation,
        /// Address that was dialled.
        address: SocketAddr,
        /// Why the dial failed.
        reason: Reason,
    },
    /// A message arrived.
    Message {
        /// Incarnation of the sender.
        from: Incarnation,
        /// Subsystem that the message belongs to.
        subsystem: Subsystem,
        /// The message, encoded in CBOR.
        body: Bytes,
    },
}

/// Error of queueing a message; no part of the message is sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No link to the peer is open.
    #[error("no link to peer {0}")]
    NoLink(Incarnation),
    /// The send queue of the link is full.
    #[error("queue to peer {0} is full")]
    QueueFull(Incarnation),
    /// The message cannot be encoded, for example because it is too long.
    #[error("message to peer {peer}: {cause}")]
    Encode {
        /// Incarnation of the peer.
        peer: Incarnation,
        /// Error of encoding the frame.
        cause: EncodeError,
    },
}

/// Handle to all peer links; clones share the links.
#[derive(Clone, Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    commands: mpsc::UnboundedSender<Command>,
    stop: watch::Sender<bool>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Peers {
    /// Starts accepting and maintaining links on the current tokio runtime.
    ///
    /// The caller must keep reading events: a full event channel blocks every link.
    pub fn start(
        listener: TcpListener,
        hello: Hello,
        config: Config,
        events: mpsc::Sender<PeerEvent>,
    ) -> Peers {
        let shared = Arc::new(Shared::default());
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let (reports, report_receiver) = mpsc::channel(REPORT_QUEUE_LEN);
        let (stop, stopped) = watch::channel(false);
        let own = Arc::new(hello);
        let config = Arc::new(config);
        let acceptor = Acceptor {
            own: Arc::clone(&own),
            config: Arc::clone(&config),
            shared: Arc::clone(&shared),
            reports: reports.clone(),
        };
        let hub = Hub {
            own,
            config,
            shared: Arc::clone(&shared),
            events,
            reports,
            stop: stopped.clone(),
            peers: BTreeMap::new(),
            link_peers: BTreeMap::new(),
            tasks: JoinSet::new(),
            last_link: 0,
        };
        let tasks = vec![
            tokio::spawn(hub.run(command_receiver, report_receiver)),
            tokio::spawn(acceptor.run(listener, stopped)),
        ];
        Peers { shared, commands, stop, tasks: Arc::new(Mutex::new(tasks)) }
    }

    /// Opens a link to `peer`, which listens at `address`, and reopens it whenever it ends.
    pub fn connect(&self, peer: Incarnation, address: SocketAddr) {
        // Sending fails only after a stop, when no link is to be opened.
        let _ = self.commands.send(Command::Connect { peer, address });
    }

    /// Opens a link to the peer that listens at `address`; [`PeerEvent::Up`] tells its incarnation.
    ///
    /// The address is dialled once, and not at all if a link to it is open. To have the link
    /// reopened when it ends, call [`Peers::connect`] with the incarnation that answered.
    pub fn dial_once(&self, address: SocketAddr) {
        // Sending fails only after a stop, when no link is to be opened.
        let _ = self.commands.send(Command::DialOnce { address });
    }

    /// Closes the link to `peer` and stops dialling it; the peer may still open a link itself.
    pub fn forget(&self, peer: Incarnation) {
        // Sending fails only after a stop, when every link is closed.
        let _ = self.commands.send(Command::Forget { peer });
    }

    /// Queues a message for `to` without waiting.
    ///
    /// # Errors
    ///
    /// The message was not queued and will not be sent. Success does not guarantee delivery.
    pub fn send(
        &self,
        to: Incarnation,
        subsystem: Subsystem,
        body: Bytes,
    ) -> Result<(), SendError> {
        let result = self.push(to, subsystem, body);
        let counter = match result {
            Ok(()) => &self.shared.sent,
            Err(_) => &self.shared.dropped,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        result
    }

    fn push(&self, to: Incarnation, subsystem: Subsystem, body: Bytes) -> Result<(), SendError> {
        let link = self.shared.link(to).ok_or(SendError::NoLink(to))?;
        let frame = Frame::Data { subsystem, body }
            .encode()
            .map_err(|cause| SendError::Encode { peer: to, cause })?;
        link.push(frame).map_err(|error| match error {
            PushError::Full => SendError::QueueFull(to),
            PushError::Ended => SendError::NoLink(to),
        })
    }

    /// Returns whether a link to `peer` is open.
    pub fn is_linked(&self, peer: Incarnation) -> bool {
        self.shared.link(peer).is_some()
    }

    /// Returns the counters of all links since the start.
    pub fn counters(&self) -> PeerCounters {
        self.shared.counters()
    }

    /// Writes queued messages, closes every link and the listener, and emits no further events.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        for task in tasks {
            if let Err(error) = task.await {
                log::error!("peer: task failed: {error}");
            }
        }
    }
}

/// Task that accepts connections of peers.
struct Acceptor {
    own: Arc<Hello>,
    config: Arc<Config>,
    shared: Arc<Shared>,
    reports: mpsc::Sender<Report>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let permits = Arc::new(Semaphore::new(self.config.max_handshakes));
        let mut tasks = JoinSet::new();
        loop {
            while tasks.try_join_next().is_some() {}
            let next = async {
                let permit = Arc::clone(&permits).acquire_owned().await;
                (permit, listener.accept().await)
            };
            let (permit, accepted) = tokio::select! {
                () = hub::stopped(&mut stop) => return,
                next = next => next,
            };
            match accepted {
                Ok((stream, address)) => {
                    let work = self.accept(stream, address);
                    tasks.spawn(async move {
                        work.await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    log::warn!("peer: cannot accept a connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn accept(
        &self,
        stream: TcpStream,
        address: SocketAddr,
    ) -> impl Future<Output = ()> + Send + 'static {
        let own = Arc::clone(&self.own);
        let config = Arc::clone(&self.config);
        let shared = Arc::clone(&self.shared);
        let reports = self.reports.clone();
        async move {
            match handshake::accept(stream, address, &own, &config).await {
                Ok(opened) => {
                    let opened = Box::new(opened);
                    // Sending fails only when the hub is stopping.
                    let _ = reports.send(Report::Opened { side: Side::Acceptor, opened }).await;
                }
                Err(reason) => {
                    if matches!(reason, Reason::Protocol(_) | Reason::Version { .. }) {
                        shared.malformed.fetch_add(1, Ordering::Relaxed);
                    }
                    log::warn!("peer: refused connection from {address}: {reason}");
                }
            }
        }
    }
}
