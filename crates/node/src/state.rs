//! State shared by the parts of an entry VM, and the layout of its keys in the store.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::evacuation::Evacuations;
use crate::freshness::PassedRequests;
use crate::metrics::Metrics;
use crate::outage::Outage;
use batch::Policy;
use intake::Intake;
use intake::Limits;
use model::Time;
use net::Caller;
use platform::configuration::ClientLimits;
use platform::store::Store;
use text::HostSettings;

/// Key of the ownership, attached to the owner's lease; its value is the name of the owner.
pub(crate) const OWNER_KEY: &str = "owner";
/// Common prefix of the keys of the configuration, the evacuations and the ownership, so that one
/// watch covers all of them.
pub(crate) const WATCHED_PREFIX: &str = "o";
/// Key that every commit of an owner writes, so that a delayed commit cannot overwrite a newer one.
pub(crate) const SEQUENCE_KEY: &str = "sequence";
/// Key prefix of the entry VMs' addresses, each attached to a lease of its own.
pub(crate) const PEER_PREFIX: &str = "p/";
/// Key prefix of submitted jobs.
pub(crate) const JOB_PREFIX: &str = "j/";
/// Key prefix of the owner's records of jobs.
pub(crate) const RECORD_PREFIX: &str = "r/";

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct ActiveConfiguration {
    /// The configuration.
    pub policy: Arc<Policy>,
    /// Store revision of the configuration key.
    pub revision: u64,
}

/// Shared state of an entry VM, used on one thread only.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: HostSettings,
    /// Clock of the process.
    pub clock: Clock,
    /// Client of the platform's store.
    pub store: Store<Metrics>,
    /// The configuration in force; `None` until the first one has been read.
    pub configuration: RefCell<Option<ActiveConfiguration>>,
    /// Time at which the store last confirmed that the configuration is the latest.
    pub confirmed_at: Cell<Time>,
    /// Store revision up to which changes of the configuration and the ownership are known; `None`
    /// requires reading them again.
    pub watched_revision: Cell<Option<u64>>,
    /// Evacuated availability zones as far as this VM knows.
    pub evacuations: RefCell<Evacuations>,
    /// Whether the VM is draining before its process stops.
    pub draining: Cell<bool>,
    /// Whether no entry VM owns the jobs, as far as this VM knows.
    pub vacant: watch::Sender<bool>,
    /// Notifies the owner of a new configuration by its store revision.
    pub configuration_changed: watch::Sender<u64>,
    /// Number of requests in progress.
    pub open_requests: Cell<usize>,
    /// Time since which the store does not answer this VM; `None` while it answers.
    pub store_lost: Cell<Option<Time>>,
    /// Time of the last answer of peers that they have lost the store too.
    pub peers_lost: Cell<Option<Time>>,
    /// Wakes the requests that are held until the store returns.
    pub store_returned: Notify,
    /// Interrupts the watch to poll the store at once.
    pub poll_store: Notify,
    /// Addresses of the other entry VMs.
    pub peers: RefCell<Vec<SocketAddr>>,
    /// Requests that were passed to peers.
    pub passed: Cell<PassedRequests>,
    /// Peers that failed to serve a forwarded request, with the time until which they are skipped.
    pub failed_peers: RefCell<BTreeMap<SocketAddr, Time>>,
    /// HTTP client for calls to peers.
    pub caller: Caller,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Connections of callers, peers, health checks and scrapes, and what they hold.
    pub intake: Intake,
    /// The limits on clients that follow from the settings.
    pub base_limits: RefCell<Limits>,
    /// The operators' limits on clients in force.
    pub client_limits: Cell<ClientLimits>,
}

impl State {
    /// Creates the state of a starting process.
    pub fn new(
        settings: HostSettings,
        clock: Clock,
        store: Store<Metrics>,
        caller: Caller,
        metrics: Metrics,
        intake: Intake,
    ) -> Rc<State> {
        Rc::new(State {
            settings,
            clock,
            store,
            configuration: RefCell::new(None),
            confirmed_at: Cell::new(Time::ZERO),
            watched_revision: Cell::new(None),
            evacuations: RefCell::new(Evacuations::default()),
            draining: Cell::new(false),
            vacant: watch::Sender::new(false),
            configuration_changed: watch::Sender::new(0),
            open_requests: Cell::new(0),
            store_lost: Cell::new(None),
            peers_lost: Cell::new(None),
            store_returned: Notify::new(),
            poll_store: Notify::new(),
            peers: RefCell::new(Vec::new()),
            passed: Cell::new(PassedRequests::default()),
            failed_peers: RefCell::new(BTreeMap::new()),
            caller,
            metrics,
            base_limits: RefCell::new(intake.limits()),
            intake,
            client_limits: Cell::new(ClientLimits::default()),
        })
    }

    /// Returns the configuration in force, even if its confirmation has expired.
    pub fn active_configuration(&self) -> Option<ActiveConfiguration> {
        self.configuration.borrow().clone()
    }

    /// Records whether the store answers this VM, and logs each change.
    pub fn set_store_reachable(&self, reachable: bool) {
        match (reachable, self.store_lost.get()) {
            (true, Some(since)) => {
                let span = self.clock.now().since(since).as_millis() as u64;
                info!(span_ms = span; "store: regained");
                self.store_lost.set(None);
                self.peers_lost.set(None);
                self.store_returned.notify_waiters();
            }
            (false, None) => {
                info!("store: lost");
                self.store_lost.set(Some(self.clock.now()));
                self.poll_store.notify_one();
            }
            _ => {}
        }
    }

    /// Returns what this VM knows about the store.
    pub fn outage(&self) -> Outage {
        Outage { lost: self.store_lost.get(), peers_lost: self.peers_lost.get() }
    }

    /// Returns the time since the store last confirmed the configuration.
    pub fn configuration_age(&self) -> Duration {
        self.clock.now().since(self.confirmed_at.get())
    }
}
