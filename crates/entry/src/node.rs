//! The entry VM: starts its tasks, connects them, and stops them in order.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use hyper::Uri;
use log::debug;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use xitca_server::ServerHandle;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::error::Error;
use crate::jobs;
use crate::ledger::Ledger;
use crate::members;
use crate::metrics::Metrics;
use crate::relay::Relay;
use crate::requests;
use crate::vms;
use crate::web;
use crate::web::WebState;
use crate::web::token::Token;
use intake::Intake;
use model::BackendId;
use model::Incarnation;
use net::PeerEvent;
use net::Peers;
use net::Pool;
use net::Rest;
use net::pool;
use route::Router;
use store::Client;
use text::Settings;
use wire::Hello;
use wire::Subsystem;
use wire::border;

/// Interval at which the list of VMs is polled.
const VMS_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the load balancer notices a failed readiness check and sends no new work.
const READINESS_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a stopping entry VM checks whether calls are in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without calls after which a stopping entry VM expects no further ones.
const IDLE_PERIOD: Duration = Duration::from_millis(200);
/// Capacity of the event queues of peer links and of the connection pool.
const EVENT_QUEUE_LEN: usize = 8_192;

/// Listening sockets of an entry VM.
#[derive(Debug)]
pub struct Listeners {
    /// Socket for callers.
    pub callers: TcpListener,
    /// Socket for operators; `None` if they share the callers' socket.
    pub operators: Option<TcpListener>,
    /// Socket for other entry VMs.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds the listen addresses of the settings.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if an address cannot be bound.
    pub fn bind(settings: &Settings) -> Result<Listeners, Error> {
        let listen = &settings.listen;
        let shared = listen.operators == listen.callers;
        let operators = if shared { None } else { Some(bind(listen.operators)?) };
        Ok(Listeners { callers: bind(listen.callers)?, operators, peers: bind(listen.peers)? })
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })
}

/// A running entry VM.
pub struct Node {
    state: Arc<WebState>,
    callers: SocketAddr,
    fenced: watch::Receiver<bool>,
    peers: Peers,
    servers: Vec<Server>,
    tasks: Vec<JoinHandle<()>>,
    drain: Duration,
}

impl Node {
    /// Starts an entry VM on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// A task or server cannot be started; see [`Error`].
    pub fn start(settings: &Settings, listeners: Listeners) -> Result<Node, Error> {
        let mut components = Components::start(settings, listeners.peers)?;
        let peers = components.peers.clone();
        let fenced = components.fleet_task.fenced.clone();
        let tasks = std::mem::take(&mut components.tasks);
        let state = Arc::new(components.into_state(settings));
        let callers = listeners.callers.local_addr().map_err(Error::Web)?;
        let mut servers = Vec::new();
        for listener in [Some(listeners.callers), listeners.operators].into_iter().flatten() {
            servers.push(Server::start(listener, state.clone())?);
        }
        let name = &settings.vm;
        info!("node: entry VM {name} serves callers on {callers} as {}", state.me.incarnation);
        Ok(Node { state, callers, fenced, peers, servers, tasks, drain: settings.limits.drain })
    }

