//! Channels to the other entry VMs.
//!
//! [`Peers`] keeps at most one link to each peer over a WebSocket connection. A link is opened on
//! demand by [`Peers::connect`] or by the peer, and reopened with jittered backoff when it ends.
//! When both sides dial at once, the connection of the lower incarnation stays. Messages of one
//! link arrive in order and at most once; a link that ends loses what was under way, and both sides
//! get [`PeerEvent::Down`].

mod config;
mod handshake;
mod hub;
mod known;
mod link;
mod pulse;
mod reason;
mod shared;

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
use crate::peer::hub::Note;
use crate::peer::link::PushError;
use crate::peer::shared::Shared;
use model::Incarnation;
use wire::EncodeError;
use wire::Frame;
use wire::Hello;
use wire::Subsystem;

pub use config::Config;
pub use pulse::Heartbeat;
pub use pulse::HeartbeatAction;
pub use pulse::Side;
pub use reason::Reason;
pub use shared::ByteCounts;
pub use shared::Distance;
pub use shared::PeerCounters;

/// Notes that may wait for the hub.
const NOTE_QUEUE: usize = 1_024;
/// Pause after the listener failed, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What happened on peer links.
#[derive(Debug)]
pub enum PeerEvent {
    /// A link opened.
    Up {
        /// The peer.
        hello: Hello,
        /// Its end of the connection; the port is its listening port only if this side dialled.
        address: SocketAddr,
    },
    /// A link ended; messages that were under way are lost.
    Down {
        /// The peer.
        incarnation: Incarnation,
        /// Why.
        reason: Reason,
    },
    /// A dial failed; it is repeated until the peer is forgotten.
    Failed {
        /// The peer.
        incarnation: Incarnation,
        /// The address that was dialled.
        address: SocketAddr,
        /// Why.
        reason: Reason,
    },
    /// A message arrived.
    Message {
        /// The sender.
        from: Incarnation,
        /// The part that it is for.
        subsystem: Subsystem,
        /// The message, in CBOR.
        body: Bytes,
    },
}

/// A message was not sent, and no part of it will be.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No link is open.
    #[error("no link to peer {0}")]
    NoLink(Incarnation),
    /// The peer's queue is full.
    #[error("queue to peer {0} is full")]
    QueueFull(Incarnation),
    /// The message is too long.
    #[error("message to peer {peer}: {cause}")]
    Encode {
        /// The peer.
        peer: Incarnation,
        /// What is wrong.
        cause: EncodeError,
    },
}

/// Handle to all peer links; clones share them.
#[derive(Clone, Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    commands: mpsc::UnboundedSender<Command>,
    stop: watch::Sender<bool>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Peers {
    /// Starts to accept and keep links, on the current tokio runtime.
    ///
    /// Events have to be read: a full event channel holds up every link.
    pub fn start(
        listener: TcpListener,
        hello: Hello,
        config: Config,
        events: mpsc::Sender<PeerEvent>,
    ) -> Peers {
        let shared = Arc::new(Shared::default());
        let (commands, command_queue) = mpsc::unbounded_channel();
        let (notes, note_queue) = mpsc::channel(NOTE_QUEUE);
        let (stop, stopped) = watch::channel(false);
        let own = Arc::new(hello);
        let config = Arc::new(config);
        let acceptor = Acceptor {
            own: Arc::clone(&own),
            config: Arc::clone(&config),
            shared: Arc::clone(&shared),
            notes: notes.clone(),
        };
        let hub = Hub {
            own,
            config,
            shared: Arc::clone(&shared),
            events,
            notes,
            stop: stopped.clone(),
            peers: BTreeMap::new(),
            current: BTreeMap::new(),
            tasks: JoinSet::new(),
            last_link: 0,
        };
        let tasks = vec![
            tokio::spawn(hub.run(command_queue, note_queue)),
            tokio::spawn(acceptor.run(listener, stopped)),
        ];
        Peers { shared, commands, stop, tasks: Arc::new(Mutex::new(tasks)) }
    }

    /// Keeps a link to `peer`, which listens at `address`.
    pub fn connect(&self, peer: Incarnation, address: SocketAddr) {
        // After a stop there is nothing to keep.
        let _ = self.commands.send(Command::Connect { peer, address });
    }

    /// Opens a link to whoever listens at `address`, which [`PeerEvent::Up`] then names.
    ///
    /// It is dialled once, and not at all if a link to that address is open. To keep the link, call
    /// [`Peers::connect`] with the incarnation that answered.
    pub fn dial_once(&self, address: SocketAddr) {
        // After a stop there is nobody to meet.
        let _ = self.commands.send(Command::Meet { address });
    }

    /// Closes the link to `peer` and keeps none; the peer may still open one.
    pub fn forget(&self, peer: Incarnation) {
        // After a stop there is nothing to close.
        let _ = self.commands.send(Command::Forget { peer });
    }

    /// Queues a message for `to` without waiting.
    ///
    /// # Errors
    ///
    /// The message was not queued and will not be sent. Success does not mean that it arrives.
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

    /// Whether a link to `peer` is open.
    pub fn is_linked(&self, peer: Incarnation) -> bool {
        self.shared.link(peer).is_some()
    }

    /// Counters since the start.
    pub fn counters(&self) -> PeerCounters {
        self.shared.counters()
    }

    /// Writes what is queued, closes every link and the listener, and emits no further event.
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

struct Acceptor {
    own: Arc<Hello>,
    config: Arc<Config>,
    shared: Arc<Shared>,
    notes: mpsc::Sender<Note>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let slots = Arc::new(Semaphore::new(self.config.max_handshakes));
        let mut tasks = JoinSet::new();
        loop {
            while tasks.try_join_next().is_some() {}
            let next = async {
                let slot = Arc::clone(&slots).acquire_owned().await;
                (slot, listener.accept().await)
            };
            let (slot, accepted) = tokio::select! {
                () = hub::stopped(&mut stop) => return,
                next = next => next,
            };
            match accepted {
                Ok((stream, address)) => {
                    let work = self.open(stream, address);
                    tasks.spawn(async move {
                        work.await;
                        drop(slot);
                    });
                }
                Err(error) => {
                    log::warn!("peer: cannot accept a connection: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn open(
        &self,
        stream: TcpStream,
        address: SocketAddr,
    ) -> impl Future<Output = ()> + Send + 'static {
        let own = Arc::clone(&self.own);
        let config = Arc::clone(&self.config);
        let shared = Arc::clone(&self.shared);
        let notes = self.notes.clone();
        async move {
            match handshake::accept(stream, address, &own, &config).await {
                Ok(opened) => {
                    let opened = Box::new(opened);
                    // The hub outlives the acceptor, except when it stops.
                    let _ = notes.send(Note::Opened { side: Side::Acceptor, opened }).await;
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
