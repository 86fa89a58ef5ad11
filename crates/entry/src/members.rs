//! The fleet task: owns the fleet state machine, feeds it events and performs its actions.
//!
//! It maintains the member and shard keys in the store, exchanges heartbeats with the other entry
//! VMs, and publishes a [`View`] for the other tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::jobs;
use crate::keys;
use crate::keys::FleetStore;
use crate::policies;
use crate::requests;
use crate::requests::sleep_until;
use crate::vms::VmInventory;
use fleet::Action;
use fleet::Event;
use fleet::Fleet;
use fleet::Message;
use fleet::Snapshot;
use fleet::StoreOutcome;
use fleet::StoreRequest;
use model::BackendId;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ServiceId;
use model::ShardId;
use model::ZoneId;
use net::Peers;
use store::Store;
use text::Text;
use wire::Subsystem;
use wire::border;

/// Capacity of the command queue.
const COMMAND_QUEUE_LEN: usize = 4_096;
/// Deadline of a request to an unknown service.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// State of the fleet and the configuration, as published by the fleet task.
#[derive(Clone, Debug)]
pub struct View {
    /// This entry VM.
    pub me: fleet::Member,
    /// Last known owner of each shard, also if its ownership has lapsed.
    pub owners: BTreeMap<ShardId, Incarnation>,
    /// Epoch of the last known ownership of each shard.
    pub epochs: BTreeMap<ShardId, Epoch>,
    /// All shards.
    pub shards: Vec<ShardId>,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether the store recently confirmed that no later revision exists.
    pub current: bool,
    /// The configuration in force.
    pub text: Arc<Text>,
    /// Source text of the configuration in force.
    pub source: Arc<str>,
    /// Snapshot of the fleet state machine.
    pub fleet: Snapshot,
    /// Entry VMs, in the form of the status report.
    pub members: Vec<border::MemberStatus>,
    /// Availability zone of each backend server.
    pub backend_zones: BTreeMap<BackendId, ZoneId>,
    /// Facts that cannot be determined now, with the reason.
    pub unknown: Vec<border::Doubt>,
}

impl View {
    /// Deadline of a request to `service` whose caller names none.
    pub fn deadline(&self, service: &ServiceId) -> Duration {
        self.text.services.get(service).map_or(DEFAULT_DEADLINE, |service| service.deadline)
    }

    /// Whether a shard has an owner whose ownership has not lapsed.
    pub fn is_owned(&self, shard: &ShardId) -> bool {
        self.fleet.owners.iter().any(|owner| owner.shard == *shard && !owner.released)
    }

    /// Name of the entry VM with this incarnation, or the incarnation if it is not known.
    pub fn vm_name(&self, incarnation: Incarnation) -> String {
        let known = self.fleet.members.iter().find(|m| m.member.incarnation == incarnation);
        known.map_or_else(|| incarnation.to_string(), |m| m.member.vm.to_string())
    }
}

/// Command to the fleet task.
#[derive(Debug)]
pub enum Command {
    /// Pass an event to the state machine.
    Event(Event),
    /// A link to a peer was opened.
    LinkOpened(Incarnation),
    /// Replace the list of VMs.
    Vms(Box<VmInventory>),
}

/// Handle for sending commands to the fleet task.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    /// Sends a command; waits while the queue is full.
    pub async fn send(&self, command: Command) {
        if self.commands.send(command).await.is_err() {
            warn!("fleet: the fleet task has stopped; command dropped");
        }
    }

    /// Sends an event to the state machine; waits while the queue is full.
    pub async fn event(&self, event: Event) {
        self.send(Command::Event(event)).await;
    }
}

/// Dependencies of the fleet task.
#[derive(Clone, Debug)]
pub struct Dependencies<S> {
    /// Time source.
    pub clock: Clock,
    /// The platform's store.
    pub store: S,
    /// Links to the other entry VMs.
    pub peers: Peers,
    /// Handle of the request task.
    pub requests: requests::Handle,
    /// Handle of the job task.
    pub jobs: jobs::Handle,
}