    /// Address at which callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.state.me.incarnation
    }

    /// View that the fleet task publishes.
    pub fn view(&self) -> watch::Receiver<Arc<members::View>> {
        self.state.view.clone()
    }

    /// Waits until the other entry VMs have declared this process gone.
    pub async fn fenced(&mut self) {
        while !*self.fenced.borrow() {
            if self.fenced.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Stops gracefully: fails the readiness check, hands over queued requests and shards, finishes
    /// the calls in progress for at most the drain time of the settings, then ends.
    pub async fn stop(self) {
        info!("node: stopping");
        self.state.ready.store(false, Ordering::SeqCst);
        self.state.members.event(fleet::Event::Drain).await;
        tokio::time::sleep(READINESS_DELAY).await;
        let finish = async {
            // An error means that the router has stopped, so it has no requests left.
            let _ = self.state.requests.drain().await;
            self.wait_until_idle().await;
        };
        if tokio::time::timeout(self.drain, finish).await.is_err() {
            warn!("node: requests were still in progress after {} s", self.drain.as_secs());
        }
        self.state.ledger.write_final(&self.state.store).await;
        self.state.members.event(fleet::Event::Finished).await;
        tokio::time::sleep(IDLE_PERIOD).await;
        self.end_tasks().await;
        info!("node: stopped");
    }

    /// Ends at once without any handover, to simulate a crash.
    pub async fn kill(self) {
        self.end_tasks().await;
    }

    async fn end_tasks(self) {
        for task in &self.tasks {
            task.abort();
        }
        for server in self.servers {
            server.stop().await;
        }
        self.peers.stop().await;
    }

    /// Waits until no call has been in progress for [`IDLE_PERIOD`].
    async fn wait_until_idle(&self) {
        let mut idle_for = Duration::ZERO;
        while idle_for < IDLE_PERIOD {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            let busy = self.state.active.load(Ordering::SeqCst) > 0;
            idle_for = if busy { Duration::ZERO } else { idle_for + IDLE_POLL_INTERVAL };
        }
    }
}

/// Tasks and clients of an entry VM, connected with each other but not serving callers yet.
struct Components {
    clock: Clock,
    me: fleet::Member,
    store: Client,
    peers: Peers,
    requests: requests::Handle,
    fleet_task: members::StartedFleet,
    relay: Relay,
    ledger: Ledger,
    metrics: Metrics,
    directory: Directory,
    tasks: Vec<JoinHandle<()>>,
}

impl Components {
    fn start(settings: &Settings, peers: TcpListener) -> Result<Components, Error> {
        let clock = Clock::start();
        let me = local_member(settings, Incarnation(rand::random()), &peers)?;
        let seed: u64 = rand::random();
        let store = Client::new(store_config(settings))?;
        let (peer_events, peer_inbox) = mpsc::channel(EVENT_QUEUE_LEN);
        let peers = start_peers(settings, me.incarnation, peers, peer_events)?;
        let (closed, closed_inbox) = mpsc::channel(EVENT_QUEUE_LEN);
        let pool = Pool::new(pool_config(settings), closed);
        let requests = start_requests(settings, &me, seed, clock, pool, &peers);
        let jobs = jobs::start(jobs::Dependencies {
            clock,
            me: me.incarnation,
            store: store.clone(),
            seed,
            settings: gang::Settings::default(),
        });
        let deps = members::Dependencies {
            clock,
            store: store.clone(),
            peers: peers.clone(),
            requests: requests.clone(),
            jobs: jobs.clone(),
        };
        let fleet_task = members::start(me.clone(), seed, deps);
        let relay = Relay::new(peers.clone());
        let metrics = Metrics::new()?;
        let view = fleet_task.view.clone();
        let ledger = Ledger::new(clock, me.vm.clone(), metrics.clone(), view.clone());
        let directory = Directory::new(me.incarnation, jobs, relay.clone(), view, ledger.clone());
        let dispatcher = PeerDispatcher {
            requests: requests.clone(),
            members: fleet_task.handle.clone(),
            relay: relay.clone(),
            directory: directory.clone(),
        };
        let tasks = vec![
            tokio::spawn(dispatcher.run(peer_inbox)),
            tokio::spawn(report_closed_connections(closed_inbox, requests.clone())),
            tokio::spawn(poll_vms(settings.vms.clone(), fleet_task.handle.clone())),
            tokio::spawn(ledger.clone().write_periodically(store.clone())),
        ];
        Ok(Components {
            clock,
            me,
            store,
            peers,
            requests,
            fleet_task,
            relay,
            ledger,
            metrics,
            directory,
            tasks,
        })
    }

    /// Converts the components to the shared state of the web handlers.
    fn into_state(self, settings: &Settings) -> WebState {
        WebState {
            clock: self.clock,
            me: self.me,
            requests: self.requests,
            directory: self.directory,
            members: self.fleet_task.handle,
            store: self.store,
            runtime: tokio::runtime::Handle::current(),
            peers: self.peers,
            view: self.fleet_task.view,
            relay: self.relay,
            ledger: self.ledger,
            metrics: self.metrics,
            token: Token::new(settings.token.as_deref().unwrap_or_default()),
            intake: Intake::new(web::body_limits(
                usize::try_from(settings.limits.body.0).unwrap_or(usize::MAX),
                settings.limits.requests as usize,
            )),
            body_limit: usize::try_from(settings.limits.body.0).unwrap_or(usize::MAX),
            ready: AtomicBool::new(true),
            active: AtomicUsize::new(0),
        }
    }
}

fn start_requests(
    settings: &Settings,
    me: &fleet::Member,
    seed: u64,
    clock: Clock,
    pool: Pool,
    peers: &Peers,
) -> requests::Handle {
    let (zone, region) = (me.zone.clone(), me.region.clone());
    let router = Router::new(route_settings(settings), me.incarnation, zone, region, seed);
    requests::start(router, requests::Dependencies { clock, pool, peers: peers.clone() })
}

/// Web server on a separate thread, since its runtime must not be dropped inside another runtime.
struct Server {
    handle: ServerHandle,
    thread: thread::JoinHandle<()>,
}

impl Server {
    fn start(listener: TcpListener, state: Arc<WebState>) -> Result<Server, Error> {
        let mut server = web::serve(listener, state).map_err(Error::Web)?;
        let handle = server.handle().map_err(Error::Web)?;
        let thread = thread::spawn(move || {
            if let Err(error) = server.wait() {
                warn!("web: server ended: {error}");
            }
        });
        Ok(Server { handle, thread })
    }

    async fn stop(self) {
        self.handle.stop(false);
        // Joining fails only if the server panicked, which has been logged.
        let _ = tokio::task::spawn_blocking(move || self.thread.join()).await;
    }
}

fn local_member(
    settings: &Settings,
    incarnation: Incarnation,
    peers: &TcpListener,
) -> Result<fleet::Member, Error> {
    let mut address = settings.advertise;
    if address.port() == 0 {
        address.set_port(peers.local_addr().map_err(Error::Web)?.port());
    }
    Ok(fleet::Member {
        incarnation,
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address: address.to_string(),
    })
}

fn store_config(settings: &Settings) -> store::Config {
    let url = settings.store.first().map_or("", String::as_str);
    store::Config { rate: f64::from(settings.limits.store_calls), ..store::Config::new(url) }
}

fn pool_config(settings: &Settings) -> pool::Config {
    let answer_len = usize::try_from(settings.limits.body.0).unwrap_or(usize::MAX);
    pool::Config { answer_len, ..pool::Config::default() }
}

fn route_settings(settings: &Settings) -> route::Settings {
    route::Settings {
        queue_limit: usize::try_from(settings.limits.requests).unwrap_or(usize::MAX),
        answer_bytes: usize::try_from(settings.limits.answers.0).unwrap_or(usize::MAX),
        link_rate: settings.link_budget.0,
        ..route::Settings::default()
    }
}

fn start_peers(
    settings: &Settings,
    incarnation: Incarnation,
    listener: TcpListener,
    events: mpsc::Sender<PeerEvent>,
) -> Result<Peers, Error> {
    let address = settings.listen.peers;
    let listen = |source| Error::Listen { address, source };
    listener.set_nonblocking(true).map_err(listen)?;
    let listener = tokio::net::TcpListener::from_std(listener).map_err(listen)?;
    let (vm, zone) = (settings.vm.clone(), settings.zone.clone());
    let hello = Hello::new(incarnation, vm, zone, settings.region.clone());
    Ok(Peers::start(listener, hello, net::peer::Config::default(), events))
}

/// Dispatches messages and link events of peers to the tasks that handle them.
struct PeerDispatcher {
    requests: requests::Handle,
    members: members::Handle,
    relay: Relay,
    directory: Directory,
}

impl PeerDispatcher {
    async fn run(self, mut inbox: mpsc::Receiver<PeerEvent>) {
        while let Some(event) = inbox.recv().await {
            match event {
                PeerEvent::Up { hello, .. } => {
                    debug!("peer: link to {} opened", hello.vm);
                    self.members.send(members::Command::LinkOpened(hello.incarnation)).await;
                }
                PeerEvent::Down { incarnation, reason } => {
                    debug!("peer: link to {incarnation} ended: {reason}");
                }
                PeerEvent::Failed { incarnation, address, reason } => {
                    debug!("peer: cannot connect to {incarnation} at {address}: {reason}");
                }
                PeerEvent::Message { from, subsystem, body } => {
                    self.dispatch(from, subsystem, &body).await
                }
            }
        }
    }

    async fn dispatch(&self, from: Incarnation, subsystem: Subsystem, body: &[u8]) {
        match subsystem {
            Subsystem::Route => match wire::decode(body) {
                Ok(message) => {
                    self.requests.event(route::Event::Peer { from, message }).await;
                }
                Err(error) => debug!("peer: cannot decode a message from {from}: {error}"),
            },
            Subsystem::Fleet => match wire::decode(body) {
                Ok(message) => {
                    self.members.event(fleet::Event::Message { from, message }).await;
                }
                Err(error) => debug!("peer: cannot decode a message from {from}: {error}"),
            },
            Subsystem::Gang => {
                let directory = self.directory.clone();
                self.relay.handle_message(from, body, |question| directory.respond(question));
            }
            Subsystem::Burn => {}
        }
    }
}

async fn report_closed_connections(
    mut inbox: mpsc::Receiver<BackendId>,
    requests: requests::Handle,
) {
    while let Some(backend) = inbox.recv().await {
        let sign = route::HealthSignal::Closed;
        requests.event(route::Event::BackendSignal { backend, sign }).await;
    }
}

async fn poll_vms(url: String, members: members::Handle) {
    let Ok(uri) = url.parse::<Uri>() else {
        warn!("vms: invalid URL {url:?} of the list of VMs");
        return;
    };
    let rest = Rest::new(net::rest::Config::default());
    let mut tag = None;
    loop {
        match rest.get_json_if_changed::<border::VmList>(&uri, tag.as_ref()).await {
            Ok(None) => {}
            Ok(Some(list)) => {
                tag = list.tag;
                let vms = Box::new(vms::group_by_role(list.value));
                members.send(members::Command::Vms(vms)).await;
            }
            Err(error) => debug!("vms: cannot read the list of VMs: {error}"),
        }
        tokio::time::sleep(VMS_POLL_INTERVAL).await;
    }
}
