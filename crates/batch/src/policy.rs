//! The part of the operators' configuration that scheduling needs.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::job::Job;

/// Scheduling configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version of the configuration; increases with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Maximum body size of a call, in bytes.
    pub body_bytes: usize,
}

/// A queue of jobs. How callers reach it is not part of its stored form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host name by which callers reach it.
    #[serde(skip)]
    pub host: String,
    /// Path prefix by which callers reach it.
    #[serde(skip)]
    pub prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Number of failed runs after which a task, and with it its job, has failed.
    pub attempts: u32,
    /// Factor of the critical path in the latency objective.
    pub stretch: f64,
    /// Fixed part of the latency objective, in ms.
    pub objective_ms: u64,
    /// Whether calls are accepted without a key.
    #[serde(skip)]
    pub public: bool,
    /// Whether its steps may run only on workers that the advice service allows.
    pub advised: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Whether its workers refuse starts that exceed their capacity.
    pub guarded: bool,
    /// Whether its VMs are switched off.
    pub spare: bool,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Keys that authenticate its callers.
    pub keys: Vec<String>,
    /// Number of accelerators guaranteed to its jobs of priority zero.
    pub guaranteed: u64,
}

impl Policy {
    /// Names of the services, including those that only a queue names.
    pub fn service_names(&self) -> impl Iterator<Item = &str> {
        let of_queues = self.queues.values().map(|queue| queue.service.as_str());
        self.services.keys().map(String::as_str).chain(of_queues)
    }

    /// Finds the queue for a call to `host` and `path`; the longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<(&str, &Queue)> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|(_, queue)| queue.prefix.len())
            .map(|(name, queue)| (name.as_str(), queue))
    }

    /// The queue of a job, as defined when the job was admitted if it has been removed since.
    pub(crate) fn queue<'p>(&'p self, job: &'p Job) -> Option<&'p Queue> {
        self.queues.get(&job.queue).or(job.admitted.as_ref())
    }

    /// Finds the client account that `key` belongs to.
    pub fn holder(&self, key: &str) -> Option<&str> {
        self.accounts
            .iter()
            .find(|(_, account)| account.keys.iter().any(|known| known == key))
            .map(|(name, _)| name.as_str())
    }
}
