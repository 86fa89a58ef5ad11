//! Seeded random schedules of jobs and faults, run against the invariants of shard, workers and
//! callers.

use trial::schedule;
use trial::schedule::Plan;

fn check_seeds(plan: &Plan, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        println!("seed {seed}");
        let mut world = schedule::create_world(seed);
        schedule::run(&mut world, plan, 25);
    }
}

#[test]
fn no_faults() {
    check_seeds(&Plan::default(), 0..4);
}

#[test]
fn owners_die() {
    check_seeds(&Plan { crashes: true, ..Plan::default() }, 100..106);
}

#[test]
fn owners_pause() {
    check_seeds(&Plan { pauses: true, ..Plan::default() }, 200..206);
}

#[test]
fn store_fails() {
    check_seeds(&Plan { store: true, ..Plan::default() }, 300..306);
}

#[test]
fn messages_are_lost() {
    check_seeds(&Plan { network: true, ..Plan::default() }, 400..406);
}

#[test]
fn cancellations_come_in_waves() {
    check_seeds(&Plan { cancels: true, ..Plan::default() }, 500..506);
}

#[test]
fn racks_are_lost() {
    check_seeds(&Plan { racks: true, ..Plan::default() }, 600..606);
}

#[test]
fn zone_is_lost() {
    check_seeds(&Plan { racks: true, zone: true, ..Plan::default() }, 700..706);
}

#[test]
fn workers_and_jobs_are_bad() {
    check_seeds(&Plan { failures: true, ..Plan::default() }, 800..806);
}

#[test]
fn everything_at_once() {
    check_seeds(&Plan::all(), 900..912);
}

#[test]
fn seeds_that_failed_before() {
    for seed in [10, 143, 904, 1014, 1048, 1109, 1113, 5063] {
        println!("seed {seed}");
        let mut world = schedule::create_world(seed);
        schedule::run(&mut world, &Plan::all(), 60);
    }
}
