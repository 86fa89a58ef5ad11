//! Task that owns all links: dials, accepts and replaces connections and emits events.
//!
//! Every received message passes through the hub, which drops those of a link that is no longer the
//! active one of its peer. A replaced link can therefore lose messages, but never deliver them
//! late.

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
use crate::peer::link::Link;
use crate::peer::link::Outbox;
use crate::peer::shared::Shared;
use crate::peer::state::ActiveLink;
use crate::peer::state::PeerState;
use model::Incarnation;
use wire::Hello;
use wire::Subsystem;

/// Time limit on writing queued frames when stopping.
const STOP_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Command from [`Peers`](super::Peers).
#[derive(Debug)]
pub(super) enum Command {
    /// Keep a link to a peer.
    Connect { peer: Incarnation, address: SocketAddr },
    /// Open a link to the unknown peer that listens at an address.
    DialOnce { address: SocketAddr },
    /// Close the link to a peer and stop dialling it.
    Forget { peer: Incarnation },
}

/// Report of a link or handshake task to the hub.
#[derive(Debug)]
pub(super) enum Report {
    /// A connection completed its handshake.
    Opened { side: Side, opened: Box<Opened> },
    /// A connection of [`Command::DialOnce`] completed its handshake.
    DialledOnce { opened: Box<Opened> },
    /// A dial failed.
    Failed { peer: Incarnation, address: SocketAddr, reason: Reason },
    /// A data frame arrived.
    Frame { link: u64, subsystem: Subsystem, body: Bytes },
    /// A link ended.
    Ended { link: u64, reason: Reason },
}

/// State of the hub task.
pub(super) struct Hub {
    pub(super) own: Arc<Hello>,
    pub(super) config: Arc<Config>,
    pub(super) shared: Arc<Shared>,
    pub(super) events: mpsc::Sender<PeerEvent>,
    pub(super) reports: mpsc::Sender<Report>,
    pub(super) stop: watch::Receiver<bool>,
    pub(super) peers: BTreeMap<Incarnation, PeerState>,
    pub(super) link_peers: BTreeMap<u64, Incarnation>,
    pub(super) tasks: JoinSet<()>,
    pub(super) last_link: u64,
}

/// Signals that the hub has to stop.
struct Stopped;

