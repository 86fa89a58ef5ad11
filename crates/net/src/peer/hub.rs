//! The task that owns all links: adopts, replaces, dials and reports them.
//!
//! Every frame passes the hub, which drops frames of a link that is no longer the current one of
//! its peer. A replaced link can therefore lose messages, but never deliver them late.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::peer::Config;
use crate::peer::Distance;
use crate::peer::PeerEvent;
use crate::peer::Reason;
use crate::peer::Side;
use crate::peer::handshake;
use crate::peer::handshake::Opened;
use crate::peer::known::Current;
use crate::peer::known::Peer;
use crate::peer::link::Link;
use crate::peer::link::Outbox;
use crate::peer::shared::Shared;
use model::Incarnation;
use wire::Hello;
use wire::Subsystem;

/// Limit on flushing queues when stopping.
const STOP_TIME: Duration = Duration::from_millis(2_500);

/// What the handle asks for.
#[derive(Debug)]
pub(super) enum Command {
    /// Keep a link to this peer.
    Connect { peer: Incarnation, address: SocketAddr },
    /// Open a link to whoever listens at an address.
    Meet { address: SocketAddr },
    /// Close the link and keep none.
    Forget { peer: Incarnation },
}

/// What links and dials report.
#[derive(Debug)]
pub(super) enum Note {
    /// A connection is open.
    Opened { side: Side, opened: Box<Opened> },
    /// A connection to a peer that was not known is open.
    Met { opened: Box<Opened> },
    /// A dial failed.
    Failed { peer: Incarnation, address: SocketAddr, reason: Reason },
    /// A frame arrived.
    Frame { link: u64, subsystem: Subsystem, body: Bytes },
    /// A link ended.
    Ended { link: u64, reason: Reason },
}

/// Everything the hub owns.
pub(super) struct Hub {
    pub(super) own: Arc<Hello>,
    pub(super) config: Arc<Config>,
    pub(super) shared: Arc<Shared>,
    pub(super) events: mpsc::Sender<PeerEvent>,
    pub(super) notes: mpsc::Sender<Note>,
    pub(super) stop: watch::Receiver<bool>,
    pub(super) peers: BTreeMap<Incarnation, Peer>,
    pub(super) current: BTreeMap<u64, Incarnation>,
    pub(super) tasks: JoinSet<()>,
    pub(super) last_link: u64,
}

/// The hub has to stop.
struct Stopped;

