//! Placements are adjacent and disjoint, and the guarantees of other accounts stay reclaimable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use gang::Event;
use gang::JobState;
use gang::Settings;
use model::Adjacency;
use model::GangShape;
use model::JobId;
use model::Priority;
use trial::World;
use trial::sample;

const SECOND: Duration = Duration::from_secs(1);

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        cases: 24,
        ..ProptestConfig::default()
    }
}

fn adjacency() -> impl Strategy<Value = Adjacency> {
    prop_oneof![
        Just(Adjacency::Worker),
        Just(Adjacency::Rack),
        Just(Adjacency::Racks),
        Just(Adjacency::Zone),
    ]
}

#[derive(Clone, Debug)]
struct JobRequest {
    shape: GangShape,
    account: usize,
    run: u64,
}

fn request() -> impl Strategy<Value = JobRequest> {
    (1_u32..20, 0_u32..9, adjacency(), 0_usize..4, 1_u64..60).prop_map(
        |(tasks, accelerators, adjacency, account, run)| JobRequest {
            shape: sample::shape(tasks, accelerators, adjacency),
            account,
            run,
        },
    )
}

fn ready(racks: u32) -> World {
    let mut world = World::new(4, Settings::default(), sample::policy(), &sample::workers(racks));
    world.start_owner();
    world.run_for(SECOND);
    world
}

/// Checks the number and the adjacency of a running gang's accelerators.
fn check_shape(world: &World, id: JobId, shape: &GangShape) {
    let holds = world.workers.values().filter(|worker| worker.leases.contains_key(&id));
    let holds: Vec<_> = holds.map(|w| (&w.info, w.leases[&id].accelerator_mask)).collect();
    let total: u32 = holds.iter().map(|(_, mask)| mask.count_ones()).sum();
    assert_eq!(total, shape.total_accelerators(), "job {id} has all its accelerators");
    let racks: BTreeSet<&str> = holds.iter().map(|(info, _)| info.rack.as_str()).collect();
    match shape.adjacency {
        Adjacency::Worker => assert!(holds.len() <= 1, "job {id} is on {} workers", holds.len()),
        Adjacency::Rack if shape.accelerators > 0 => {
            assert!(racks.len() <= 1, "job {id} is in {racks:?}");
            let slots: Vec<u32> = holds.iter().map(|(info, _)| info.slot).collect();
            assert!(slots.windows(2).all(|pair| pair[0] + 1 == pair[1]), "job {id}: {slots:?}");
        }
        Adjacency::Racks if shape.accelerators > 0 => {
            let mut numbers: Vec<u32> = racks.iter().filter_map(|r| r[1..].parse().ok()).collect();
            numbers.sort_unstable();
            let span = numbers.last().unwrap_or(&0) - numbers.first().unwrap_or(&0);
            assert!(span <= numbers.len() as u32, "job {id} is in {racks:?}");
        }
        _ => {}
    }
    for (info, mask) in &holds {
        if holds.len() == 1 && shape.adjacency == Adjacency::Worker && *mask != 0 {
            let run = mask >> mask.trailing_zeros();
            assert_eq!(run & (run + 1), 0, "job {id} on {} has {mask:b}", info.id);
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn gangs_are_placed_as_requested(requests in prop::collection::vec(request(), 1..40)) {
        let mut world = ready(3);
        let mut shapes = BTreeMap::new();
        for (number, request) in (0..).zip(&requests) {
            let account = ["mill", "depot", "bank", "field"][request.account];
            let spec = sample::job(number, account, request.shape);
            shapes.insert(spec.id, request.shape);
            world.submit(spec, Duration::from_secs(request.run), true);
        }
        for _ in 0..60 {
            world.run_for(SECOND);
            let shard = &world.owners[0].shard;
            let running = shapes.iter().filter(|(id, _)| {
                shard.explain(**id).is_some_and(|view| view.state == JobState::Running)
            });
            for (id, shape) in running {
                check_shape(&world, *id, shape);
            }
            let view = shard.snapshot();
            prop_assert!(view.guarantees.iter().all(|guarantee| guarantee.at_risk == 0));
        }
        world.run_for(Duration::from_secs(3_600));
        world.check_ends();
    }
}

#[test]
fn guarantee_is_reclaimed_from_borrowers() {
    let mut world = ready(2);
    for number in 0..16 {
        let mut spec = sample::job(number, "depot", sample::shape(1, 8, Adjacency::Worker));
        spec.priority = Priority::Urgent;
        world.submit(spec, Duration::from_secs(3_600), true);
    }
    world.run_for(SECOND * 3);
    assert_eq!(world.owners[0].shard.snapshot().free, 0);
    let spec = sample::job(100, "mill", sample::shape(8, 8, Adjacency::Rack));
    let id = spec.id;
    world.submit(spec, SECOND * 30, true);
    world.run_for(SECOND * 2);
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Running, "{view:?}");
    check_shape(&world, id, &sample::shape(8, 8, Adjacency::Rack));
}

#[test]
fn urgent_work_starts_within_two_seconds() {
    let mut world = ready(1);
    for number in 0..8 {
        let mut spec = sample::job(number, "depot", sample::shape(1, 8, Adjacency::Worker));
        spec.checkpoint = number % 2 == 0;
        world.submit(spec, Duration::from_secs(3_600), true);
    }
    world.run_for(SECOND * 60);
    let mut spec = sample::job(100, "bank", sample::shape(4, 8, Adjacency::Rack));
    spec.priority = Priority::Urgent;
    let id = spec.id;
    world.submit(spec, SECOND, true);
    world.run_for(SECOND * 3);
    let history = &world.histories[&id];
    let started = history.started.expect("the job ran").since(history.submitted);
    assert!(started <= SECOND * 2, "started after {started:?}");
}

#[test]
fn job_waits_with_a_reason() {
    let mut world = ready(1);
    for number in 0..8 {
        let spec = sample::job(number, "depot", sample::shape(1, 5, Adjacency::Worker));
        world.submit(spec, Duration::from_secs(600), true);
    }
    world.run_for(SECOND * 2);
    let spec = sample::job(100, "bank", sample::shape(1, 8, Adjacency::Worker));
    let id = spec.id;
    world.submit(spec, SECOND, true);
    world.run_for(SECOND);
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Queued);
    assert!(view.reason.contains("not adjacent"), "{}", view.reason);
}

