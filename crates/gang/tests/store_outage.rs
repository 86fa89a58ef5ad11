//! Running jobs, submissions and ownership while the store is down or loses answers.

use std::time::Duration;

use gang::Event;
use gang::JobState;
use gang::Reply;
use gang::Settings;
use gang::Ticket;
use gang::WriteId;
use gang::WriteResult;
use model::Adjacency;
use model::Epoch;
use model::Verdict;
use trial::Faults;
use trial::World;
use trial::sample;

const SECOND: Duration = Duration::from_secs(1);

fn ready() -> World {
    let mut world = World::new(8, Settings::default(), sample::policy(), &sample::workers(2));
    world.start_owner();
    world.run_for(SECOND);
    world
}

#[test]
fn gangs_run_through_an_outage() {
    let mut world = ready();
    let spec = sample::job(1, "bank", sample::shape(8, 8, Adjacency::Rack));
    let id = spec.id;
    world.submit(spec, SECOND * 200, true);
    world.run_for(SECOND * 2);
    world.store.down_until = world.now + SECOND * 600;
    world.run_for(SECOND * 190);
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Running, "{view:?}");
    assert_eq!(world.histories[&id].starts.len(), 1);
    world.run_for(SECOND * 600);
    world.check_ends();
    assert_eq!(world.histories[&id].starts.len(), 1);
}

#[test]
fn durable_submission_is_refused_as_not_run() {
    let mut world = ready();
    world.store.down_until = world.now + SECOND * 60;
    let spec = sample::job(1, "bank", sample::shape(1, 1, Adjacency::Worker));
    let id = spec.id;
    world.submit(spec, SECOND, true);
    world.run_for(SECOND);
    let refused = Some(Verdict::NotRun);
    let verdict = match &world.histories[&id].reply {
        Some(Reply::Refused { verdict, .. }) => Some(*verdict),
        _ => None,
    };
    assert_eq!(verdict, refused);
    world.run_for(SECOND * 200);
    assert!(world.histories[&id].starts.is_empty());
    assert!(world.owners[0].shard.explain(id).is_none());
}

#[test]
fn volatile_submission_is_accepted_and_runs_later() {
    let mut world = ready();
    world.store.down_until = world.now + SECOND * 60;
    let spec = sample::job(1, "bank", sample::shape(1, 1, Adjacency::Worker));
    let id = spec.id;
    world.submit(spec, SECOND, false);
    world.run_for(SECOND * 30);
    assert_eq!(world.histories[&id].reply, Some(Reply::Accepted { durable: false }));
    assert!(world.histories[&id].starts.is_empty(), "it started without a stored placement");
    world.run_for(SECOND * 60);
    world.check_ends();
    let view = world.owners[0].shard.explain(id).expect("the job is known");
    assert_eq!(view.state, JobState::Done);
}

#[test]
fn lost_answers_are_settled_within_the_read_rate() {
    let mut world = ready();
    world.faults = Faults { lost_answer: 0.4, late_effect: 0.2, lost_message: 0.0 };
    for number in 0..400 {
        let spec = sample::job(number, "bank", sample::shape(1, 1, Adjacency::Worker));
        world.submit(spec, SECOND * 2, true);
        world.run_for(SECOND / 400);
    }
    world.run_for(SECOND * 60);
    world.faults = Faults::default();
    world.run_for(SECOND * 60);
    world.check_ends();
    assert!(!world.read_times.is_empty());
    let peak = world.read_times.iter().map(|from| {
        world.read_times.iter().filter(|time| **time >= *from && time.since(*from) < SECOND).count()
    });
    let peak = peak.max().unwrap_or(0);
    assert!(peak <= 1_000, "{peak} reads in one second");
    let ran = world.histories.values().filter(|history| history.finished.is_some()).count();
    assert_eq!(ran, 400);
}

#[test]
fn older_owner_is_fenced_by_the_page_version() {
    let mut world = ready();
    world.pause_owner(0, SECOND * 5);
    world.start_owner();
    world.run_for(SECOND * 10);
    let spec = sample::job(1, "bank", sample::shape(1, 1, Adjacency::Worker));
    let at = model::Stamp(1_700_000_000_000);
    world.deliver(0, Event::Submit { ticket: Ticket(5), job: spec, at, durable: true });
    world.run_for(SECOND);
    assert!(world.owners[0].shard.snapshot().fenced);
    assert!(!world.owners[1].shard.snapshot().fenced);
    assert!(world.owners[0].epoch < Epoch(2));
}

#[test]
fn answer_to_an_unknown_write_is_ignored() {
    let mut world = ready();
    let result = WriteResult::Committed { version: 99 };
    world.deliver(0, Event::Written { write: WriteId(3), result });
    world.run_for(SECOND);
    assert!(!world.owners[0].shard.snapshot().fenced);
}
