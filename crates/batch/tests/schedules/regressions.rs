//! Regression tests for faults found elsewhere, each with a minimal schedule.

use crate::load::step;
use crate::worker::FakeWorker;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::worker_id;
use batch::JobState;
use batch::StartResult;

/// Guards against runs that are never given up when a worker goes away for good: each unanswered
/// renewal used to extend the time at which the worker's leases count as expired.
#[test]
fn worker_lost_renewing() {
    let mut world = World::new(1, 2, Faults::default(), policy(0));
    let id = world.submit("00000000000000aa", "patient", "a", vec![step(9, 1, 4_000)]);
    world.run(1_000);
    let fake = world.workers.get_mut(&worker_id(0)).expect("there");
    assert!(!fake.running.is_empty());
    fake.up = false;
    fake.running.clear();
    world.run(30_000);
    assert_eq!(world.stored_state(&id), JobState::Completed);
}

/// Guards the count of attempts: a failure on a worker that is unreachable until the run is given
/// up must still count once its end is reported.
#[test]
fn failure_after_loss() {
    let mut world = World::new(400_205, 24, Faults::all(), policy(48));
    crate::run_schedule(&mut world);
}

/// Guards against reserving the same capacity twice: in a burst of wide urgent jobs on full
/// workers, capacity being freed for one job was also counted for the next, and both waited for
/// ever.
#[test]
fn capacity_reserved_twice() {
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

/// Guards the adoption of runs by a new owner, which used to treat them as unknown: the directory
/// gave the start of the worker's incarnation and the stored record did not.
#[test]
fn adopted_runs() {
    let mut world = World::new(3, 4, Faults::default(), policy(0));
    let id = world.submit("00000000000000bb", "patient", "a", vec![step(20, 1, 5_000)]);
    world.run(1_500);
    world.take_over(true);
    world.run(20_000);
    assert_eq!(world.stored_state(&id), JobState::Completed);
    assert_eq!(world.starts, 20, "each task ran once");
}

/// The state of an ended job is kept for its retention time and not much longer.
#[test]
fn state_retention() {
    let mut world = World::new(4, 2, Faults::default(), policy(0));
    let id = world.submit("00000000000000cc", "patient", "a", vec![step(2, 1, 500)]);
    world.run(5_000);
    assert_eq!(world.stored_state(&id), JobState::Completed);
    world.run(110_000);
    assert!(!world.removed.contains(&id));
    world.run(20_000);
    assert!(world.removed.contains(&id));
    // A read of the store that began before the removal returns the job once more.
    let starts = world.starts;
    world.resend_accepted(&id);
    world.run(10_000);
    assert_eq!(world.starts, starts, "it does not run again");
}

/// Guards against a worker that is never used again: one that stayed listed but answered no call
/// until its runs were given up was sent no further renewal, and so got no runs for ever.
#[test]
fn silent_worker_returns() {
    let mut world = World::new(5, 2, Faults::default(), policy(0));
    let first = world.submit("00000000000000dd", "patient", "a", vec![step(12, 1, 20_000)]);
    world.run(1_000);
    world.workers.get_mut(&worker_id(0)).expect("there").deaf_until = world.now + 15_000;
    world.run(60_000);
    assert_eq!(world.stored_state(&first), JobState::Completed);
    let mut wide = step(2, 8, 1_000);
    wide.gang = true;
    let second = world.submit("00000000000000de", "patient", "a", vec![wide]);
    world.run(20_000);
    assert_eq!(world.stored_state(&second), JobState::Completed);
}

/// Guards against placing gangs repeatedly on workers that answer renewals but ignore starts and
/// stops. Each attempt cost more than a second of waiting and the work of the other members.
#[test]
fn workers_ignoring_orders() {
    let mut world = World::new(6, 24, Faults::default(), policy(0));
    for number in 0..12 {
        world.workers.get_mut(&worker_id(number * 2)).expect("there").idle_until = 40_000;
    }
    let mut ids = Vec::new();
    for number in 0..30 {
        let mut gang = step(4, 4, 1_500);
        gang.gang = true;
        ids.push(world.submit(&format!("{number:016x}"), "usual", "a", vec![gang]));
        world.run(1_000);
    }
    world.run(5_000);
    let done = ids.iter().filter(|id| world.stored_state(id) == JobState::Completed).count();
    assert!(done >= 27, "{done} of 30 gangs are done while half of the workers ignore orders");
    // Each of the twelve is detected once, at the cost of two gang tasks with four starts each.
    assert!(
        world.undelivered_starts <= 12 * 2 * 4,
        "{} starts were sent to workers that ignore them",
        world.undelivered_starts
    );
    world.run(60_000);
    world.check_ends();
    assert_eq!(world.usable(), 24, "all workers are usable again once they answer orders");
}

/// Guards against jobs that use up all their attempts on faulty workers and fail: a third of the
/// workers fail every run that they start for a while.
#[test]
fn failing_workers() {
    let mut lost = 0;
    for seed in 0..10 {
        let mut world = World::new(seed, 24, Faults::default(), policy(0));
        world.run(500);
        for number in 0..8 {
            world.workers.get_mut(&worker_id(number * 3)).expect("there").failing_until = 8_000;
        }
        let mut ids = Vec::new();
        for number in 0..24 {
            let mut gang = step(3, [2, 4][number % 2], 1_500);
            gang.gang = number % 3 != 0;
            ids.push(world.submit(&format!("{number:016x}"), "usual", "a", vec![gang]));
            world.run(300);
        }
        world.run(60_000);
        lost += ids.iter().filter(|id| world.stored_state(id) != JobState::Completed).count();
    }
    assert!(
        lost <= 2,
        "{lost} of 240 jobs were given up while two thirds of the workers are healthy"
    );
}

/// Guards against tasks that run on after their job was cancelled: the owner stored the job's end
/// and was replaced before its stops reached the workers.
#[test]
fn cancelled_before_takeover() {
    let mut world = World::new(7, 2, Faults::default(), policy(0));
    let id = world.submit("00000000000000df", "patient", "a", vec![step(12, 1, 60_000)]);
    world.run(1_000);
    for number in 0..2 {
        world.workers.get_mut(&worker_id(number)).expect("there").idle_until = world.now + 500;
    }
    world.cancel(&id);
    world.run(200);
    assert_eq!(world.stored_state(&id), JobState::Cancelled);
    world.take_over(false);
    world.run(3_000);
    let running = |fake: &FakeWorker| fake.running.keys().any(|task| task.job == id);
    assert!(!world.workers.values().any(running), "a task still runs");
}

/// Guards against a run that goes on although its worker has answered the stop: the worker restarts
/// and then carries out the former owner's start, which was in flight.
#[test]
fn restart_after_stop() {
    let mut world = World::new(7, 2, Faults::default(), policy(0));
    let id = world.submit("00000000000000df", "patient", "a", vec![step(1, 1, 60_000)]);
    world.run(1_000);
    let worker_of_job = |world: &World| {
        let runs = |fake: &FakeWorker| fake.running.keys().any(|task| task.job == id);
        world.workers.iter().find(|(_, fake)| runs(fake)).map(|(worker, _)| worker.clone())
    };
    let worker = worker_of_job(&world).expect("the task runs");
    let running = &world.workers[&worker].running;
    let (task, work) = running.first_key_value().expect("a run");
    let (task, mut work) = (task.clone(), work.clone());
    world.workers.get_mut(&worker).expect("there").idle_until = world.now + 500;
    world.cancel(&id);
    world.run(200);
    world.take_over(false);
    while worker_of_job(&world).is_some() {
        world.run(1);
    }
    // The end of the run has not been reported yet.
    let now = world.now;
    let fake = world.workers.get_mut(&worker).expect("there");
    fake.restart(now);
    work.since = now;
    assert_eq!(fake.start(now, 1, &task, 3_000, work), StartResult::Taken);
    world.run(2_500);
    assert_eq!(worker_of_job(&world), None, "the task still runs");
}

/// Guards against a gang that waits on a mostly free fleet: it needed whole workers, and all of
/// those were kept free for urgent jobs.
#[test]
fn whole_workers_withheld() {
    let mut world = World::new(8, 24, Faults::default(), policy(0));
    world.run(500);
    let mut urgent = step(5, 8, 3_000);
    urgent.gang = true;
    let first = world.submit("00000000000000e0", "urgent", "a", vec![urgent]);
    world.run(500);
    let mut apart = step(19, 1, 60_000);
    apart.spread = Some(1);
    world.submit("00000000000000e1", "patient", "a", vec![apart]);
    world.run(500);
    let mut wide = step(2, 8, 1_000);
    wide.gang = true;
    let second = world.submit("00000000000000e2", "usual", "a", vec![wide]);
    world.run(3_000);
    assert_eq!(world.stored_state(&first), JobState::Completed);
    world.run(3_000);
    assert_eq!(world.stored_state(&second), JobState::Completed);
}
