//! Tasks that crash every worker that starts them, ordinary crashes, and workers whose capacity
//! shrinks.

use crate::load::step;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::worker_id;
use batch::JobId;
use batch::JobState;
use batch::Need;
use batch::StepSpec;
use batch::TaskKey;
use batch::WorkerId;

/// Submits a job whose first task crashes every worker that starts it.
fn submit_crashing(world: &mut World, id: &str, steps: Vec<StepSpec>) -> JobId {
    let id = world.submit(id, "usual", "a", steps);
    world.jobs.get_mut(&id).expect("submitted").crashing = Some(0);
    id
}

fn steps_of(gang: bool) -> Vec<StepSpec> {
    let mut steps = vec![step(if gang { 3 } else { 1 }, 4, 2_000)];
    steps[0].gang = gang;
    steps
}

/// Worker that runs the task of a job with this index.
fn worker_of(world: &World, id: &JobId, index: u32) -> Option<WorkerId> {
    let task = TaskKey { job: id.clone(), occurrence: 0, step: 0, index };
    let mut workers = world.workers.iter();
    workers.find(|(_, fake)| fake.up && fake.running.contains_key(&task)).map(|(id, _)| id.clone())
}

/// Crashes the worker of a task a while after each start of it.
fn crash_late(world: &mut World, id: &JobId, index: u32, late: u64) {
    let mut tries = 0;
    let worker = loop {
        match worker_of(world, id, index) {
            Some(worker) => break worker,
            None => world.run(100),
        }
        tries += 1;
        assert!(tries < 300, "task {index} of {id} does not start");
    };
    world.run(late);
    if worker_of(world, id, index).as_ref() == Some(&worker) {
        world.crash(&worker, 3_000);
    }
}

/// Guards against a task that crashes one worker after another for ever.
#[test]
fn crash_budget() {
    for seed in 0..5 {
        for gang in [false, true] {
            let mut world = World::new(seed, 12, Faults::default(), policy(0));
            let id = submit_crashing(&mut world, "00000000000000c0", steps_of(gang));
            world.run(60_000);
            assert_eq!(world.stored_state(&id), JobState::Failed, "gang: {gang}");
        }
    }
}

/// Guards against a takeover that forgets how many workers a task has crashed.
#[test]
fn crash_takeovers() {
    for wait in [0, 2_500, 4_500] {
        for gang in [false, true] {
            let mut world = World::new(7, 12, Faults::default(), policy(0));
            let id = submit_crashing(&mut world, "00000000000000c1", steps_of(gang));
            let mut crashes = 0;
            for _ in 0..900 {
                world.run(100);
                if world.crashes_of(&id) > crashes {
                    crashes = world.crashes_of(&id);
                    world.run(wait);
                    world.take_over(false);
                }
            }
            assert_eq!(world.stored_state(&id), JobState::Failed, "gang: {gang}, wait: {wait}");
        }
    }
}

/// Guards the jobs of others on the workers that a task crashes.
#[test]
fn crash_bystanders() {
    for seed in 0..5 {
        let mut world = World::new(seed, 12, Faults::default(), policy(0));
        let mut ids = Vec::new();
        for number in 0..12 {
            ids.push(world.submit(
                &format!("{number:016x}"),
                "usual",
                "a",
                vec![step(4, 1, 6_000)],
            ));
        }
        world.run(1_000);
        let crashing = submit_crashing(&mut world, "00000000000000c2", steps_of(false));
        world.run(120_000);
        assert_eq!(world.stored_state(&crashing), JobState::Failed);
        for id in &ids {
            assert_eq!(world.stored_state(id), JobState::Completed, "{id} is an innocent job");
        }
    }
}

/// Guards long tasks against being blamed for ordinary crashes late in their runs.
#[test]
fn late_crashes() {
    for (seed, late) in [(0, 8_000), (1, 12_000), (2, 14_000)] {
        let mut world = World::new(seed, 12, Faults::default(), policy(0));
        let id = world.submit("00000000000000c3", "patient", "a", vec![step(1, 1, 30_000)]);
        for _ in 0..6 {
            crash_late(&mut world, &id, 0, late);
        }
        world.run(90_000);
        assert!(world.crashes_of(&id) >= 5, "{} crashes", world.crashes_of(&id));
        assert_eq!(world.stored_state(&id), JobState::Completed);
    }
}

/// Guards wide gangs, each of whose workers crashes once during its run.
#[test]
fn gang_crashes() {
    for seed in 0..3 {
        let mut world = World::new(seed, 12, Faults::default(), policy(0));
        let mut gang = step(6, 8, 30_000);
        gang.gang = true;
        let id = world.submit("00000000000000c4", "patient", "a", vec![gang]);
        for index in 0..6 {
            crash_late(&mut world, &id, index, 6_000);
            world.run(500);
        }
        assert_eq!(world.crashes_of(&id), 1, "each task lost its worker once");
        world.run(120_000);
        assert_eq!(world.stored_state(&id), JobState::Completed);
    }
}

/// Guards workers whose capacity shrinks below what is in use and grows again.
#[test]
fn shrunk_capacity() {
    for seed in 0..10 {
        let mut world = World::new(seed, 6, Faults::default(), policy(0));
        let whole = world.workers[&worker_id(0)].capacity;
        let small = Need { gpu: 2, ..whole };
        for second in 0..40 {
            let gpu = [1, 2, 4][second % 3];
            let mut spec = step(2 + second as u32 % 3, gpu, 3_000);
            spec.gang = second % 2 == 0;
            let queue = ["usual", "urgent", "patient"][second % 3];
            world.submit(&format!("{second:016x}"), queue, "b", vec![spec]);
            if second % 20 == 4 || second % 20 == 12 {
                let capacity = if second % 20 == 4 { small } else { whole };
                for number in 0..4 {
                    world.resize(&worker_id(number), capacity);
                }
            }
            world.run(1_000);
        }
        world.run(90_000);
        world.check_ends();
    }
}
