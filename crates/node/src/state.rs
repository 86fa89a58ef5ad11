//! What the parts of an entry VM share.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::Clock;
use batch::Policy;
use model::Time;
use platform::store::Store;
use text::HostSettings;

/// Key of the ownership, which hangs on the owner's lease.
pub(crate) const OWNER_KEY: &str = "owner";
/// Prefix of the configuration and the ownership, watched together to spare calls.
pub(crate) const HEAD_PREFIX: &str = "o";
/// Key that every commit of an owner writes, so that a late commit cannot pass a newer one.
pub(crate) const SEQUENCE_KEY: &str = "sequence";
/// Prefix of submitted jobs.
pub(crate) const JOB_PREFIX: &str = "j/";
/// Prefix of jobs' states.
pub(crate) const RECORD_PREFIX: &str = "r/";

/// The configuration in force, as last confirmed.
#[derive(Clone, Debug)]
pub struct Confirmed {
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
    pub store: Store,
    /// The configuration; none before the first one was read.
    pub configuration: RefCell<Option<Confirmed>>,
    /// When the store last confirmed that the configuration is the newest.
    pub confirmed: Cell<Time>,
    /// Whether the VM takes new connections.
    pub draining: Cell<bool>,
    /// Whether the ownership is vacant, as far as known here.
    pub vacant: watch::Sender<bool>,
    /// Tells the owner about a new configuration.
    pub changed: watch::Sender<u64>,
    /// Requests in progress.
    pub open: Cell<usize>,
}

impl State {
    /// The state of a process that starts.
    pub fn new(settings: HostSettings, clock: Clock, store: Store) -> Rc<State> {
        Rc::new(State {
            settings,
            clock,
            store,
            configuration: RefCell::new(None),
            confirmed: Cell::new(Time::ZERO),
            draining: Cell::new(false),
            vacant: watch::Sender::new(false),
            changed: watch::Sender::new(0),
            open: Cell::new(0),
        })
    }

    /// The configuration, whatever its age.
    pub fn policy(&self) -> Option<Confirmed> {
        self.configuration.borrow().clone()
    }

    /// Time since the store last confirmed the configuration.
    pub fn age(&self) -> Duration {
        self.clock.now().since(self.confirmed.get())
    }
}