/// Channels of the started fleet task.
#[derive(Debug)]
pub struct StartedFleet {
    /// Handle for sending commands.
    pub handle: Handle,
    /// Published view.
    pub view: watch::Receiver<Arc<View>>,
    /// Becomes true when the other entry VMs have declared this incarnation gone.
    pub fenced: watch::Receiver<bool>,
}

/// Starts the fleet task of member `me`.
pub fn start<S: Store>(me: fleet::Member, seed: u64, deps: Dependencies<S>) -> StartedFleet {
    let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_LEN);
    let machine = Fleet::new(me.clone(), seed);
    let text = Arc::new(Text::default());
    let initial = View {
        me,
        owners: BTreeMap::new(),
        epochs: BTreeMap::new(),
        shards: Vec::new(),
        revision: Revision(0),
        current: false,
        text: text.clone(),
        source: Arc::from(""),
        fleet: machine.snapshot(),
        members: Vec::new(),
        backend_zones: BTreeMap::new(),
        unknown: Vec::new(),
    };
    let (view, seen) = watch::channel(Arc::new(initial));
    let (fenced_sender, fenced) = watch::channel(false);
    let keys = FleetStore::new(deps.store.clone(), machine.me().clone());
    let task = FleetTask {
        machine,
        deps,
        keys: Arc::new(keys),
        commands: commands.downgrade(),
        watch_task: None,
        greeting: None,
        text,
        source: Arc::from(""),
        vms: VmInventory::default(),
        view,
        fenced: fenced_sender,
        reported_owners: BTreeMap::new(),
    };
    tokio::spawn(task.run(inbox));
    StartedFleet { handle: Handle { commands }, view: seen, fenced }
}

struct FleetTask<S> {
    machine: Fleet,
    deps: Dependencies<S>,
    keys: Arc<FleetStore<S>>,
    commands: mpsc::WeakSender<Command>,
    watch_task: Option<JoinHandle<()>>,
    greeting: Option<Message>,
    text: Arc<Text>,
    source: Arc<str>,
    vms: VmInventory,
    view: watch::Sender<Arc<View>>,
    fenced: watch::Sender<bool>,
    /// Epochs of the owners that have been reported to the job task.
    reported_owners: BTreeMap<ShardId, Epoch>,
}

