//! Seeded schedules of faults, with the invariants of shard, workers and callers checked.

use trial::schedule;
use trial::schedule::Plan;

fn hold(plan: &Plan, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        println!("seed {seed}");
        let mut world = schedule::world(seed);
        schedule::run(&mut world, plan, 25);
    }
}

#[test]
fn no_faults() {
    hold(&Plan::default(), 0..4);
}

#[test]
fn owners_die() {
    hold(&Plan { crashes: true, ..Plan::default() }, 100..106);
}

#[test]
fn owners_pause() {
    hold(&Plan { pauses: true, ..Plan::default() }, 200..206);
}

#[test]
fn store_fails() {
    hold(&Plan { store: true, ..Plan::default() }, 300..306);
}

#[test]
fn messages_are_lost() {
    hold(&Plan { network: true, ..Plan::default() }, 400..406);
}

#[test]
fn cancellations_come_in_waves() {
    hold(&Plan { cancels: true, ..Plan::default() }, 500..506);
}

#[test]
fn racks_are_lost() {
    hold(&Plan { racks: true, ..Plan::default() }, 600..606);
}

#[test]
fn zone_is_lost() {
    hold(&Plan { racks: true, zone: true, ..Plan::default() }, 700..706);
}

#[test]
fn workers_and_jobs_are_bad() {
    hold(&Plan { bad: true, ..Plan::default() }, 800..806);
}

#[test]
fn everything_at_once() {
    hold(&Plan::all(), 900..912);
}

#[test]
fn schedules_that_broke_before() {
    for seed in [10, 143, 904, 1014, 1048, 1109, 1113, 5063] {
        println!("seed {seed}");
        let mut world = schedule::world(seed);
        schedule::run(&mut world, &Plan::all(), 60);
    }
}
