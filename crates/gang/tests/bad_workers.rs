//! Workers on which every job fails, jobs that fail on every worker, and tasks that use more than
//! their share.

use std::time::Duration;

use gang::Action;
use gang::Event;
use gang::JobState;
use gang::LeaseReport;
use gang::Settings;
use gang::TaskReport;
use gang::TaskStatus;
use gang::WorkerReport;
use model::Adjacency;
use model::JobId;
use model::Time;
use model::WorkerId;
use trial::World;
use trial::sample;

const SECOND: Duration = Duration::from_secs(1);

fn ready(racks: u32) -> World {
    let mut world = World::new(6, Settings::default(), sample::policy(), &sample::workers(racks));
    world.start_owner();
    world.run_for(SECOND);
    world
}

fn set_bad(world: &mut World, id: &str, bad: bool) {
    world.workers.get_mut(id).expect("the worker exists").always_fails = bad;
}

fn state(world: &World, id: JobId) -> JobState {
    world.owners[world.last_owner()].shard.explain(id).expect("the job is known").state
}

#[test]
fn worker_that_fails_everything_is_quarantined_and_probed() {
    let mut world = ready(1);
    set_bad(&mut world, "w0-0", true);
    for number in 0..60 {
        let spec = sample::job(number, "bank", sample::shape(1, 8, Adjacency::Worker));
        world.submit(spec, SECOND * 5, true);
        world.run_for(SECOND);
    }
    world.run_for(SECOND * 60);
    let view = world.owners[0].shard.snapshot();
    assert_eq!(view.quarantined, [WorkerId::new("w0-0")]);
    let ids: Vec<JobId> = world.histories.keys().copied().collect();
    assert!(ids.iter().all(|id| state(&world, *id) == JobState::Done));

    let starts_on_bad = |world: &World| {
        let starts = world.histories.values().flat_map(|history| history.starts.values());
        starts.filter(|workers| workers.contains("w0-0")).count()
    };
    assert!(starts_on_bad(&world) < 10, "{} starts on a bad worker", starts_on_bad(&world));

    set_bad(&mut world, "w0-0", false);
    for number in 100..600 {
        let spec = sample::job(number, "bank", sample::shape(1, 8, Adjacency::Worker));
        world.submit(spec, SECOND * 5, true);
        world.run_for(SECOND * 2);
    }
    let view = world.owners[0].shard.snapshot();
    assert!(view.quarantined.is_empty(), "{:?}", view.quarantined);
}

#[test]
fn quarantine_that_no_job_ends_does_not_starve_a_gang() {
    let mut world = ready(1);
    set_bad(&mut world, "w0-0", true);
    for number in 0..20 {
        let spec = sample::job(number, "bank", sample::shape(1, 8, Adjacency::Worker));
        world.submit(spec, SECOND * 5, true);
        world.run_for(SECOND);
    }
    world.run_for(SECOND * 60);
    let quarantined = |world: &World| world.owners[0].shard.snapshot().quarantined;
    assert_eq!(quarantined(&world), [WorkerId::new("w0-0")]);

    // The gang may run only once, so it must not probe the worker, and there is no other job to do
    // so.
    set_bad(&mut world, "w0-0", false);
    let mut spec = sample::job(100, "mill", sample::shape(8, 8, Adjacency::Rack));
    spec.idempotent = false;
    let id = spec.id;
    world.submit(spec, SECOND * 5, true);
    world.run_for(SECOND * 60);
    assert_eq!(state(&world, id), JobState::Queued);
    world.run_for(SECOND * 900);
    assert_eq!(state(&world, id), JobState::Done);
    assert!(quarantined(&world).is_empty());
}

#[test]
fn job_that_fails_everywhere_is_stopped_and_no_worker_blamed() {
    let mut world = ready(2);
    for number in 0..6 {
        let spec = sample::job(number, "bank", sample::shape(1, 4, Adjacency::Worker));
        let id = spec.id;
        world.submit(spec, SECOND, true);
        world.set_always_fails(id);
    }
    world.run_for(SECOND * 600);
    for id in world.histories.keys() {
        let view = world.owners[0].shard.explain(*id).expect("the job is known");
        assert_eq!(view.state, JobState::Failed, "{view:?}");
        assert!(view.reason.contains("different workers"), "{}", view.reason);
    }
    assert!(world.owners[0].shard.snapshot().quarantined.is_empty());
}

/// A report of a job's lease with one task.
fn report(id: JobId, world: &World, task: TaskReport) -> WorkerReport {
    let attempt = world.owners[0].shard.explain(id).expect("the job is known").attempt;
    let lease = LeaseReport {
        job: id,
        attempt,
        accelerators: vec![0],
        tasks: vec![task],
        checkpoint: None,
    };
    WorkerReport { age: Duration::ZERO, leases: vec![lease] }
}

fn running(world: &mut World) -> JobId {
    let spec = sample::job(1, "bank", sample::shape(1, 1, Adjacency::Worker));
    let id = spec.id;
    world.submit(spec, SECOND * 500, true);
    world.run_for(SECOND);
    assert_eq!(state(world, id), JobState::Running);
    id
}

fn handle(world: &mut World, now: Time, worker: WorkerId, report: WorkerReport) -> Vec<Action> {
    let mut out = Vec::new();
    world.owners[0].shard.handle(now, Event::Report { worker, report }, &mut out);
    out
}

#[test]
fn task_above_its_share_is_throttled() {
    let mut world = ready(1);
    let id = running(&mut world);
    let worker = world.owners[0].shard.workers_of(id)[0].clone();
    let mut task = TaskReport {
        index: 0,
        status: TaskStatus::Running,
        millicores: 1_050,
        memory_mib: 10,
        exit: None,
    };
    let within_share = report(id, &world, task.clone());
    let now = world.now;
    let throttles = |out: &[Action]| out.iter().any(|a| matches!(a, Action::Throttle { .. }));
    assert!(!throttles(&handle(&mut world, now, worker.clone(), within_share)));
    task.millicores = 4_000;
    let above_share = report(id, &world, task);
    assert!(throttles(&handle(&mut world, now, worker, above_share)));
    assert_eq!(state(&world, id), JobState::Running);
}

#[test]
fn memory_overrun_stops_the_gang_with_the_reason() {
    let mut world = ready(1);
    let id = running(&mut world);
    let worker = world.owners[0].shard.workers_of(id)[0].clone();
    let task = TaskReport {
        index: 0,
        status: TaskStatus::Overrun,
        millicores: 0,
        memory_mib: 9_000,
        exit: None,
    };
    let overrun = report(id, &world, task);
    let now = world.now;
    let out = handle(&mut world, now, worker, overrun);
    assert!(out.iter().any(|action| matches!(action, Action::Stop { .. })));
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Stopping);
    assert!(view.reason.contains("9000 MiB"), "{}", view.reason);
}
