//! Entries of the directory that another writer left or replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::load::step;
use crate::load::submission;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::settings;
use crate::world::worker_id;
use batch::Action;
use batch::Event;
use batch::JobId;
use batch::JobState;
use batch::Need;
use batch::Planner;
use batch::RenewalReport;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

const MAX_CAPACITY: Need = Need { cpu: u64::MAX, memory: u64::MAX, gpu: u64::MAX };

/// Guards against sums and products of capacities that overflow: more urgent, usual and wide work
/// than the workers hold, while two of them are listed with the largest numbers.
#[test]
fn largest_capacity() {
    let mut world = World::new(1, 8, Faults::default(), policy(48));
    for number in 0..2 {
        world.workers.get_mut(&worker_id(number)).expect("there").capacity = MAX_CAPACITY;
    }
    let mut ids = Vec::new();
    for number in 0..24 {
        let queue = ["urgent", "usual", "patient"][number % 3];
        let mut wide = step(2, [1, 4, 8][number % 3], 1_000);
        wide.gang = number % 2 == 0;
        wide.label = (number % 3 == 2 && number % 4 == 0).then(|| "b".to_owned());
        let fits = wide.label.is_none();
        let id = world.submit(&format!("{number:016x}"), queue, "a", vec![wide]);
        ids.extend(fits.then_some(id));
        world.run(300);
    }
    world.run(60_000);
    for id in ids {
        assert_eq!(world.stored_state(&id), JobState::Completed, "{id}");
    }
}

/// Guards against clocks of workers that overflow when the end of a lease is computed.
#[test]
fn largest_clock() {
    let world = World::new(4, 1, Faults::default(), policy(0));
    let entry = world.entry(&worker_id(0));
    let mut planner = Planner::new(settings(), Time::from_millis(1), Duration::ZERO);
    let report = |sent, clock| RenewalReport {
        sent: Time::from_millis(sent),
        clock,
        incarnation: world.workers[&worker_id(0)].incarnation,
        running: Vec::new(),
        ended: Vec::new(),
        truncated: false,
    };
    let submission = submission("usual", step(1, 1, 500));
    let events = [
        Event::Configured(Arc::new(policy(0))),
        Event::Listed(vec![entry]),
        Event::RestoreComplete,
        Event::Renewed(worker_id(0), report(3, u64::MAX)),
        Event::Accepted(JobId("00000000000000aa".into()), submission),
        Event::Tick,
        Event::Committed,
        Event::Renewed(worker_id(0), report(7, 1)),
        Event::RenewalFailed(worker_id(0)),
        Event::RenewalFailed(worker_id(0)),
        Event::Tick,
    ];
    let mut deadlines = Vec::new();
    for (number, event) in (1u64..).zip(events) {
        let now = number * 100;
        let actions = planner.handle(Time::from_millis(now), Stamp(now), event);
        deadlines.extend(actions.into_iter().filter_map(|action| match action {
            Action::Start { deadline, .. } => Some(deadline),
            _ => None,
        }));
    }
    assert_eq!(deadlines, [u64::MAX]);
}

/// Guards against a worker that is ignored until the next takeover, because an entry under its id
/// gave a later start than its own answers do.
#[test]
fn later_start() {
    let mut world = World::new(2, 2, Faults::default(), policy(0));
    let mut entry = world.entry(&worker_id(0));
    entry.incarnation = Some(u64::MAX);
    world.odd_entries.insert(worker_id(0), entry);
    world.take_over(false);
    world.run(2_000);
    world.odd_entries.clear();
    world.run(5_000);
    assert_eq!(world.usable(), 2, "a worker is not used though its entry is correct again");
}

/// Entries of workers that do not exist, with the largest or smallest value in each field, change
/// nothing for the others.
#[test]
fn absent_workers() {
    let mut world = World::new(3, 4, Faults::default(), policy(0));
    let names = ["", "i-0000 ", "a&b=%41", "\u{e9}\n", &"k".repeat(192)];
    for (number, name) in names.into_iter().enumerate() {
        let mut entry = world.entry(&worker_id(number % 4));
        entry.id = WorkerId(name.into());
        entry.capacity = if number % 2 == 0 { MAX_CAPACITY } else { Need::default() };
        entry.incarnation = [None, Some(0), Some(u64::MAX)][number % 3];
        entry.drain_left = (number == 1).then_some(Duration::MAX);
        entry.labels.clear();
        entry.rack.clear();
        if number == 2 {
            entry.address.set_port(0);
        }
        world.odd_entries.insert(entry.id.clone(), entry);
    }
    let id = world.submit("00000000000000aa", "usual", "a", vec![step(40, 1, 2_000)]);
    world.run(3_000);
    world.take_over(false);
    world.run(20_000);
    assert_eq!(world.stored_state(&id), JobState::Completed);
    assert_eq!(world.usable(), 4);
    assert_eq!(world.undelivered_starts, 0);
}

