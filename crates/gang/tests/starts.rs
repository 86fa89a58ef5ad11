//! Gangs start whole, run to their end and are reported as done; infeasible ones are refused.

use std::time::Duration;

use gang::JobState;
use gang::Reply;
use gang::Settings;
use model::Adjacency;
use trial::World;
use trial::sample::job;
use trial::sample::policy;
use trial::sample::shape;
use trial::sample::workers;

fn ready(racks: u32) -> World {
    let mut world = World::new(1, Settings::default(), policy(), &workers(racks));
    world.start_owner();
    world.run_for(Duration::from_secs(1));
    world
}

#[test]
fn gang_runs_whole() {
    let mut world = ready(2);
    let spec = job(1, "depot", shape(8, 8, Adjacency::Rack));
    let id = spec.id;
    world.submit(spec, Duration::from_secs(100), true);
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.histories[&id].reply, Some(Reply::Accepted { durable: true }));
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Running, "{view:?}");
    assert_eq!(world.workers.values().filter(|w| w.leases.contains_key(&id)).count(), 8);
    world.run_for(Duration::from_secs(120));
    world.check_ends();
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Done, "{view:?}");
    assert!(world.workers.values().all(|worker| worker.leases.is_empty()));
}

#[test]
fn many_jobs_of_all_shapes_end() {
    let mut world = ready(4);
    let shapes = [
        shape(1, 1, Adjacency::Worker),
        shape(1, 3, Adjacency::Worker),
        shape(4, 2, Adjacency::Worker),
        shape(6, 8, Adjacency::Rack),
        shape(16, 8, Adjacency::Racks),
        shape(20, 4, Adjacency::Zone),
        shape(3, 0, Adjacency::Zone),
    ];
    for (number, shape) in (0..140).zip(shapes.into_iter().cycle()) {
        let account = ["mill", "depot", "bank", "field"][number as usize % 4];
        world.submit(job(number, account, shape), Duration::from_secs(5 + number % 40), true);
    }
    world.run_for(Duration::from_secs(1_200));
    world.check_ends();
    for id in world.histories.keys() {
        let view = world.owners[0].shard.explain(*id).expect("the job is known");
        assert_eq!(view.state, JobState::Done, "{view:?}");
    }
}

#[test]
fn impossible_gangs_are_refused_at_once() {
    let mut world = ready(2);
    let shapes = [
        shape(2, 8, Adjacency::Worker),
        shape(1, 9, Adjacency::Worker),
        shape(9, 8, Adjacency::Rack),
        shape(17, 8, Adjacency::Racks),
        shape(0, 8, Adjacency::Zone),
    ];
    for (number, shape) in (0..).zip(shapes) {
        let spec = job(number, "depot", shape);
        let id = spec.id;
        world.submit(spec, Duration::from_secs(1), true);
        let reply = &world.histories[&id].reply;
        assert!(matches!(reply, Some(Reply::Refused { .. })), "{shape:?}: {reply:?}");
    }
}
