//! Failures that were found elsewhere, each as its shortest schedule.

use crate::load::step;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::worker_id;
use batch::JobState;

/// A worker leaves for good while its renewals go unanswered: each renewal that was sent in vain
/// used to push out the time at which its runs count as ended, so they never did.
#[test]
fn gone_worker() {
    let mut world = World::new(1, 2, Faults::default(), policy(0));
    let id = world.submit("00000000000000aa", "patient", "a", vec![step(9, 1, 4_000)]);
    world.run(1_000);
    let fake = world.workers.get_mut(&worker_id(0)).expect("there");
    assert!(!fake.running.is_empty());
    fake.up = false;
    fake.running.clear();
    world.run(30_000);
    assert_eq!(world.shown(&id), JobState::Completed);
}

/// A task fails on a worker that cannot be reached until the run is given up: the failure still
/// counts once its end is listed.
#[test]
fn late_failure() {
    let mut world = World::new(400_205, 24, Faults::all(), policy(48));
    crate::play_on(&mut world);
}

/// A crest of wide urgent jobs on workers that are full: room that is being made for one of them
/// used to be promised to the next as well, and both waited for ever.
#[test]
fn promised_twice() {
    for seed in 0..5 {
        let mut world = World::new(seed, 24, Faults::default(), policy(40));
        for number in 0..16 {
            world.submit(&format!("{number:016x}"), "patient", "a", vec![step(12, 1, 20_000)]);
        }
        world.run(2_000);
        for number in 16..28 {
            let account = ["a", "b", "c", "d"][number % 4];
            let mut wide = step(2 + number as u32 % 3, [4, 8][number % 2], 3_000);
            wide.gang = true;
            world.submit(&format!("{number:016x}"), "urgent", account, vec![wide]);
            world.run(20);
        }
        world.run(150_000);
        world.check_ends();
    }
}

/// A new owner goes on with the runs that it finds: it used to hold them for strays, since the
/// directory told the start of the incarnation and the stored record did not.
#[test]
fn adopted_runs() {
    let mut world = World::new(3, 4, Faults::default(), policy(0));
    let id = world.submit("00000000000000bb", "patient", "a", vec![step(20, 1, 5_000)]);
    world.run(1_500);
    world.take_over(true);
    world.run(20_000);
    assert_eq!(world.shown(&id), JobState::Completed);
    assert_eq!(world.starts, 20, "each task ran once");
}

/// The state of a job that has ended is kept for as long as promised, and not much longer.
#[test]
fn kept_states() {
    let mut world = World::new(4, 2, Faults::default(), policy(0));
    let id = world.submit("00000000000000cc", "patient", "a", vec![step(2, 1, 500)]);
    world.run(5_000);
    assert_eq!(world.shown(&id), JobState::Completed);
    world.run(110_000);
    assert!(!world.forgotten.contains(&id));
    world.run(20_000);
    assert!(world.forgotten.contains(&id));
    // A read that began before the removal names the job once more.
    let starts = world.starts;
    world.name_again(&id);
    world.run(10_000);
    assert_eq!(world.starts, starts, "it does not run again");
}

/// A worker that answers no call until its runs are given up, and is listed all the while, used to be asked never again, and so got
/// no run for ever.
#[test]
fn returned_worker() {
    let mut world = World::new(5, 2, Faults::default(), policy(0));
    let first = world.submit("00000000000000dd", "patient", "a", vec![step(12, 1, 20_000)]);
    world.run(1_000);
    world.workers.get_mut(&worker_id(0)).expect("there").deaf = world.now + 15_000;
    world.run(60_000);
    assert_eq!(world.shown(&first), JobState::Completed);
    let mut wide = step(2, 8, 1_000);
    wide.gang = true;
    let second = world.submit("00000000000000de", "patient", "a", vec![wide]);
    world.run(20_000);
    assert_eq!(world.shown(&second), JobState::Completed);
}

/// Some workers leave every start and stop undone but answer renewals: gangs used to be placed on
/// them again and again, each for more than a second of waiting and with its sound members' work
/// thrown away.
#[test]
fn idle_workers() {
    let mut world = World::new(6, 24, Faults::default(), policy(0));
    for number in 0..12 {
        world.workers.get_mut(&worker_id(number * 2)).expect("there").idle = 40_000;
    }
    let mut ids = Vec::new();
    for number in 0..30 {
        let mut gang = step(4, 4, 1_500);
        gang.gang = true;
        ids.push(world.submit(&format!("{number:016x}"), "usual", "a", vec![gang]));
        world.run(1_000);
    }
    world.run(5_000);
    let done = ids.iter().filter(|id| world.shown(id) == JobState::Completed).count();
    assert!(done >= 27, "{done} of 30 gangs are done while half of the workers do nothing");
    // Each of the twelve is found out once: two tasks of a gang, four starts each.
    assert!(world.unheard <= 12 * 2 * 4, "{} starts went to them", world.unheard);
    world.run(60_000);
    world.check_ends();
    assert_eq!(world.usable(), 24, "all workers get work again once they carry out orders");
}

/// A third of the workers fail all that they start for a while: jobs used to spend all their
/// attempts on them and were shown as failed.
#[test]
fn failing_workers() {
    let mut lost = 0;
    for seed in 0..10 {
        let mut world = World::new(seed, 24, Faults::default(), policy(0));
        world.run(500);
        for number in 0..8 {
            world.workers.get_mut(&worker_id(number * 3)).expect("there").failing = 8_000;
        }
        let mut ids = Vec::new();
        for number in 0..24 {
            let mut gang = step(3, [2, 4][number % 2], 1_500);
            gang.gang = number % 3 != 0;
            ids.push(world.submit(&format!("{number:016x}"), "usual", "a", vec![gang]));
            world.run(300);
        }
        world.run(60_000);
        lost += ids.iter().filter(|id| world.shown(id) != JobState::Completed).count();
    }
    assert!(
        lost <= 2,
        "{lost} of 240 jobs were given up while two thirds of the workers are sound"
    );
}
