//! Evacuations of availability zones.

use crate::load::step;
use crate::run_seeds;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use batch::JobState;
use batch::StepSpec;

/// Zone of the first eight of 24 workers.
const ZONE: &str = "north-a";
/// Time within which workers open after an evacuation, in ms, with a margin for their first starts.
const REOPEN_MS: u64 = 9_000;

fn world(seed: u64) -> World {
    World::new(seed, 24, Faults::default(), policy(0))
}

fn lasting(count: u32, gpu: u64, may_miss: u32) -> StepSpec {
    StepSpec { lasting: true, may_miss, ..step(count, gpu, 100_000) }
}

/// Number of trace lines that contain `text`.
fn count_lines(world: &World, text: &str) -> usize {
    world.trace.iter().filter(|line| line.contains(text)).count()
}

/// Guards the rule that no task starts in a zone that has been evacuated for long enough, under
/// evacuations that overlap, repeat and are lifted while owners learn of them late.
#[test]
fn evacuated_zones() {
    run_seeds(1_000_000, Faults { evacuations: true, ..Faults::default() });
}

/// The same with takeovers: a new owner has to know the evacuations before its first start.
#[test]
fn evacuated_takeovers() {
    let faults = Faults { evacuations: true, takeovers: true, cancels: true, ..Faults::default() };
    run_seeds(1_100_000, faults);
}

/// The same with a directory that is read late and orders that wait before they are sent.
#[test]
fn evacuations_and_views() {
    let faults = Faults { evacuations: true, views: true, takeovers: true, ..Faults::default() };
    run_seeds(1_400_000, Faults { leaving: true, ..faults });
}

/// The same with all other faults, such as lost orders and starts in doubt.
#[test]
fn evacuations_and_faults() {
    run_seeds(1_200_000, Faults { evacuations: true, ..Faults::all() });
}

/// Guards against starts of runs that were placed before their zone was evacuated and whose commit,
/// start or answer is in flight then: each is withdrawn, with its gang, and placed elsewhere.
#[test]
fn runs_in_flight() {
    for moment in 1..60 {
        let mut world = world(31);
        world.run(1_000);
        let gang = StepSpec { gang: true, ..step(20, 8, 400) };
        let gang = world.submit("00000000000000c1", "usual", "a", vec![gang]);
        let single = world.submit("00000000000000c2", "usual", "a", vec![step(4, 8, 400)]);
        world.run(moment);
        world.evacuate(ZONE);
        world.show_evacuations(1);
        world.run(8_000);
        // The gang needs all three zones, so it waits unless all of its members were confirmed.
        assert_eq!(world.stored_state(&single), JobState::Completed, "after {moment} ms");
        world.lift(ZONE);
        world.run(REOPEN_MS + 3_000);
        assert_eq!(world.stored_state(&gang), JobState::Completed, "after {moment} ms");
    }
}

/// Confirmed runs go on to their end: nothing is stopped or started again.
#[test]
fn confirmed_runs() {
    let mut world = world(32);
    let id = world.submit("00000000000000c3", "usual", "a", vec![step(24, 8, 6_000)]);
    world.run(2_000);
    assert_eq!((world.starts, world.runs_in(ZONE)), (24, 8));
    world.evacuate(ZONE);
    world.run(20_000);
    assert_eq!(world.stored_state(&id), JobState::Completed);
    assert_eq!((world.starts, world.runs_in(ZONE)), (24, 0), "runs were started again");
}

