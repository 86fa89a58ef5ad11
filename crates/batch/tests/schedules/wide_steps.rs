//! Load patterns of shortage, in which wide steps compete with smaller tasks of other jobs.

use rand::RngExt;

use crate::load::step;
use crate::run_schedule;
use crate::seeds;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use batch::JobId;
use batch::JobState;
use batch::StepSpec;

/// Maximum number of reservations in these tests.
const RESERVATIONS: usize = 4;

fn world(seed: u64, workers: usize, faults: Faults, reservations: usize) -> World {
    let mut world = World::new(seed, workers, faults, policy(0));
    world.reservations = reservations;
    world.take_over(false);
    world
}

/// Submits a stream of small patient tasks for `span` ms, which takes all capacity, and a
/// gang of `count` whole workers in the middle of it. Returns the gang.
fn crowd(world: &mut World, span: u64, count: u32) -> JobId {
    let gang = JobId("00000000000000aa".into());
    for number in 0..span / 500 {
        let tasks = world.rng.random_range(10..20);
        let small = step(tasks, 1, world.rng.random_range(2_000..4_000));
        world.submit(&format!("f{number:015x}"), "patient", "b", vec![small]);
        if number == 8 {
            let whole = StepSpec { gang: true, ..step(count, 8, 2_000) };
            world.submit(&gang.0, "usual", "a", vec![whole]);
        }
        world.run(500);
    }
    gang
}

fn is_done(world: &World, gang: &JobId) -> bool {
    world.stored_state(gang) == JobState::Completed
}

/// Load: a gang of whole workers beside a stream of small tasks of lower priority that take each
/// accelerator that becomes free. Without a reservation the gang never starts.
#[test]
fn starved_gang() {
    for seed in 0..4 {
        println!("seed {seed}");
        let mut without = world(seed, 8, Faults::default(), 0);
        let gang = crowd(&mut without, 24_000, 4);
        assert!(!is_done(&without, &gang), "the load does not keep the gang from starting");
        let mut with = world(seed, 8, Faults::default(), RESERVATIONS);
        let gang = crowd(&mut with, 24_000, 4);
        assert!(is_done(&with, &gang), "{}", with.trace.join("\n"));
    }
}

/// Load: the same, with older gangs that need more workers than there are. Guards against searches
/// spent on them in each pass, which leave none for the gang that fits.
#[test]
fn impossible_gangs() {
    for seed in 0..4 {
        println!("seed {seed}");
        let mut world = world(seed, 8, Faults::default(), 1);
        for number in 0..4 {
            let gang = StepSpec { gang: true, ..step(9, 8, 2_900) };
            world.submit(&format!("{number:016x}"), "usual", "a", vec![gang]);
        }
        let gang = crowd(&mut world, 24_000, 4);
        assert!(is_done(&world, &gang), "{}", world.trace.join("\n"));
    }
}

/// Load: whole workers for tasks that start one by one, in the same stream. Each starts once a worker
/// has been kept free for it.
#[test]
fn starved_single_tasks() {
    for reservations in [0, RESERVATIONS] {
        let mut world = world(7, 8, Faults::default(), reservations);
        let whole = step(4, 8, 2_000);
        world.run(10);
        for number in 0..48 {
            let small = step(14, 1, 3_000);
            world.submit(&format!("f{number:015x}"), "patient", "b", vec![small]);
            if number == 8 {
                world.submit("00000000000000aa", "usual", "a", vec![whole.clone()]);
            }
            world.run(500);
        }
        let done = is_done(&world, &JobId("00000000000000aa".into()));
        assert_eq!(done, reservations > 0, "{}", world.trace.join("\n"));
    }
}

/// Load: the same, with a takeover while capacity is held. The next owner holds it again.
#[test]
fn takeover_of_reservation() {
    for seed in 0..4 {
        println!("seed {seed}");
        let mut world = world(seed, 8, Faults::default(), RESERVATIONS);
        let gang = crowd(&mut world, 4_700, 4);
        let reserves =
            |world: &World| world.trace.iter().filter(|line| line.contains("Reserves")).count();
        assert_eq!(reserves(&world), 1, "{}", world.trace.join("\n"));
        world.take_over(false);
        let before = world.starts;
        for number in 0..40 {
            let small = step(12, 1, 3_000);
            world.submit(&format!("e{number:015x}"), "patient", "b", vec![small]);
            world.run(500);
        }
        assert!(world.starts > before);
        assert!(is_done(&world, &gang), "{}", world.trace.join("\n"));
    }
}

/// Load: the same, with urgent jobs that need most of the fleet while capacity is held for the gang.
/// They start as if it were not.
#[test]
fn urgent_beside_reservation() {
    let mut world = world(5, 8, Faults::default(), RESERVATIONS);
    crowd(&mut world, 4_700, 4);
    let urgent = StepSpec { gang: true, ..step(6, 8, 1_000) };
    let id = world.submit("00000000000000bb", "urgent", "a", vec![urgent]);
    world.run(2_500);
    assert_eq!(world.stored_state(&id), JobState::Completed, "{}", world.trace.join("\n"));
}

/// Guards against runs that are lost, doubled or never started where reservations and faults meet.
#[test]
fn reservations_under_faults() {
    for seed in seeds(800_000) {
        println!("seed {seed}");
        let mut world = World::new(seed, 24, Faults::all(), policy(48));
        world.reservations = RESERVATIONS;
        world.take_over(false);
        run_schedule(&mut world);
    }
}
