//! Sample workers, accounts and jobs.

use std::time::Duration;

use gang::AccountPolicy;
use gang::Guaranteed;
use gang::JobSpec;
use gang::Policy;
use gang::WorkerInfo;
use model::AccountId;
use model::Adjacency;
use model::GangShape;
use model::Incarnation;
use model::JobId;
use model::Priority;
use model::RackId;
use model::ServiceId;
use model::WorkerId;
use model::ZoneId;

/// Workers with eight accelerators each, eight workers per rack.
pub fn workers(racks: u32) -> Vec<WorkerInfo> {
    let worker = |rack: u32, slot: u32| WorkerInfo {
        id: WorkerId::new(&format!("w{rack}-{slot}")),
        rack: RackId::new(&format!("r{rack}")),
        slot,
        zone: ZoneId::new("z"),
        accelerators: 8,
        millicores: 128_000,
        memory_mib: 256 * 1024,
        leaving: false,
    };
    (0..racks).flat_map(|rack| (0..8).map(move |slot| worker(rack, slot))).collect()
}

/// Shape of a gang of `tasks` with `accelerators` each.
pub fn shape(tasks: u32, accelerators: u32, adjacency: Adjacency) -> GangShape {
    GangShape { tasks, accelerators, millicores: 1_000, memory_mib: 1_024, adjacency }
}

/// Policy with four accounts of equal weight, of which `mill` has a guarantee of one whole rack and
/// two whole workers.
pub fn policy() -> Policy {
    let mut policy = Policy::default();
    for name in ["mill", "depot", "bank", "field"] {
        let account = AccountPolicy { weight: 1, quota: 100_000, guaranteed: Vec::new() };
        policy.accounts.insert(AccountId::new(name), account);
    }
    if let Some(mill) = policy.accounts.get_mut("mill") {
        let rack = shape(8, 8, Adjacency::Rack);
        let worker = shape(1, 8, Adjacency::Worker);
        mill.guaranteed.push(Guaranteed { shape: rack, count: 1 });
        mill.guaranteed.push(Guaranteed { shape: worker, count: 2 });
    }
    policy
}

/// Idempotent job of normal priority without checkpoints.
pub fn job(number: u64, account: &str, shape: GangShape) -> JobSpec {
    JobSpec {
        id: JobId { home: Incarnation(1), sequence: number },
        account: AccountId::new(account),
        service: ServiceId::new("sorting"),
        shape,
        priority: Priority::Normal,
        idempotent: true,
        checkpoint: false,
        declared: Duration::from_secs(60),
    }
}
