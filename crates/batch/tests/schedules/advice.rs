//! Queues whose steps may run only on workers that the advice service allows.

use crate::load::step;
use crate::run_schedule;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use batch::JobState;
use batch::Policy;

fn advised_policy(names: &[&str]) -> Policy {
    let mut policy = policy(48);
    for name in names {
        policy.queues.get_mut(*name).expect("a queue").advised = true;
    }
    policy
}

/// A gang, single tasks and a dependent step all run on allowed workers, with one call per step.
#[test]
fn named_workers() {
    let mut world = World::new(11, 24, Faults::default(), advised_policy(&["usual", "patient"]));
    world.run(500);
    let mut gang = step(4, 4, 1_500);
    gang.gang = true;
    let first = world.submit("00000000000000a1", "usual", "a", vec![gang]);
    let second = world.submit("00000000000000a2", "patient", "a", vec![step(10, 1, 1_000)]);
    let mut after = step(3, 1, 500);
    after.after = vec![0];
    let third = world.submit("00000000000000a3", "patient", "b", vec![step(2, 1, 500), after]);
    world.run(8_000);
    for id in [first, second, third] {
        assert_eq!(world.stored_state(&id), JobState::Completed);
    }
    assert_eq!((world.advice_calls, world.refused_starts), (4, 0));
}

/// Tickets that expire while a step waits for capacity are requested again.
#[test]
fn expired_tickets() {
    let mut world = World::new(12, 3, Faults::default(), advised_policy(&["patient"]));
    world.run(500);
    let ids = [1, 2, 3].map(|number| {
        world.submit(&format!("{number:016x}"), "patient", "a", vec![step(12, 1, 6_000)])
    });
    world.run(120_000);
    for id in ids {
        assert_eq!(world.stored_state(&id), JobState::Completed);
    }
    assert!(world.advice_calls > 3, "{} calls", world.advice_calls);
}

/// The invariants hold under all faults while some queues need advice.
#[test]
fn advice_and_faults() {
    let seeds = std::env::var("SCHEDULE_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 600_000..600_000 + seeds.unwrap_or(4) {
        println!("seed {seed}");
        let mut world = World::new(seed, 24, Faults::all(), advised_policy(&["usual", "patient"]));
        run_schedule(&mut world);
    }
}