impl<S: Store> FleetTask<S> {
    async fn run(mut self, mut inbox: mpsc::Receiver<Command>) {
        loop {
            let wake = self.machine.next_wake().and_then(|time| self.deps.clock.instant(time));
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => break,
                },
                () = sleep_until(wake) => self.handle_event(Event::Tick).await,
            }
            self.publish().await;
        }
        if let Some(task) = self.watch_task.take() {
            task.abort();
        }
    }

    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle_event(event).await,
            Command::LinkOpened(peer) => self.send_greeting(peer),
            Command::Vms(vms) => self.set_vms(*vms).await,
        }
    }

    async fn set_vms(&mut self, vms: VmInventory) {
        if vms == self.vms {
            return;
        }
        let capacity_changed = vms.capacity() != self.vms.capacity();
        self.vms = vms;
        self.handle_event(Event::VmList(self.vms.entry_vms())).await;
        self.handle_event(Event::Shards(self.vms.shards())).await;
        let backends = requests::Command::Backends {
            list: self.vms.backends.clone(),
            addresses: self.vms.backend_addresses.clone(),
        };
        self.deps.requests.send(backends).await;
        let workers = jobs::Command::Workers {
            list: self.vms.workers.clone(),
            addresses: self.vms.worker_addresses.clone(),
        };
        self.deps.jobs.send(workers).await;
        if capacity_changed {
            self.send_job_policies().await;
        }
    }

    async fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.machine.handle(self.deps.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action).await;
        }
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, address, message } => self.send(to, &address, &message),
            Action::Greet { address, message } => self.meet_peer(&address, message),
            Action::Reconnect { to, address } => {
                self.deps.peers.forget(to);
                self.connect(to, &address);
            }
            Action::Store { call, request } => self.call_store(call, request),
            Action::Watch(on) => self.set_watching(on),
            Action::Adopt { revision, text } => self.apply_configuration(revision, text).await,
            Action::Own { shard, epoch } => {
                self.deps.jobs.send(jobs::Command::Own { shard, epoch }).await;
            }
            Action::Disown { shard, epoch } => {
                info!("fleet: ownership of shard {shard} under epoch {epoch} has ended");
            }
            Action::MemberUp(member) => self.member_up(member).await,
            Action::MemberLeaving(incarnation) => {
                info!("fleet: entry VM {incarnation} is draining");
            }
            Action::MemberDown { incarnation, gone } => {
                let state = if gone { "gone" } else { "not reachable" };
                info!("fleet: entry VM {incarnation} is {state}");
                let event = route::Event::PeerDown { peer: incarnation, gone };
                self.deps.requests.event(event).await;
                if gone {
                    self.deps.peers.forget(incarnation);
                }
            }
            Action::Fenced => {
                warn!("fleet: the other entry VMs declared this process gone; restart it");
                self.fenced.send_replace(true);
            }
        }
    }

    fn send(&self, to: Incarnation, address: &str, message: &Message) {
        if !self.deps.peers.is_linked(to) {
            self.connect(to, address);
            return;
        }
        match wire::encode(message) {
            // A lost heartbeat is compensated by the next one.
            Ok(body) => drop(self.deps.peers.send(to, Subsystem::Fleet, body)),
            Err(error) => warn!("fleet: cannot encode a message to {to}: {error}"),
        }
    }

    /// Opens a link to an entry VM of which only the address is known.
    fn meet_peer(&mut self, address: &str, message: Message) {
        match address.parse() {
            Ok(address) => self.deps.peers.dial_once(address),
            Err(_) => warn!("fleet: invalid address {address:?} of an entry VM"),
        }
        self.greeting = Some(message);
    }

    /// Sends a greeting to a peer that the state machine does not know yet.
    fn send_greeting(&self, peer: Incarnation) {
        let known = self.machine.snapshot().members;
        if known.iter().any(|m| m.member.incarnation == peer) {
            return;
        }
        if let Some(body) = self.greeting.as_ref().and_then(|message| wire::encode(message).ok()) {
            // A lost greeting is repeated at the next interval.
            let _ = self.deps.peers.send(peer, Subsystem::Fleet, body);
        }
    }

    fn connect(&self, to: Incarnation, address: &str) {
        match address.parse::<SocketAddr>() {
            Ok(address) => self.deps.peers.connect(to, address),
            Err(_) => warn!("fleet: invalid address {address:?} of entry VM {to}"),
        }
    }

    fn call_store(&self, call: u64, request: StoreRequest) {
        let keys = self.keys.clone();
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let outcome: StoreOutcome = keys.call(request).await;
            if let Some(commands) = commands.upgrade() {
                let event = Event::Store { call, outcome };
                let _ = commands.send(Command::Event(event)).await;
            }
        });
    }

    fn set_watching(&mut self, enabled: bool) {
        if let Some(task) = self.watch_task.take() {
            task.abort();
        }
        if enabled {
            let store = self.deps.store.clone();
            let commands = self.commands.clone();
            self.watch_task = Some(tokio::spawn(keys::watch(store, commands)));
        }
    }

    async fn apply_configuration(&mut self, revision: Revision, source: Arc<str>) {
        match text::parse("text", &source) {
            Ok(text) => self.text = Arc::new(text),
            Err(faults) => {
                // Entry VMs check a configuration before they store it, so this one was stored by a
                // different program.
                for fault in &faults {
                    warn!("text: cannot parse revision {revision}: {fault}");
                }
                return;
            }
        }
        info!("text: revision {revision} is in force");
        self.source = source;
        let policy = Arc::new(policies::request_policy(&self.text, revision));
        self.deps.requests.event(route::Event::Policy { policy }).await;
        self.send_job_policies().await;
    }

    async fn send_job_policies(&self) {
        let policies = policies::job_policies(&self.text, &self.vms.capacity());
        self.deps.jobs.send(jobs::Command::Policy { policies }).await;
    }

    async fn member_up(&self, member: fleet::Member) {
        info!("fleet: entry VM {} is reachable, incarnation {}", member.vm, member.incarnation);
        let peer = route::Peer {
            incarnation: member.incarnation,
            vm: member.vm,
            zone: member.zone,
            region: member.region,
        };
        self.deps.requests.event(route::Event::PeerUp { peer }).await;
        self.connect(member.incarnation, &member.address);
    }

    async fn publish(&mut self) {
        let fleet = self.machine.snapshot();
        self.report_new_owners(&fleet).await;
        // A lapsed owner is kept: it still knows its shard better than any other entry VM.
        let owners = fleet.owners.iter();
        let view = View {
            me: self.machine.me().clone(),
            owners: owners.clone().map(|owner| (owner.shard.clone(), owner.owner)).collect(),
            epochs: owners.map(|owner| (owner.shard.clone(), owner.epoch)).collect(),
            shards: self.vms.workers.keys().cloned().collect(),
            revision: fleet.revision,
            current: fleet.current,
            text: self.text.clone(),
            source: self.source.clone(),
            members: member_statuses(&fleet),
            backend_zones: self.vms.backend_zones(),
            unknown: unknown_facts(&fleet),
            fleet,
        };
        self.view.send_replace(Arc::new(view));
    }
}

