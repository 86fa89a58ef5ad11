//! The owner of a shard crashes or pauses after each of the events of one scenario.

use std::time::Duration;

use gang::JobState;
use gang::Settings;
use model::Adjacency;
use trial::OwnerFault;
use trial::World;
use trial::sample::job;
use trial::sample::policy;
use trial::sample::shape;
use trial::sample::workers;

/// Runs a gang that may run only once, one that may run again and is preempted, the guaranteed gang
/// that preempts it, and a job that is cancelled, with the given fault of the owner.
fn scenario(fault: Option<OwnerFault>) -> World {
    let mut world = World::new(3, Settings::default(), policy(), &workers(2));
    world.owner_fault = fault;
    world.start_owner();
    world.run_for(Duration::from_millis(100));
    let mut once = job(1, "depot", shape(2, 8, Adjacency::Rack));
    once.idempotent = false;
    world.submit(once, Duration::from_secs(20), true);
    let again = job(2, "bank", shape(8, 8, Adjacency::Rack));
    world.submit(again, Duration::from_secs(30), true);
    world.run_for(Duration::from_millis(200));
    let guaranteed = job(3, "mill", shape(8, 8, Adjacency::Rack));
    world.submit(guaranteed, Duration::from_secs(10), true);
    let cancelled = job(4, "field", shape(1, 2, Adjacency::Worker));
    let id = cancelled.id;
    world.submit(cancelled, Duration::from_secs(500), true);
    world.run_for(Duration::from_secs(5));
    world.cancel(id);
    world.run_for(Duration::from_secs(900));
    world
}

fn die_after_each_event(sends_actions: bool, pause: Option<Duration>) {
    let steps = scenario(None).handled_events;
    assert!(steps > 50, "the scenario has only {steps} events");
    for after_events in 1..=steps {
        println!("after {after_events} of {steps} events");
        let mut world = scenario(Some(OwnerFault { after_events, sends_actions, pause }));
        cancel_unfinished(&mut world);
        world.check_gangs();
        world.check_ends();
    }
}

/// Cancels all unfinished jobs again, because the call to cancel may have been lost with the owner.
fn cancel_unfinished(world: &mut World) {
    let owner = &world.owners[world.last_owner()].shard;
    let running = |id: &model::JobId| owner.explain(*id).is_some_and(|v| !v.state.is_final());
    let ids: Vec<_> = world.histories.keys().copied().filter(running).collect();
    for id in ids {
        world.cancel(id);
    }
    world.run_for(Duration::from_secs(60));
}

#[test]
fn scenario_without_death() {
    let world = scenario(None);
    world.check_ends();
    let states = world.histories.keys().map(|id| world.owners[0].shard.explain(*id));
    let states: Vec<JobState> = states.flatten().map(|view| view.state).collect();
    let wanted = [JobState::Done, JobState::Done, JobState::Done, JobState::Cancelled];
    assert_eq!(states, wanted);
}

#[test]
fn dies_before_it_acts() {
    die_after_each_event(false, None);
}

#[test]
fn dies_after_it_acted() {
    die_after_each_event(true, None);
}

#[test]
fn pauses_until_its_leases_expired() {
    die_after_each_event(true, Some(Duration::from_secs(45)));
}

#[test]
fn pauses_briefly_while_a_new_owner_takes_over() {
    die_after_each_event(true, Some(Duration::from_millis(700)));
}
