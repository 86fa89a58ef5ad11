//! Converts the operators' configuration into the policies of the router and the placement shards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::AccountId;
use model::Adjacency;
use model::GangShape;
use model::Revision;
use model::ShardId;
use text::Text;

/// Run time assumed for the jobs of a service until some have completed.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(3_600);
/// Limit of queued requests per client account at one entry VM.
const ACCOUNT_QUEUE_LIMIT: u32 = 10_000;

/// Policy of the router.
pub fn request_policy(text: &Text, revision: Revision) -> route::Policy {
    let services = text.services.iter().map(|(id, service)| {
        let policy = route::ServicePolicy {
            pool: service.pool.as_str().into(),
            class: service.class,
            idempotent: service.idempotent,
            timeout: service.timeout,
            hedge: service.hedge.is_some(),
            safe_503: false,
            depends: service.depends.clone(),
        };
        (id.clone(), policy)
    });
    let accounts = text.accounts.iter().map(|(id, account)| {
        let policy = route::AccountPolicy {
            weight: account.weight,
            rate: account.rate.map(|rate| rate.requests),
            burst: account.rate.map_or(0, |rate| rate.burst),
            queue_limit: ACCOUNT_QUEUE_LIMIT,
        };
        (id.clone(), policy)
    });
    route::Policy { revision, services: services.collect(), accounts: accounts.collect() }
}

/// Policy of each placement shard; `capacity` is the number of accelerators of each.
pub fn job_policies(
    text: &Text,
    capacity: &BTreeMap<ShardId, u32>,
) -> BTreeMap<ShardId, Arc<gang::Policy>> {
    let guaranteed = assign_guarantees(text, capacity);
    let policy = |shard: &ShardId| {
        let own = guaranteed.get(shard);
        let accounts = text.accounts.iter().map(|(id, account)| {
            let shapes = own.and_then(|own| own.get(id)).cloned().unwrap_or_default();
            let policy = gang::AccountPolicy {
                weight: account.weight,
                quota: account.quota.unwrap_or(u32::MAX),
                guaranteed: shapes,
            };
            (id.clone(), policy)
        });
        let services = text
            .services
            .keys()
            .map(|id| (id.clone(), gang::ServicePolicy { expected: DEFAULT_RUN_TIME }));
        Arc::new(gang::Policy { accounts: accounts.collect(), services: services.collect() })
    };
    capacity.keys().map(|shard| (shard.clone(), policy(shard))).collect()
}

type GuaranteesByShard = BTreeMap<ShardId, BTreeMap<AccountId, Vec<gang::Guaranteed>>>;

/// Assigns each guaranteed shape to the shard with the most unassigned accelerators, largest first.
///
/// The result depends only on the configuration and the capacity of the shards, so that all entry
/// VMs compute the same assignment.
fn assign_guarantees(text: &Text, capacity: &BTreeMap<ShardId, u32>) -> GuaranteesByShard {
    let mut free = capacity.clone();
    let mut shapes: Vec<(&AccountId, GangShape)> = Vec::new();
    for (id, account) in &text.accounts {
        shapes.extend(account.guarantees.iter().map(|shape| (id, *shape)));
    }
    shapes.sort_by_key(|(id, shape)| (std::cmp::Reverse(size_key(shape)), (*id).clone()));
    let mut guaranteed = GuaranteesByShard::new();
    for (account, shape) in shapes {
        let Some((shard, accelerators)) =
            free.iter_mut().max_by_key(|(_, accelerators)| **accelerators)
        else {
            break;
        };
        *accelerators = accelerators.saturating_sub(shape.total_accelerators());
        let own = guaranteed.entry(shard.clone()).or_default();
        own.entry(account.clone()).or_default().push(gang::Guaranteed { shape, count: 1 });
    }
    guaranteed
}

fn size_key(shape: &GangShape) -> (bool, u32) {
    (shape.adjacency == Adjacency::Racks, shape.total_accelerators())
}