/// Long-running tasks leave an evacuated zone, never more at a time than their budget allows.
#[test]
fn lasting_moved() {
    let mut world = world(33);
    let id = world.submit("00000000000000c4", "usual", "a", vec![lasting(8, 8, 2)]);
    world.run(2_000);
    let zone = ["north-a", "north-b", "south-a"].into_iter().find(|zone| world.runs_in(zone) > 0);
    let zone = zone.expect("a zone with runs");
    world.finish_startup();
    world.run(2_500);
    world.evacuate(zone);
    for _ in 0..400 {
        world.run(50);
        world.finish_startup();
        let running = world.workers.values().map(|worker| worker.running.len()).sum::<usize>();
        assert!(running >= 6, "{} of 8 tasks are unavailable; the budget allows 2", 8 - running);
    }
    assert_eq!(world.runs_in(zone), 0, "tasks stay in the evacuated zone");
    assert_eq!(world.stored_state(&id), JobState::Running);
}

/// Long-running tasks stay where no other zone has room for them, or their budget is zero.
#[test]
fn lasting_kept() {
    for (gpu, may_miss) in [(8, 4), (1, 0)] {
        let mut world = world(34);
        let filling = step(if gpu == 8 { 16 } else { 1 }, 8, 60_000);
        world.submit("00000000000000c5", "usual", "a", vec![lasting(8, gpu, may_miss)]);
        world.run(1_000);
        world.submit("00000000000000c6", "usual", "a", vec![filling]);
        world.run(3_000);
        world.finish_startup();
        world.run(2_500);
        let starts = world.starts;
        for zone in ["north-a", "north-b", "south-a"] {
            let left = world.runs_in(zone);
            world.evacuate(zone);
            world.run(4_000);
            assert_eq!(world.runs_in(zone), left, "{zone}");
            world.lift(zone);
            world.run(REOPEN_MS);
        }
        assert_eq!(world.starts, starts, "tasks without another place were stopped");
    }
}

/// Guards against a long-running task that is stopped for a place which is held for a wide gang, and
/// then waits until the gang has ended.
#[test]
fn lasting_beside_reservation() {
    let mut world = world(39);
    world.reservations = 4;
    world.take_over(false);
    world.run(500);
    let serving = world.submit("00000000000000cb", "patient", "a", vec![lasting(1, 2, 1)]);
    world.run(1_500);
    world.finish_startup();
    let zone = ["north-a", "north-b", "south-a"].into_iter().find(|zone| world.runs_in(zone) > 0);
    let zone = zone.expect("a zone with runs");
    world.submit("00000000000000cc", "usual", "a", vec![step(24, 5, 6_000)]);
    world.run(6_500);
    let gang = StepSpec { gang: true, ..step(16, 8, 4_000) };
    let gang = world.submit("00000000000000cd", "usual", "a", vec![gang]);
    world.run(300);
    world.evacuate(zone);
    let mut missing = 0;
    for _ in 0..400 {
        world.run(50);
        let mut running = world.workers.values().flat_map(|worker| worker.running.keys());
        missing += u32::from(!running.any(|key| key.job == serving));
    }
    assert_eq!(count_lines(&world, "Reserves"), 1, "{}", world.trace.join("\n"));
    assert_eq!(world.stored_state(&gang), JobState::Completed);
    assert_eq!(world.runs_in(zone), 0, "the task stays in the evacuated zone");
    assert!(missing <= 20, "the task did not run for {} ms", missing * 50);
}

/// With every zone evacuated all jobs wait. Afterwards the workers open one after the other, and
/// nothing is preempted that was started meanwhile.
#[test]
fn load_returns_in_steps() {
    let mut world = world(35);
    world.run(1_000);
    let zones = ["north-a", "north-b", "south-a"];
    zones.iter().for_each(|zone| world.evacuate(zone));
    world.run(200);
    let patient = world.submit("00000000000000c7", "patient", "a", vec![step(48, 8, 2_000)]);
    let urgent = world.submit("00000000000000c8", "urgent", "a", vec![step(2, 8, 2_000)]);
    world.run(10_000);
    assert_eq!(world.starts, 0);
    zones.iter().for_each(|zone| world.lift(zone));
    let mut before = 0;
    for _ in 0..REOPEN_MS / 1_000 {
        world.run(1_000);
        assert!(world.starts - before <= 12, "{} starts in a second", world.starts - before);
        before = world.starts;
    }
    world.run(30_000);
    for id in [patient, urgent] {
        assert_eq!(world.stored_state(&id), JobState::Completed);
    }
    assert_eq!(count_lines(&world, "Reclaims"), 0, "runs were preempted");
}