#[test]
fn job_that_became_impossible_is_ended_with_the_reason() {
    let mut world = ready(2);
    let spec = sample::job(1, "bank", sample::shape(9, 8, Adjacency::Racks));
    let id = spec.id;
    world.submit(spec, Duration::from_secs(5_000), true);
    world.run_for(SECOND * 2);
    for worker in world.workers.values_mut().filter(|w| w.info.rack.as_str() == "r1") {
        worker.down = true;
        worker.unlisted = true;
        worker.leases.clear();
    }
    world.send_worker_list();
    world.run_for(SECOND * 60);
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert!(view.reason.contains("impossible with the present workers"), "{view:?}");
    world.run_for(SECOND * 600);
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Impossible, "{view:?}");
}

#[test]
fn leaving_worker_gets_no_new_work() {
    let mut world = ready(1);
    for worker in world.workers.values_mut().filter(|worker| worker.info.slot != 3) {
        worker.info.leaving = true;
    }
    let list = world.listed_workers();
    world.deliver(0, Event::Workers { list });
    for number in 0..4 {
        let spec = sample::job(number, "bank", sample::shape(1, 4, Adjacency::Worker));
        world.submit(spec, SECOND * 10, true);
    }
    world.run_for(SECOND * 2);
    let busy = world.workers.values().filter(|worker| !worker.leases.is_empty());
    let busy: Vec<u32> = busy.map(|worker| worker.info.slot).collect();
    assert_eq!(busy, [3]);
}
