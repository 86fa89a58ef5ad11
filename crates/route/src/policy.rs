//! What the operators' text says about services and client accounts, as decisions need it.

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
    /// Makes an id from its name.
    pub fn new(name: &str) -> PoolId {
        PoolId(Arc::from(name))
    }

    /// The name.
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

/// Services and client accounts of one revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Revision that this was read from.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountId, AccountPolicy>,
}

/// How requests of one service are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Backend servers that run it.
    pub pool: PoolId,
    /// Latency class.
    pub class: Class,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Longest run of one attempt.
    pub timeout: Duration,
    /// Whether a slow attempt gets a second one beside it; needs `idempotent`.
    pub hedge: bool,
    /// Whether status 503 of its backend servers guarantees that the request did not run.
    pub safe_503: bool,
    /// Services without which it cannot run.
    pub depends: Vec<ServiceId>,
}

impl ServicePolicy {
    /// A service of `class` in `pool` that must run at most once.
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

/// What a client account may use.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPolicy {
    /// Share at saturation, relative to the other client accounts.
    pub weight: u32,
    /// Requests per second, or unlimited.
    pub rate: Option<u32>,
    /// Requests that may come at once above the rate.
    pub burst: u32,
    /// Requests that may wait at one entry VM.
    pub queue_limit: u32,
}

impl Default for AccountPolicy {
    fn default() -> AccountPolicy {
        AccountPolicy { weight: 1, rate: None, burst: 100, queue_limit: 10_000 }
    }
}