/// An urgent gang takes workers of the zone that opens again only where no others are free, and a
/// second evacuation closes those that have opened.
#[test]
fn repeated_evacuation() {
    let mut world = world(36);
    world.run(1_000);
    for round in 0..3 {
        world.evacuate(ZONE);
        world.run(2_000);
        world.lift(ZONE);
        world.run(5_000);
        let gang = StepSpec { gang: true, ..step(4, 8, 500) };
        let id = world.submit(&format!("00000000000000d{round}"), "urgent", "a", vec![gang]);
        world.run(1_500);
        assert_eq!(world.runs_in(ZONE), 0, "workers that just opened are used first");
        world.run(1_000);
        assert_eq!(world.stored_state(&id), JobState::Completed);
    }
    assert_eq!(count_lines(&world, " on i-0000 "), 0);
    world.evacuate(ZONE);
    world.run(200);
    assert_eq!(world.usable(), 16);
    world.lift(ZONE);
    world.run(REOPEN_MS);
    assert_eq!(world.usable(), 24);
}

/// A zone without workers changes nothing for the others.
#[test]
fn unknown_zone() {
    let mut world = world(37);
    for zone in ["nowhere", " north-a", "north-a/", "NORTH-A", "\u{e9}\n"] {
        world.evacuate(zone);
    }
    world.run(1_000);
    assert_eq!(world.usable(), 24);
    let id = world.submit("00000000000000ca", "usual", "a", vec![step(24, 8, 500)]);
    world.run(3_000);
    assert_eq!(world.stored_state(&id), JobState::Completed);
}

/// Urgent gangs take warm workers first, and cold ones rather than wait.
#[test]
fn cold_workers() {
    let mut world = world(38);
    for worker in world.workers.values_mut().take(12) {
        worker.cold_until = 30_000;
    }
    world.run(1_100);
    let gang = |count| StepSpec { gang: true, ..step(count, 8, 1_000) };
    world.submit("00000000000000cb", "urgent", "a", vec![gang(12)]);
    world.run(500);
    let cold = |world: &World| {
        let cold = world.workers.values().filter(|worker| worker.cold_until > world.now);
        cold.filter(|worker| !worker.running.is_empty()).count()
    };
    assert_eq!((world.starts, cold(&world)), (12, 0), "cold workers come last");
    world.submit("00000000000000cc", "urgent", "a", vec![gang(12)]);
    world.run(500);
    assert_eq!(cold(&world), 12, "cold workers are better than none");
}

/// Partitions between two owners while zones are evacuated and reopened: neither owner starts tasks
/// in a zone that has been evacuated for long enough.
#[test]
fn evacuated_partitions() {
    for seed in crate::seeds(1_300_000) {
        println!("seed {seed}");
        let mut world = world(seed);
        let mut number = 0;
        for second in 0..60u64 {
            match second % 12 {
                3 => world.partition_owner(7_000),
                4 => world.evacuate(ZONE),
                5 => world.evacuate("south-a"),
                9 => world.lift(ZONE),
                _ => {}
            }
            if second % 24 == 20 {
                world.lift("south-a");
            }
            for _ in 0..3 {
                number += 1;
                let estimate_ms = [600, 2_000, 6_000][number % 3];
                let steps = vec![step(1 + number as u32 % 4, 4, estimate_ms)];
                world.submit(&format!("{number:016x}"), "usual", "a", steps);
            }
            world.run(1_000);
        }
        world.lift(ZONE);
        world.lift("south-a");
        world.run(120_000);
        world.check_ends();
    }
}