impl<S: Store> FleetTask<S> {
    /// Reports shards with a new owner elsewhere to the job task.
    async fn report_new_owners(&mut self, fleet: &Snapshot) {
        let me = self.machine.me().incarnation;
        for owner in fleet.owners.iter().filter(|owner| owner.owner != me) {
            let known = self.reported_owners.get(&owner.shard);
            if known.is_some_and(|epoch| *epoch >= owner.epoch) {
                continue;
            }
            self.reported_owners.insert(owner.shard.clone(), owner.epoch);
            let (shard, epoch) = (owner.shard.clone(), owner.epoch);
            self.deps.jobs.send(jobs::Command::Superseded { shard, epoch }).await;
        }
    }
}

fn member_statuses(fleet: &Snapshot) -> Vec<border::MemberStatus> {
    let status = |m: &fleet::MemberView| border::MemberStatus {
        vm: m.member.vm.to_string(),
        incarnation: m.member.incarnation.to_string(),
        zone: m.member.zone.to_string(),
        state: m.state.to_string(),
        revision: (m.revision.0 > 0).then_some(m.revision.0),
    };
    fleet.members.iter().map(status).collect()
}

fn unknown_facts(fleet: &Snapshot) -> Vec<border::Doubt> {
    let mut unknown = Vec::new();
    if !fleet.current {
        unknown.push(border::Doubt {
            subject: "whether the configuration in force is the latest".to_owned(),
            why: match fleet.checked {
                Some(age) => format!("the store confirmed it {} s ago", age.as_secs()),
                None => "the store has not confirmed it to this entry VM".to_owned(),
            },
        });
    }
    for member in fleet.members.iter().filter(|m| m.state == fleet::MemberState::Silent) {
        unknown.push(border::Doubt {
            subject: format!("whether entry VM {} still runs", member.member.vm),
            why: "it is not reachable".to_owned(),
        });
    }
    if !fleet.store.healthy {
        unknown.push(border::Doubt {
            subject: "recent changes in the store".to_owned(),
            why: format!("it has not answered for {} s", fleet.store.since.as_secs()),
        });
    }
    unknown
}
