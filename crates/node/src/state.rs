//! What the parts of an entry VM share.

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
use crate::metrics::Metrics;
use batch::Policy;
use model::Time;
use net::Caller;
use platform::store::Store;
use text::HostSettings;

/// Key of the ownership, which hangs on the owner's lease.
pub(crate) const OWNER_KEY: &str = "owner";
/// Prefix of the configuration and the ownership, watched together to spare calls.
pub(crate) const WATCHED_PREFIX: &str = "o";
/// Key that every commit of an owner writes, so that a late commit cannot pass a newer one.
pub(crate) const SEQUENCE_KEY: &str = "sequence";
/// Prefix of the entry VMs' addresses, each under a lease of its own.
pub(crate) const PEER_PREFIX: &str = "p/";
/// Prefix of submitted jobs.
pub(crate) const JOB_PREFIX: &str = "j/";
/// Prefix of jobs' states.
pub(crate) const RECORD_PREFIX: &str = "r/";

/// The configuration in force, as last confirmed.
#[derive(Clone, Debug)]
pub struct ActiveConfiguration {
    /// The configuration.
    pub policy: Arc<Policy>,
    /// Store revision of its entry.
    pub revision: u64,
}

/// What the parts of an entry VM share; all of it lives on one thread.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: HostSettings,
    /// Time source.
    pub clock: Clock,
    /// The platform's store.
    pub store: Store<Metrics>,
    /// The configuration; none before the first one was read.
    pub configuration: RefCell<Option<ActiveConfiguration>>,
    /// When the store last confirmed that the configuration is the newest.
    pub confirmed_at: Cell<Time>,
    /// Store revision up to which changes of the configuration and the ownership are known.
    pub watched_revision: Cell<Option<u64>>,
    /// Whether the VM takes new connections.
    pub draining: Cell<bool>,
    /// Whether the ownership is vacant, as far as known here.
    pub vacant: watch::Sender<bool>,
    /// Tells the owner about a new configuration.
    pub configuration_changed: watch::Sender<u64>,
    /// Requests in progress.
    pub open_requests: Cell<usize>,
    /// Since when the store has not answered this VM, if so.
    pub store_lost: Cell<Option<Time>>,
    /// Asks for a look at the store at once.
    pub poll_store: Notify,
    /// Other entry VMs.
    pub peers: RefCell<Vec<SocketAddr>>,
    /// Peers that could not help, with the time until which they are not asked.
    pub failed_peers: RefCell<BTreeMap<SocketAddr, Time>>,
    /// Calls to peers.
    pub caller: Caller,
    /// What is counted and measured.
    pub metrics: Metrics,
}

impl State {
    /// The state of a process that starts.
    pub fn new(
        settings: HostSettings,
        clock: Clock,
        store: Store<Metrics>,
        caller: Caller,
        metrics: Metrics,
    ) -> Rc<State> {
        Rc::new(State {
            settings,
            clock,
            store,
            configuration: RefCell::new(None),
            confirmed_at: Cell::new(Time::ZERO),
            watched_revision: Cell::new(None),
            draining: Cell::new(false),
            vacant: watch::Sender::new(false),
            configuration_changed: watch::Sender::new(0),
            open_requests: Cell::new(0),
            store_lost: Cell::new(None),
            poll_store: Notify::new(),
            peers: RefCell::new(Vec::new()),
            failed_peers: RefCell::new(BTreeMap::new()),
            caller,
            metrics,
        })
    }

    /// The configuration, whatever its age.
    pub fn active_configuration(&self) -> Option<ActiveConfiguration> {
        self.configuration.borrow().clone()
    }

    /// Notes whether the store answers this VM.
    pub fn set_store_reachable(&self, reachable: bool) {
        match (reachable, self.store_lost.get()) {
            (true, Some(since)) => {
                let span = self.clock.now().since(since).as_millis() as u64;
                info!(span_ms = span; "store: regained");
                self.store_lost.set(None);
            }
            (false, None) => {
                info!("store: lost");
                self.store_lost.set(Some(self.clock.now()));
                self.poll_store.notify_one();
            }
            _ => {}
        }
    }

    /// Time since the store last confirmed the configuration.
    pub fn configuration_age(&self) -> Duration {
        self.clock.now().since(self.confirmed_at.get())
    }
}
