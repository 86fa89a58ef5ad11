//! Random schedules of steps and faults, reproducible by seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster::Cluster;
use crate::cluster::Faults;
use crate::cluster::Step;
use crate::cluster::Trace;
use model::Time;

/// Runs the schedule of `seed` to its end and returns the cluster.
pub fn run_schedule(seed: u64, trace: Option<Trace>) -> Cluster {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let rate =
        |rng: &mut StdRng, most| if rng.random_ratio(1, 3) { 0 } else { rng.random_range(0..most) };
    let faults = Faults {
        loss: rate(&mut rng, 150),
        double: rate(&mut rng, 100),
        attempt: rate(&mut rng, 300),
    };
    let vms = rng.random_range(1..6);
    let servers = rng.random_range(1..6);
    let mut cluster = Cluster::new(seed, vms, servers, faults, trace);
    let steps = rng.random_range(20..120);
    let length = 10_000;
    for _ in 0..steps {
        let after = Duration::from_millis(rng.random_range(0..length));
        let step = Step::from_number(rng.random_range(0..100));
        cluster.plan(after, step);
    }
    cluster.run(Time::from_millis(length + 25_000));
    check_idle(&cluster);
    cluster
}

/// Checks at the end that no caller waits past its due time and no request, attempt or slot is
/// left.
fn check_idle(cluster: &Cluster) {
    let late: Vec<_> =
        cluster.tickets.iter().filter(|(_, (_, _, due))| *due < cluster.now).collect();
    assert!(late.is_empty(), "callers without an answer: {late:?}");
    for vm in cluster.vms.iter().filter(|vm| !vm.ended) {
        let view = vm.router.snapshot();
        assert_eq!(view.running, 0, "attempts are left in progress");
        assert!(view.queues.is_empty(), "requests are left in queues");
        let used: u32 = view.backends.iter().map(|backend| backend.used).sum();
        assert_eq!(used, 0, "slots are left in use");
    }
}
