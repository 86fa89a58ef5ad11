//! The fleet part of the node: feeds the fleet machine and carries out what it decides.
//!
//! One task owns the machine. It keeps the member key and the shard keys in the store, exchanges
//! heartbeats over the peer channel, and publishes a [`View`] that the other parts read.

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
use wire::Part;
use wire::border;

/// Commands that may wait for the fleet machine.
const COMMAND_QUEUE_LEN: usize = 4_096;
/// Deadline of a request whose service is not known.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// What the fleet part shows to the others.
#[derive(Clone, Debug)]
pub struct View {
    /// This entry VM.
    pub me: fleet::Member,
    /// Owner of each shard that has one, or the last one that it had.
    pub owners: BTreeMap<ShardId, Incarnation>,
    /// Epoch of each ownership.
    pub epochs: BTreeMap<ShardId, Epoch>,
    /// All shards.
    pub shards: Vec<ShardId>,
    /// Revision in force.
    pub revision: Revision,
    /// Whether this entry VM can vouch that no later one exists.
    pub current: bool,
    /// The configuration in force.
    pub text: Arc<Text>,
    /// Its source.
    pub source: Arc<str>,
    /// What is known of the fleet.
    pub fleet: Snapshot,
    /// Entry VMs as operators see them.
    pub members: Vec<border::MemberStatus>,
    /// Availability zone of each backend server.
    pub backend_zones: BTreeMap<BackendId, ZoneId>,
    /// What cannot be known now.
    pub unknown: Vec<border::Doubt>,
}

impl View {
    /// Time in which a request of `service` is answered unless its caller says otherwise.
    pub fn deadline(&self, service: &ServiceId) -> Duration {
        self.text.services.get(service).map_or(DEFAULT_DEADLINE, |service| service.deadline)
    }

    /// Whether a shard has an owner whose ownership has not lapsed.
    pub fn is_owned(&self, shard: &ShardId) -> bool {
        self.fleet.owners.iter().any(|owner| owner.shard == *shard && !owner.released)
    }

    /// Name of the entry VM of an incarnation.
    pub fn vm_name(&self, incarnation: Incarnation) -> String {
        let known = self.fleet.members.iter().find(|m| m.member.incarnation == incarnation);
        known.map_or_else(|| incarnation.to_string(), |m| m.member.vm.to_string())
    }
}

/// What the fleet part is asked to do.
#[derive(Debug)]
pub enum Command {
    /// Pass an event to the machine.
    Event(Event),
    /// A link to a peer opened.
    LinkOpened(Incarnation),
    /// The list of VMs.
    Vms(Box<VmInventory>),
}

/// Gives commands to the fleet part.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    /// Gives a command, waiting for room in the queue.
    pub async fn send(&self, command: Command) {
        if self.commands.send(command).await.is_err() {
            warn!("fleet: the fleet part has ended");
        }
    }

    /// Passes an event to the machine.
    pub async fn event(&self, event: Event) {
        self.send(Command::Event(event)).await;
    }
}

/// What the fleet part works with.
#[derive(Clone, Debug)]
pub struct Dependencies<S> {
    /// Time source.
    pub clock: Clock,
    /// The platform's store.
    pub store: S,
    /// Channels to other entry VMs.
    pub peers: Peers,
    /// The request part.
    pub requests: requests::Handle,
    /// The job part.
    pub jobs: jobs::Handle,
}

/// The started fleet part.
#[derive(Debug)]
pub struct StartedFleet {
    /// Gives it commands.
    pub handle: Handle,
    /// What it shows.
    pub view: watch::Receiver<Arc<View>>,
    /// Becomes true when the others hold this incarnation for gone.
    pub fenced: watch::Receiver<bool>,
}

/// Starts the task that owns the fleet machine of `me`.
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
    /// Epochs under which others own shards, as the job part was told.
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
                info!("fleet: entry VM {incarnation} takes no new work");
            }
            Action::MemberDown { incarnation, gone } => {
                let state = if gone { "gone" } else { "out of reach" };
                info!("fleet: entry VM {incarnation} is {state}");
                let event = route::Event::PeerDown { peer: incarnation, gone };
                self.deps.requests.event(event).await;
                if gone {
                    self.deps.peers.forget(incarnation);
                }
            }
            Action::Fenced => {
                warn!("fleet: the others hold this process for gone; it has to start anew");
                self.fenced.send_replace(true);
            }
        }
    }

    fn send(&self, to: Incarnation, address: &str, message: &Message) {
        if !self.deps.peers.linked(to) {
            self.connect(to, address);
            return;
        }
        match wire::encode(message) {
            // The next heartbeat makes good for a lost one.
            Ok(body) => drop(self.deps.peers.send(to, Part::Fleet, body)),
            Err(error) => warn!("fleet: message to {to} cannot be encoded: {error}"),
        }
    }

    /// Opens a link to an entry VM that is known by its address alone.
    fn meet_peer(&mut self, address: &str, message: Message) {
        match address.parse() {
            Ok(address) => self.deps.peers.meet(address),
            Err(_) => warn!("fleet: address {address:?} of an entry VM is not valid"),
        }
        self.greeting = Some(message);
    }

    /// Introduces this entry VM to one that the machine does not know.
    fn send_greeting(&self, peer: Incarnation) {
        let known = self.machine.snapshot().members;
        if known.iter().any(|m| m.member.incarnation == peer) {
            return;
        }
        if let Some(body) = self.greeting.as_ref().and_then(|message| wire::encode(message).ok()) {
            // A greeting that is lost is repeated at the next interval.
            let _ = self.deps.peers.send(peer, Part::Fleet, body);
        }
    }

    fn connect(&self, to: Incarnation, address: &str) {
        match address.parse::<SocketAddr>() {
            Ok(address) => self.deps.peers.connect(to, address),
            Err(_) => warn!("fleet: address {address:?} of entry VM {to} is not valid"),
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
                // Only another program can have stored a text that does not parse here.
                for fault in &faults {
                    warn!("text: revision {revision} is not understood: {fault}");
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
        info!("fleet: entry VM {} is within reach as {}", member.vm, member.incarnation);
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
        // A shard whose last owner lapsed is still best known to that one.
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
    /// Tells the job part which shards others own now.
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
            why: "it is out of reach".to_owned(),
        });
    }
    if !fleet.store.healthy {
        unknown.push(border::Doubt {
            subject: "what changed in the store".to_owned(),
            why: format!("it has not answered for {} s", fleet.store.since.as_secs()),
        });
    }
    unknown
}
