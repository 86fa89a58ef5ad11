//! Simulation of fleets of 3 to 50 members with all kinds of faults.

use std::time::Duration;

use fleet::trial::Faults;
use fleet::trial::Plan;
use fleet::trial::Site;
use fleet::trial::run;

fn all_faults() -> Faults {
    Faults {
        loss: 0.05,
        store_loss: 0.1,
        pause: Duration::from_secs(20),
        cut: Duration::from_secs(15),
        crash: Duration::from_secs(40),
        replace: Duration::from_secs(40),
        outage: Duration::from_secs(120),
        outage_length: Duration::from_secs(30),
    }
}

fn plan(seed: u64, sites: &[(u32, u32)]) -> Plan {
    let site =
        |(region, members): &(u32, u32)| Site { region: *region, members: *members, shards: 2 };
    let mut plan = Plan::new(seed, sites.iter().map(site).collect());
    plan.faults = all_faults();
    plan.operators = 2;
    plan.length = Duration::from_secs(300);
    plan
}

#[test]
fn three_members() {
    for seed in 0..8 {
        run(&plan(seed, &[(0, 1), (0, 1), (1, 1)]));
    }
}

#[test]
fn eight_members() {
    for seed in 0..4 {
        let report = run(&plan(seed, &[(0, 3), (0, 3), (1, 2)]));
        assert!(report.revisions > 20);
    }
}

#[test]
fn fifty_members() {
    let mut plan = plan(0, &[(0, 10), (0, 10), (1, 10), (1, 10), (2, 10)]);
    plan.length = Duration::from_secs(120);
    run(&plan);
}

#[test]
fn same_seed_same_run() {
    let one = run(&plan(7, &[(0, 3), (1, 2)]));
    let two = run(&plan(7, &[(0, 3), (1, 2)]));
    assert_eq!(format!("{one:?}"), format!("{two:?}"));
}
