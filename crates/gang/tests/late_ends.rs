//! Tasks that ended without the owner having seen it yet: the end is noticed soon, and a stop sent
//! meanwhile does not undo it.

use std::time::Duration;

use gang::Event;
use gang::JobState;
use gang::LeaseReport;
use gang::Settings;
use gang::TaskReport;
use gang::TaskStatus;
use gang::Ticket;
use gang::WorkerReport;
use model::Adjacency;
use model::JobId;
use model::Verdict;
use trial::World;
use trial::sample::job;
use trial::sample::policy;
use trial::sample::shape;
use trial::sample::workers;

/// Time that is enough for leases, the write of the placement and the start.
const START_TIME: Duration = Duration::from_secs(1);

fn running(run: Duration) -> (World, JobId) {
    let mut world = World::new(1, Settings::default(), policy(), &workers(1));
    world.start_owner();
    world.run_for(START_TIME);
    let spec = job(1, "depot", shape(2, 8, Adjacency::Rack));
    let id = spec.id;
    world.submit(spec, run, true);
    world.run_for(START_TIME);
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Running, "{view:?}");
    (world, id)
}

#[test]
fn short_job_end() {
    let run = Duration::from_secs(3);
    let (mut world, id) = running(run);
    world.run_for(run + run / 2);
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Done, "{view:?}");
}

#[test]
fn end_before_stop() {
    let (mut world, id) = running(Duration::from_secs(600));
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    world.deliver(0, Event::Cancel { ticket: Ticket(77), job: id });
    for part in &view.parts {
        let task = |index| TaskReport {
            index,
            status: TaskStatus::Done,
            millicores: 0,
            memory_mib: 0,
            exit: Some(0),
        };
        let lease = LeaseReport {
            job: id,
            attempt: view.attempt,
            accelerators: part.accelerators.clone(),
            tasks: (part.first..part.first + part.tasks).map(task).collect(),
            checkpoint: None,
        };
        let report = WorkerReport { age: Duration::ZERO, leases: vec![lease] };
        world.deliver(0, Event::Report { worker: part.worker.clone(), report });
    }
    world.run_for(Duration::from_secs(10));
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!((view.state, view.verdict), (JobState::Done, Some(Verdict::Ran)), "{view:?}");
}
