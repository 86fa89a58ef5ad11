//! Slot credits move to the entry VMs that need them, and adapt to changes of membership.

mod cluster;

use std::time::Duration;

use bytes::Bytes;

use self::cluster::Cluster;
use self::cluster::Faults;
use self::cluster::Step;
use self::cluster::world;
use model::Time;
use route::Call;

const NO_FAULTS: Faults = Faults { loss: 0, double: 0, attempt: 0 };

/// Number that [`Step::from_number`] maps to a drain.
const DRAIN_NUMBER: u32 = 86;

fn call_at(cluster: &mut Cluster, place: usize) {
    let call = Call {
        id: cluster.vms[place].router.issue_id(),
        service: "posting".into(),
        account: world::ACCOUNTS[0].into(),
        deadline: Duration::from_secs(3),
        body: Bytes::new(),
    };
    cluster.send_call(place, call, false);
}

/// A cluster of two entry VMs and two backend servers after 6 s without load.
fn settled_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 2, 2, NO_FAULTS, None);
    cluster.run(Time::from_millis(6_000));
    cluster
}

/// Sends a steady overload to the entry VMs at `places` for 2 s and returns the mean share of slots
/// in use after the first 0.5 s.
fn keep_busy(cluster: &mut Cluster, places: &[usize]) -> f64 {
    let (mut slots, mut used) = (0, 0);
    for round in 0..400 {
        for place in places {
            call_at(cluster, *place);
        }
        let end = cluster.now + Duration::from_millis(5);
        cluster.run(end);
        if round >= 100 {
            slots += cluster.servers.iter().map(|server| server.slots).sum::<u32>();
            let servers = 0..cluster.servers.len();
            used += servers.map(|server| cluster.oracle.load(server)).sum::<u32>();
        }
    }
    f64::from(used) / f64::from(slots)
}

#[test]
fn skewed_balancer() {
    for seed in 0..10 {
        let mut cluster = settled_cluster(seed);
        let share = keep_busy(&mut cluster, &[0]);
        assert!(share > 0.9, "seed {seed}: one entry VM used {share} of all slots");
        let share = keep_busy(&mut cluster, &[1]);
        assert!(share > 0.9, "seed {seed}: the other entry VM used {share} of all slots");
    }
}

#[test]
fn even_balancer() {
    for seed in 0..10 {
        let share = keep_busy(&mut settled_cluster(seed), &[0, 1]);
        assert!(share > 0.9, "seed {seed}: both entry VMs used {share} of all slots");
    }
}

#[test]
fn membership_change() {
    for seed in 0..10 {
        let mut cluster = settled_cluster(seed);
        cluster.plan(Duration::from_millis(500), Step::from_number(DRAIN_NUMBER));
        keep_busy(&mut cluster, &[0, 1]);
        let after = cluster.now + Duration::from_secs(6);
        cluster.run(after);
        let alive: Vec<usize> = cluster.alive();
        let share = keep_busy(&mut cluster, &alive);
        assert!(share > 0.9, "seed {seed}: {share} of all slots used after a change");
    }
}