impl Hub {
    /// Runs until stopped.
    pub(super) async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut notes: mpsc::Receiver<Note>,
    ) {
        let mut stop = self.stop.clone();
        loop {
            while self.tasks.try_join_next().is_some() {}
            let step = tokio::select! {
                biased;
                () = stopped(&mut stop) => Err(Stopped),
                command = commands.recv() => match command {
                    Some(command) => self.command(command).await,
                    None => Err(Stopped),
                },
                Some(note) = notes.recv() => self.note(note).await,
            };
            if let Err(Stopped) = step {
                break;
            }
        }
        self.finish(notes).await;
    }

    /// Closes every link once its queue is written.
    async fn finish(mut self, mut notes: mpsc::Receiver<Note>) {
        self.shared.clear_links();
        for peer in self.peers.values_mut() {
            peer.end_dial();
        }
        let drain = async {
            while !self.tasks.is_empty() {
                tokio::select! {
                    _ = self.tasks.join_next() => {}
                    Some(note) = notes.recv() => {
                        if let Note::Ended { link, .. } = note {
                            self.shared.settle(link);
                        }
                    }
                }
            }
        };
        if timeout(STOP_TIME, drain).await.is_err() {
            log::warn!("peer: links cut while stopping, their queues were not empty");
        }
    }

    async fn command(&mut self, command: Command) -> Result<(), Stopped> {
        match command {
            Command::Connect { peer, address } => {
                if peer != self.own.incarnation {
                    self.connect(peer, address);
                }
                Ok(())
            }
            Command::Meet { address } => {
                self.meet(address);
                Ok(())
            }
            Command::Forget { peer } => self.forget(peer).await,
        }
    }

    async fn note(&mut self, note: Note) -> Result<(), Stopped> {
        match note {
            Note::Opened { side, opened } => self.adopt(side, *opened).await,
            Note::Met { opened } => self.met(*opened).await,
            Note::Failed { peer, address, reason } => self.failed(peer, address, reason).await,
            Note::Frame { link, subsystem, body } => self.frame(link, subsystem, body).await,
            Note::Ended { link, reason } => self.ended(link, reason).await,
        }
    }

    async fn emit(&mut self, event: PeerEvent) -> Result<(), Stopped> {
        tokio::select! {
            biased;
            sent = self.events.send(event) => sent.map_err(|_| Stopped),
            () = stopped(&mut self.stop) => Err(Stopped),
        }
    }

    fn connect(&mut self, id: Incarnation, address: SocketAddr) {
        let peer = self.peers.entry(id).or_default();
        if peer.target == Some(address) {
            return;
        }
        peer.target = Some(address);
        peer.failures = 0;
        peer.end_dial();
        self.dial(id, Duration::ZERO);
    }

    async fn forget(&mut self, id: Incarnation) -> Result<(), Stopped> {
        let Some(mut peer) = self.peers.remove(&id) else { return Ok(()) };
        peer.end_dial();
        let Some(link) = peer.link else { return Ok(()) };
        self.current.remove(&link.id);
        self.shared.set_link(id, None);
        self.emit(PeerEvent::Down { incarnation: id, reason: Reason::Local }).await
    }

    /// Dials `id` after `pause`, unless it is linked, being dialled or not wanted.
    fn dial(&mut self, id: Incarnation, pause: Duration) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let Some(address) = peer.target else { return };
        if peer.link.is_some() || peer.dial.is_some() {
            return;
        }
        let own = Arc::clone(&self.own);
        let config = Arc::clone(&self.config);
        let notes = self.notes.clone();
        let work = async move {
            sleep(pause).await;
            let note = match handshake::dial(address, Some(id), &own, &config).await {
                Ok(opened) => Note::Opened { side: Side::Dialer, opened: Box::new(opened) },
                Err(reason) => Note::Failed { peer: id, address, reason },
            };
            // The hub outlives its dials, except when it stops.
            let _ = notes.send(note).await;
        };
        peer.dial = Some(self.tasks.spawn(work));
    }

    /// Dials whoever listens at `address`, once.
    fn meet(&mut self, address: SocketAddr) {
        if self.peers.values().any(|peer| peer.linked_at(address)) {
            return;
        }
        let own = Arc::clone(&self.own);
        let config = Arc::clone(&self.config);
        let notes = self.notes.clone();
        self.tasks.spawn(async move {
            match handshake::dial(address, None, &own, &config).await {
                Ok(opened) => {
                    // The hub outlives its dials, except when it stops.
                    let _ = notes.send(Note::Met { opened: Box::new(opened) }).await;
                }
                Err(reason) => log::debug!("peer: nobody met at {address}: {reason}"),
            }
        });
    }

    async fn met(&mut self, opened: Opened) -> Result<(), Stopped> {
        self.peers.entry(opened.hello.incarnation).or_default();
        self.adopt(Side::Dialer, opened).await
    }

    async fn failed(
        &mut self,
        id: Incarnation,
        address: SocketAddr,
        reason: Reason,
    ) -> Result<(), Stopped> {
        if matches!(reason, Reason::Protocol(_) | Reason::Version { .. }) {
            self.shared.malformed.fetch_add(1, Ordering::Relaxed);
        }
        let Some(peer) = self.peers.get_mut(&id) else { return Ok(()) };
        if peer.target != Some(address) {
            return Ok(());
        }
        peer.dial = None;
        let pause = peer.fail(&self.config);
        self.dial(id, pause);
        self.emit(PeerEvent::Failed { incarnation: id, address, reason }).await
    }

    async fn adopt(&mut self, side: Side, opened: Opened) -> Result<(), Stopped> {
        let id = opened.hello.incarnation;
        let dialer = if side == Side::Dialer { self.own.incarnation } else { id };
        if side == Side::Dialer {
            match self.peers.get_mut(&id) {
                Some(peer) => {
                    peer.end_dial();
                    peer.answered = Some(opened.address);
                }
                None => return Ok(()),
            }
        }
        let peer = self.peers.entry(id).or_default();
        if let Some(old) = &peer.link {
            let lower = id.min(self.own.incarnation);
            if !old.yields_to(dialer, lower, self.config.handshake_timeout) {
                self.refuse(opened);
                return Ok(());
            }
            self.current.remove(&old.id);
            peer.link = None;
            self.shared.set_link(id, None);
            self.emit(PeerEvent::Down { incarnation: id, reason: Reason::Replaced }).await?;
        }
        self.start_link(side, dialer, opened).await
    }

    async fn start_link(
        &mut self,
        side: Side,
        dialer: Incarnation,
        opened: Opened,
    ) -> Result<(), Stopped> {
        let Opened { socket, hello, address } = opened;
        self.last_link += 1;
        let id = self.last_link;
        let distance = Distance::between(&self.own, &hello);
        self.shared.meter(id, distance, socket.get_ref().traffic());
        self.shared.opened.fetch_add(1, Ordering::Relaxed);
        let (outbox, queue) = Outbox::new(&self.config);
        let link = Link {
            id,
            side,
            notes: self.notes.clone(),
            queue,
            config: Arc::clone(&self.config),
            shared: Arc::clone(&self.shared),
        };
        self.tasks.spawn(link.run(socket));
        self.current.insert(id, hello.incarnation);
        let peer = self.peers.entry(hello.incarnation).or_default();
        peer.link = Some(Current { id, dialer, since: Instant::now() });
        self.shared.set_link(hello.incarnation, Some(Arc::new(outbox)));
        self.emit(PeerEvent::Up { hello, address }).await
    }

    fn refuse(&mut self, opened: Opened) {
        let mut socket = opened.socket;
        self.tasks.spawn(async move {
            let close = socket.close(Some(handshake::close_frame(&Reason::Replaced)));
            // Closing is a courtesy; the socket is dropped either way.
            let _ = timeout(STOP_TIME, close).await;
        });
    }

    async fn frame(&mut self, link: u64, subsystem: Subsystem, body: Bytes) -> Result<(), Stopped> {
        let Some(from) = self.current.get(&link).copied() else { return Ok(()) };
        self.shared.received.fetch_add(1, Ordering::Relaxed);
        self.emit(PeerEvent::Message { from, subsystem, body }).await
    }

    async fn ended(&mut self, link: u64, reason: Reason) -> Result<(), Stopped> {
        self.shared.settle(link);
        count_end(&self.shared, &reason);
        let Some(id) = self.current.remove(&link) else { return Ok(()) };
        self.shared.set_link(id, None);
        if let Some(peer) = self.peers.get_mut(&id) {
            let pause = peer.end_link(&self.config);
            match peer.target {
                Some(_) => self.dial(id, pause),
                None => drop(self.peers.remove(&id)),
            }
        }
        self.emit(PeerEvent::Down { incarnation: id, reason }).await
    }
}

/// Waits until the handle stops or is gone.
pub(super) async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A handle that is gone cannot use the links any more.
    let _ = stop.wait_for(|stop| *stop).await;
}

fn count_end(shared: &Shared, reason: &Reason) {
    let counter: &AtomicU64 = match reason {
        Reason::Silent | Reason::Stalled => &shared.silent,
        Reason::Protocol(_) | Reason::Version { .. } => &shared.malformed,
        _ => return,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}