impl Hub {
    /// Runs until stopped.
    pub(super) async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut reports: mpsc::Receiver<Report>,
    ) {
        let mut stop = self.stop.clone();
        loop {
            while self.tasks.try_join_next().is_some() {}
            let step = tokio::select! {
                biased;
                () = stopped(&mut stop) => Err(Stopped),
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => Err(Stopped),
                },
                Some(report) = reports.recv() => self.handle_report(report).await,
            };
            if let Err(Stopped) = step {
                break;
            }
        }
        self.finish(reports).await;
    }

    /// Waits until every link has written its queue and closed, or until [`STOP_TIMEOUT`].
    async fn finish(mut self, mut reports: mpsc::Receiver<Report>) {
        self.shared.clear_links();
        for peer in self.peers.values_mut() {
            peer.cancel_dial();
        }
        let drain = async {
            while !self.tasks.is_empty() {
                tokio::select! {
                    _ = self.tasks.join_next() => {}
                    Some(report) = reports.recv() => {
                        if let Report::Ended { link, .. } = report {
                            self.shared.stop_meter(link);
                        }
                    }
                }
            }
        };
        if timeout(STOP_TIMEOUT, drain).await.is_err() {
            log::warn!("peer: stopping timed out; links were closed with unsent messages");
        }
    }

    async fn handle_command(&mut self, command: Command) -> Result<(), Stopped> {
        match command {
            Command::Connect { peer, address } => {
                if peer != self.own.incarnation {
                    self.connect(peer, address);
                }
                Ok(())
            }
            Command::DialOnce { address } => {
                self.dial_once(address);
                Ok(())
            }
            Command::Forget { peer } => self.forget(peer).await,
        }
    }

    async fn handle_report(&mut self, report: Report) -> Result<(), Stopped> {
        match report {
            Report::Opened { side, opened } => self.adopt(side, *opened).await,
            Report::DialledOnce { opened } => self.handle_dialled_once(*opened).await,
            Report::Failed { peer, address, reason } => {
                self.handle_failed(peer, address, reason).await
            }
            Report::Frame { link, subsystem, body } => {
                self.handle_frame(link, subsystem, body).await
            }
            Report::Ended { link, reason } => self.handle_ended(link, reason).await,
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
        if peer.target_address == Some(address) {
            return;
        }
        peer.target_address = Some(address);
        peer.failures = 0;
        peer.cancel_dial();
        self.dial(id, Duration::ZERO);
    }

    async fn forget(&mut self, id: Incarnation) -> Result<(), Stopped> {
        let Some(mut peer) = self.peers.remove(&id) else { return Ok(()) };
        peer.cancel_dial();
        let Some(link) = peer.link else { return Ok(()) };
        self.link_peers.remove(&link.id);
        self.shared.set_link(id, None);
        self.emit(PeerEvent::Down { incarnation: id, reason: Reason::Local }).await
    }

    /// Dials `id` after `pause`, unless a link is open, a dial is in progress or no address is set.
    fn dial(&mut self, id: Incarnation, pause: Duration) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let Some(address) = peer.target_address else { return };
        if peer.link.is_some() || peer.dial.is_some() {
            return;
        }
        let own = Arc::clone(&self.own);
        let config = Arc::clone(&self.config);
        let reports = self.reports.clone();
        let work = async move {
            sleep(pause).await;
            let report = match handshake::dial(address, Some(id), &own, &config).await {
                Ok(opened) => Report::Opened { side: Side::Dialer, opened: Box::new(opened) },
                Err(reason) => Report::Failed { peer: id, address, reason },
            };
            // Sending fails only when the hub is stopping.
            let _ = reports.send(report).await;
        };
        peer.dial = Some(self.tasks.spawn(work));
    }

    /// Dials `address` once without expecting a particular incarnation.
    fn dial_once(&mut self, address: SocketAddr) {
        if self.peers.values().any(|peer| peer.is_linked_at(address)) {
            return;
        }
        let own = Arc::clone(&self.own);
        let config = Arc::clone(&self.config);
        let reports = self.reports.clone();
        self.tasks.spawn(async move {
            match handshake::dial(address, None, &own, &config).await {
                Ok(opened) => {
                    // Sending fails only when the hub is stopping.
                    let _ = reports.send(Report::DialledOnce { opened: Box::new(opened) }).await;
                }
                Err(reason) => log::debug!("peer: cannot open a link to {address}: {reason}"),
            }
        });
    }

    async fn handle_dialled_once(&mut self, opened: Opened) -> Result<(), Stopped> {
        self.peers.entry(opened.hello.incarnation).or_default();
        self.adopt(Side::Dialer, opened).await
    }

    async fn handle_failed(
        &mut self,
        id: Incarnation,
        address: SocketAddr,
        reason: Reason,
    ) -> Result<(), Stopped> {
        if matches!(reason, Reason::Protocol(_) | Reason::Version { .. }) {
            self.shared.malformed.fetch_add(1, Ordering::Relaxed);
        }
        let Some(peer) = self.peers.get_mut(&id) else { return Ok(()) };
        if peer.target_address != Some(address) {
            return Ok(());
        }
        peer.dial = None;
        let pause = peer.record_failure(&self.config);
        self.dial(id, pause);
        self.emit(PeerEvent::Failed { incarnation: id, address, reason }).await
    }

    async fn adopt(&mut self, side: Side, opened: Opened) -> Result<(), Stopped> {
        let id = opened.hello.incarnation;
        let dialer = if side == Side::Dialer { self.own.incarnation } else { id };
        if side == Side::Dialer {
            match self.peers.get_mut(&id) {
                Some(peer) => {
                    peer.cancel_dial();
                    peer.dialled_address = Some(opened.address);
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
            self.link_peers.remove(&old.id);
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
        self.shared.start_meter(id, distance, socket.get_ref().counters());
        self.shared.opened.fetch_add(1, Ordering::Relaxed);
        let (outbox, queue) = Outbox::new(&self.config);
        let link = Link {
            id,
            side,
            reports: self.reports.clone(),
            queue,
            config: Arc::clone(&self.config),
            shared: Arc::clone(&self.shared),
        };
        self.tasks.spawn(link.run(socket));
        self.link_peers.insert(id, hello.incarnation);
        let peer = self.peers.entry(hello.incarnation).or_default();
        peer.link = Some(ActiveLink { id, dialer, opened: Instant::now() });
        self.shared.set_link(hello.incarnation, Some(Arc::new(outbox)));
        self.emit(PeerEvent::Up { hello, address }).await
    }

    fn refuse(&mut self, opened: Opened) {
        let mut socket = opened.socket;
        self.tasks.spawn(async move {
            let close = socket.close(Some(handshake::close_frame(&Reason::Replaced)));
            // A failure does not matter: the socket is dropped either way.
            let _ = timeout(STOP_TIMEOUT, close).await;
        });
    }

    async fn handle_frame(
        &mut self,
        link: u64,
        subsystem: Subsystem,
        body: Bytes,
    ) -> Result<(), Stopped> {
        let Some(from) = self.link_peers.get(&link).copied() else { return Ok(()) };
        self.shared.received.fetch_add(1, Ordering::Relaxed);
        self.emit(PeerEvent::Message { from, subsystem, body }).await
    }

    async fn handle_ended(&mut self, link: u64, reason: Reason) -> Result<(), Stopped> {
        self.shared.stop_meter(link);
        count_link_end(&self.shared, &reason);
        let Some(id) = self.link_peers.remove(&link) else { return Ok(()) };
        self.shared.set_link(id, None);
        if let Some(peer) = self.peers.get_mut(&id) {
            let pause = peer.clear_link(&self.config);
            match peer.target_address {
                Some(_) => self.dial(id, pause),
                None => drop(self.peers.remove(&id)),
            }
        }
        self.emit(PeerEvent::Down { incarnation: id, reason }).await
    }
}

/// Waits until [`Peers::stop`](super::Peers::stop) is called or every handle is dropped.
pub(super) async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that every handle is dropped, so nothing can use the links any more.
    let _ = stop.wait_for(|stop| *stop).await;
}

fn count_link_end(shared: &Shared, reason: &Reason) {
    let counter: &AtomicU64 = match reason {
        Reason::Silent | Reason::Stalled => &shared.silent,
        Reason::Protocol(_) | Reason::Version { .. } => &shared.malformed,
        _ => return,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}
