//! Configuration, zones and backend servers of the simulation.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::AccountId;
use model::Class;
use model::RegionId;
use model::Revision;
use model::ServiceId;
use model::ZoneId;
use route::AccountPolicy;
use route::Backend;
use route::Policy;
use route::PoolId;
use route::ServicePolicy;

/// Services; the first two are idempotent.
pub const SERVICES: [&str; 4] = ["check", "review", "posting", "sorting"];

/// Client accounts.
pub const ACCOUNTS: [&str; 2] = ["large", "small"];

/// Availability zones and the region of each.
pub const ZONES: [(&str, &str); 3] = [("z1", "r1"), ("z2", "r1"), ("z3", "r2")];

/// Configuration of the service at `index`.
pub fn service(index: usize) -> ServicePolicy {
    let class = if index.is_multiple_of(2) { Class::Interactive } else { Class::Batch };
    let mut policy = ServicePolicy::new(PoolId::new("hub"), class);
    policy.idempotent = index < 2;
    policy.hedge = index == 0;
    policy.timeout = Duration::from_secs(2);
    policy
}

/// The router configuration.
pub fn policy() -> Arc<Policy> {
    let services = SERVICES.iter().enumerate().map(|(i, name)| (ServiceId::new(name), service(i)));
    let account = |weight| AccountPolicy { weight, ..AccountPolicy::default() };
    let accounts = BTreeMap::from([
        (AccountId::new(ACCOUNTS[0]), account(3)),
        (AccountId::new(ACCOUNTS[1]), account(1)),
    ]);
    Arc::new(Policy { revision: Revision(1), services: services.collect(), accounts })
}

/// The zone and region of position `index`; positions are assigned to zones in turn.
pub fn place(index: usize) -> (ZoneId, RegionId) {
    let (zone, region) = ZONES[index % ZONES.len()];
    (ZoneId::new(zone), RegionId::new(region))
}

/// The entry of a backend server in the list of VMs.
pub fn backend(index: usize, slots: u32, leaving: bool) -> Backend {
    let (zone, region) = place(index);
    Backend {
        id: format!("b{index}").as_str().into(),
        pool: PoolId::new("hub"),
        zone,
        region,
        slots,
        connections: 64,
        leaving,
    }
}
