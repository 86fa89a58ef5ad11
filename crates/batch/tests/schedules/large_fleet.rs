//! Load patterns of fleets with hundreds of workers, where some are always slow or lost.

use crate::load::step;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::worker_id;
use batch::JobId;
use batch::JobState;
use batch::StepSpec;
use batch::TaskKey;

/// A gang of `count` tasks that each take a whole worker for a second.
fn wide_gang(count: u32) -> StepSpec {
    StepSpec { gang: true, ..step(count, 8, 1_000) }
}

/// Load: wide gangs, one worker of which crashes and stays away. The other members report that the
/// run has ended, so the gang starts again at once instead of after the lease of the lost worker.
#[test]
fn crashed_member() {
    let mut world = World::new(31, 8, Faults::default(), policy(0));
    let id = world.submit("00000000000000aa", "urgent", "a", vec![wide_gang(3)]);
    world.run(300);
    let (lost, _) = world.workers.iter().find(|(_, fake)| !fake.running.is_empty()).expect("runs");
    let lost = lost.clone();
    let fake = world.workers.get_mut(&lost).expect("there");
    fake.up = false;
    fake.running.clear();
    world.run(4_500);
    assert_eq!(world.stored_state(&id), JobState::Completed, "{}", world.trace.join("\n"));
}

/// Load: the same, but the worker is cut off and runs on. No member ends, so the gang is left alone
/// and completes without a second run.
#[test]
fn silent_member() {
    let mut world = World::new(32, 8, Faults::default(), policy(0));
    let id = world.submit("00000000000000ab", "urgent", "a", vec![wide_gang(3)]);
    world.run(300);
    let (cut, _) = world.workers.iter().find(|(_, fake)| !fake.running.is_empty()).expect("runs");
    let cut = cut.clone();
    world.workers.get_mut(&cut).expect("there").cut_until = world.now + 4_000;
    world.run(6_000);
    assert_eq!(world.stored_state(&id), JobState::Completed);
    assert_eq!(world.starts, 3, "each member ran once");
}

/// Load: a gang that fails everywhere, whose last failure happens behind a cut. Its attempts are
/// used up, so the broken members do not start a run more than the queue allows.
#[test]
fn last_failure_unseen() {
    for seed in 0..40 {
        let faults = Faults { failures: true, cuts: true, ..Faults::default() };
        let mut world = World::new(600_000 + seed, 12, faults, policy(0));
        for number in 0..12 {
            let count = 2 + number % 4;
            world.submit(&format!("{number:016x}"), "usual", "a", vec![wide_gang(count)]);
            world.run(700);
        }
        world.calm_from = 20_000;
        world.run(60_000);
        world.check_ends();
    }
}

/// Submits enough patient work to fill the fleet for a long time.
fn fill(world: &mut World) {
    for number in 0..20 {
        let backlog = step(150, 1, 2_500);
        world.submit(&format!("f{number:015x}"), "patient", "b", vec![backlog]);
    }
}

/// Load: a full fleet with a backlog of patient work, and a stream of short urgent gangs on whole
/// workers. What one leaves stays free for the next, so that only the first ones have to preempt.
#[test]
fn urgent_stream() {
    let mut world = World::new(33, 24, Faults::default(), policy(0));
    fill(&mut world);
    world.run(3_000);
    let mut ids: Vec<JobId> = Vec::new();
    for number in 0..20 {
        ids.push(world.submit(&format!("{number:016x}"), "urgent", "a", vec![wide_gang(2)]));
        world.run(500);
    }
    let reclaims = world.trace.iter().filter(|line| line.contains("Reclaims")).count();
    assert!(reclaims <= 8, "{reclaims} of {} urgent gangs preempted other work", ids.len());
    world.run(4_000);
    assert!(ids.iter().all(|id| world.stored_state(id) == JobState::Completed));
}

/// Load: the same backlog after the urgent work has ended. All capacity goes back to it.
#[test]
fn backlog_after_urgent() {
    let mut world = World::new(34, 24, Faults::default(), policy(0));
    fill(&mut world);
    world.run(3_000);
    for number in 0..4 {
        world.submit(&format!("{number:016x}"), "urgent", "a", vec![wide_gang(2)]);
    }
    world.run(12_000);
    let idle = world.workers.values().filter(|fake| fake.used().gpu < 8).count();
    assert!(idle <= 2, "{idle} of 24 workers have free accelerators beside a backlog");
}

/// Load: a third of the workers turn slow under patient work, and urgent gangs follow. The progress
/// of the patient tasks shows which workers are slow, so the gangs run on the others.
#[test]
fn slow_third() {
    let mut world = World::new(35, 24, Faults::default(), policy(0));
    for number in 0..6 {
        let wide = StepSpec { spread: Some(1), ..step(24, 1, 40_000) };
        world.submit(&format!("f{number:015x}"), "patient", "b", vec![wide]);
    }
    world.run(2_000);
    for number in 0..8 {
        world.workers.get_mut(&worker_id(number * 3)).expect("there").slow_until = 30_000;
    }
    world.run(5_000);
    let mut slow_starts = 0;
    for number in 0..10 {
        let gang = StepSpec { gang: true, ..step(3, 1, 1_000) };
        let id = world.submit(&format!("{number:016x}"), "urgent", "a", vec![gang]);
        world.run(600);
        let on_slow = |line: &&String| {
            let mut names = (0..8).map(|number| worker_id(number * 3).0);
            line.contains(&format!("start {id}")) && names.any(|name| line.contains(&*name))
        };
        slow_starts += world.trace.iter().filter(on_slow).count();
    }
    assert!(slow_starts <= 3, "{slow_starts} of 30 members were started on slow workers");
}

/// Guards against a worker's report taking the owner down: it may list a run of a step that the job
/// does not have, or of a job whose tasks are no longer kept.
#[test]
fn unknown_task_report() {
    let mut world = World::new(36, 4, Faults::default(), policy(0));
    let id = world.submit("00000000000000ac", "usual", "a", vec![step(3, 1, 4_000)]);
    world.run(500);
    for fake in world.workers.values_mut() {
        let Some((key, work)) = fake.running.iter().next() else { continue };
        let (key, work) = (key.clone(), work.clone());
        fake.running.insert(TaskKey { occurrence: 7, ..key.clone() }, work.clone());
        fake.running.insert(TaskKey { step: 9, ..key }, work);
    }
    world.run(2_500);
    for fake in world.workers.values_mut() {
        fake.running.retain(|key, _| key.occurrence == 0 && key.step == 0);
    }
    world.run(12_000);
    assert_eq!(world.stored_state(&id), JobState::Completed);
}
