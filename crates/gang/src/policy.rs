//! What the configuration says about client accounts and services.

use std::collections::BTreeMap;
use std::time::Duration;

use model::AccountId;
use model::GangShape;
use model::ServiceId;

/// A guaranteed shape of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guaranteed {
    /// The shape, held as one block of adjacent accelerators.
    pub shape: GangShape,
    /// How many such blocks.
    pub count: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountPolicy {
    /// Weight of its share against other accounts.
    pub weight: u32,
    /// Most accelerators at once, over all shards.
    pub quota: u32,
    /// Guaranteed shapes in this shard.
    pub guaranteed: Vec<Guaranteed>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Run time assumed until enough runs have been seen.
    pub expected: Duration,
}

/// What the configuration says about client accounts and services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, AccountPolicy>,
    /// Services.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
}
