//! Configuration of client accounts and services.

use std::collections::BTreeMap;
use std::time::Duration;

use model::AccountId;
use model::GangShape;
use model::ServiceId;

/// Guaranteed capacity of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guaranteed {
    /// Shape of one block of adjacent accelerators.
    pub shape: GangShape,
    /// Number of such blocks.
    pub count: u32,
}

/// Configuration of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountPolicy {
    /// Weight in the fair share among accounts.
    pub weight: u32,
    /// Maximum number of accelerators in use at once, over all shards.
    pub quota: u32,
    /// Guaranteed blocks in this shard.
    pub guaranteed: Vec<Guaranteed>,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Run time assumed for jobs without a declared one until enough runs were observed.
    pub expected: Duration,
}

/// Configuration of client accounts and services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Policies by client account.
    pub accounts: BTreeMap<AccountId, AccountPolicy>,
    /// Policies by service.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
}
