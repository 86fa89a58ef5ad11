//! The operators' configuration, as decisions need it.

use std::collections::BTreeMap;

/// What the operators' configuration says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version of the configuration; rises with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Longest body of a call, in bytes.
    pub body_bytes: usize,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Host name by which callers reach it.
    pub host: String,
    /// Path prefix by which callers reach it.
    pub prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// Urgency; zero comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub attempts: u32,
    /// Longest chain of work times this is the latency objective's first part.
    pub stretch: f64,
    /// The latency objective's second part, in ms.
    pub objective_ms: u64,
    /// Whether calls need no key.
    pub public: bool,
    /// Whether only workers named by the advice service may run its steps.
    pub advised: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Whether its workers refuse what exceeds their capacity.
    pub guarded: bool,
    /// Whether its VMs are off.
    pub spare: bool,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Keys by which its callers are known.
    pub keys: Vec<String>,
    /// Accelerators that are its own for jobs of priority zero.
    pub guaranteed: u64,
}

impl Policy {
    /// The queue that a call to `host` and `path` means: that of the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<(&str, &Queue)> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|(_, queue)| queue.prefix.len())
            .map(|(name, queue)| (name.as_str(), queue))
    }

    /// The client account that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&str> {
        self.accounts
            .iter()
            .find(|(_, account)| account.keys.iter().any(|known| known == key))
            .map(|(name, _)| name.as_str())
    }
}