/// A world of four workers that run 16 tasks of about `estimate_ms`, and their job.
fn busy_workers(estimate_ms: u64) -> (World, JobId) {
    let mut world = World::new(5, 4, Faults::default(), policy(0));
    let mut apart = step(16, 1, estimate_ms);
    apart.spread = Some(6);
    let job = world.submit("00000000000000aa", "usual", "a", vec![apart]);
    world.run(1_500);
    assert_eq!(world.starts, 16);
    (world, job)
}

/// Replaces the entries of two workers, each by one with the address of the other.
fn swap_entries(world: &mut World, change: impl Fn(&mut WorkerInfo)) {
    for (id, other) in [(0, 1), (1, 0)].map(|(a, b)| (worker_id(a), worker_id(b))) {
        let address = world.entry(&other).address;
        let mut entry = WorkerInfo { address, ..world.entry(&id) };
        change(&mut entry);
        world.odd_entries.insert(id, entry);
    }
}

/// Guards against tasks that run twice: entries of another writer stated the addresses of other
/// workers, whose refusals of misdirected calls were taken as proof that the runs had ended.
#[test]
fn swapped_addresses() {
    let unnamed = |entry: &mut WorkerInfo| entry.service = "unnamed".to_owned();
    let older = |entry: &mut WorkerInfo| entry.incarnation = Some(1);
    let sound = |_: &mut WorkerInfo| {};
    let changes: [&dyn Fn(&mut WorkerInfo); 3] = [&unnamed, &older, &sound];
    for change in changes {
        for span in [1_500, 30_000] {
            let (mut world, job) = busy_workers(20_000);
            swap_entries(&mut world, change);
            world.run(span);
            world.odd_entries.clear();
            world.run(45_000);
            assert_eq!(world.stored_state(&job), JobState::Completed);
            assert_eq!(world.starts, 16, "each task ran once");
            assert_eq!(world.usable(), 4);
        }
    }
}

/// An entry whose service is not configured is logged once, and names no worker to use.
#[test]
fn unnamed_service() {
    let (mut world, _) = busy_workers(2_000);
    let entry = WorkerInfo { service: "unnamed".to_owned(), ..world.entry(&worker_id(0)) };
    world.odd_entries.insert(worker_id(0), entry);
    world.run(10_000);
    let logged = world.trace.iter().filter(|line| line.contains("IgnoresEntry"));
    assert_eq!(logged.count(), 1);
    assert_eq!(world.usable(), 3);
    world.odd_entries.clear();
    world.run(2_500);
    assert_eq!(world.usable(), 4);
}

/// Guards against workers that are lost because they keep being called where they answered before:
/// one that restarts under its id at another address is found there.
#[test]
fn moved_worker() {
    for busy in [true, false] {
        let (mut world, job) = busy_workers(if busy { 20_000 } else { 1_000 });
        if !busy {
            world.run(6_000);
            assert_eq!(world.stored_state(&job), JobState::Completed);
        }
        let now = world.now;
        world.workers.get_mut(&worker_id(0)).expect("there").restart(now);
        world.moved.insert(worker_id(0), SocketAddr::from(([10, 0, 0, 2], 8_000)));
        world.run(4_000);
        assert_eq!(world.usable(), 4, "busy: {busy}");
        world.run(45_000);
        assert_eq!(world.stored_state(&job), JobState::Completed);
    }
}

/// The runs of a worker whose address another one has taken are given up once its leases have
/// expired, and no earlier.
#[test]
fn taken_address() {
    let (mut world, job) = busy_workers(20_000);
    let address = world.entry(&worker_id(0)).address;
    world.workers.get_mut(&worker_id(0)).expect("there").cut_until = world.now + 1_000_000;
    world.moved.insert(worker_id(1), address);
    world.run(4_000);
    assert_eq!(world.starts, 16);
    world.run(60_000);
    assert_eq!(world.stored_state(&job), JobState::Completed);
    assert!(world.starts > 16, "{} starts", world.starts);
}
