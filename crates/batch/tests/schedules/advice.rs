//! Queues whose steps may run only on workers that the advice service names.

use crate::load::step;
use crate::play_on;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use batch::JobState;
use batch::Policy;

fn advised(names: &[&str]) -> Policy {
    let mut policy = policy(48);
    for name in names {
        policy.queues.get_mut(*name).expect("a queue").advised = true;
    }
    policy
}

/// A gang, single tasks and a second step each run where they may, after one call each.
#[test]
fn named_workers() {
    let mut world = World::new(11, 24, Faults::default(), advised(&["usual", "patient"]));
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
        assert_eq!(world.shown(&id), JobState::Completed);
    }
    assert_eq!((world.advice_calls, world.rejected), (4, 0));
}

/// Tickets that have run out while a step waited for room are asked for again.
#[test]
fn old_tickets() {
    let mut world = World::new(12, 3, Faults::default(), advised(&["patient"]));
    world.run(500);
    let ids = [1, 2, 3].map(|number| {
        world.submit(&format!("{number:016x}"), "patient", "a", vec![step(12, 1, 6_000)])
    });
    world.run(120_000);
    for id in ids {
        assert_eq!(world.shown(&id), JobState::Completed);
    }
    assert!(world.advice_calls > 3, "{} calls", world.advice_calls);
}

/// The promises hold under all faults while some queues need advice.
#[test]
fn advice_and_faults() {
    let seeds = std::env::var("SCHEDULE_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 600_000..600_000 + seeds.unwrap_or(4) {
        println!("seed {seed}");
        let mut world = World::new(seed, 24, Faults::all(), advised(&["usual", "patient"]));
        play_on(&mut world);
    }
}
