//! Configuration of services and client accounts, in the form that the router uses.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use model::AccountId;
use model::Class;
use model::Revision;
use model::ServiceId;

/// A set of backend servers that share their slots among services.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolId(Arc<str>);

impl PoolId {
    /// Creates an id from the name of the pool.
    pub fn new(name: &str) -> PoolId {
        PoolId(Arc::from(name))
    }

    /// The name of the pool.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for PoolId {
    fn from(name: &str) -> PoolId {
        PoolId::new(name)
    }
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// The router configuration of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountId, AccountPolicy>,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Pool of backend servers that run it.
    pub pool: PoolId,
    /// Latency class.
    pub class: Class,
    /// Whether running a request more than once is harmless.
    pub idempotent: bool,
    /// Timeout of one attempt.
    pub timeout: Duration,
    /// Whether a slow attempt is hedged with a second one in parallel; needs `idempotent`.
    pub hedge: bool,
    /// Whether status 503 of its backend servers guarantees that the request did not run.
    pub safe_503: bool,
    /// Services that must be available for it to run.
    pub depends: Vec<ServiceId>,
}

impl ServicePolicy {
    /// A service of `class` in `pool` whose requests must run at most once.
    pub fn new(pool: PoolId, class: Class) -> ServicePolicy {
        ServicePolicy {
            pool,
            class,
            idempotent: false,
            timeout: Duration::from_secs(30),
            hedge: false,
            safe_503: false,
            depends: Vec::new(),
        }
    }
}

/// Limits of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPolicy {
    /// Weight of its share of the slots when they are saturated.
    pub weight: u32,
    /// Maximum rate in requests per second; `None` is unlimited.
    pub rate: Option<u32>,
    /// Burst of requests allowed above the rate.
    pub burst: u32,
    /// Maximum number of requests queued at one entry VM.
    pub queue_limit: u32,
}

impl Default for AccountPolicy {
    fn default() -> AccountPolicy {
        AccountPolicy { weight: 1, rate: None, burst: 100, queue_limit: 10_000 }
    }
}
