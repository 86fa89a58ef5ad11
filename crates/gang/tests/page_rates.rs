//! Group commit bounds the number and size of page writes.

use std::time::Duration;

use gang::Reply;
use gang::Settings;
use model::Adjacency;
use model::Priority;
use model::Time;
use trial::World;
use trial::sample::job;
use trial::sample::policy;
use trial::sample::shape;
use trial::sample::workers;

const SECOND: Duration = Duration::from_secs(1);

/// Largest number of entries in any window of one second.
fn peak(times: &[Time]) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (last, time) in times.iter().enumerate() {
        while time.since(times[first]) >= SECOND {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

#[test]
fn burst_of_submissions_is_grouped() {
    let mut world = World::new(5, Settings::default(), policy(), &workers(16));
    world.start_owner();
    world.run_for(SECOND);
    for number in 0..5_050 {
        let large = number % 101 == 100;
        let account = ["mill", "depot", "bank", "field"][number as usize % 4];
        let tasks = if large { 64 } else { 1 };
        let adjacency = if large { Adjacency::Rack } else { Adjacency::Worker };
        let mut spec = job(number, account, shape(tasks, 1, adjacency));
        spec.priority = if number % 500 == 7 { Priority::Urgent } else { Priority::Normal };
        world.submit(spec, Duration::from_secs(10), true);
        world.run_for(SECOND / 5_050);
    }
    world.run_for(SECOND * 2);
    let accepted =
        |history: &&trial::JobHistory| history.reply == Some(Reply::Accepted { durable: true });
    assert_eq!(world.histories.values().filter(accepted).count(), 5_050);
    world.run_for(Duration::from_secs(600));
    world.check_ends();
    let writes = peak(&world.write_times);
    let reads = peak(&world.read_times);
    println!(
        "peak of {writes} writes/s and {reads} reads/s, values up to {}",
        world.store.largest_bytes
    );
    assert!(writes <= 300, "{writes} writes in one second");
    assert!(reads <= 1_000, "{reads} reads in one second");
    assert!(
        world.store.largest_bytes <= 1_000_000,
        "a value of {} bytes",
        world.store.largest_bytes
    );
}

#[test]
fn mass_cancellation_takes_few_writes() {
    let mut world = World::new(6, Settings::default(), policy(), &workers(1));
    world.start_owner();
    world.run_for(SECOND);
    for number in 0..1_000 {
        let spec = job(number, "bank", shape(1, 8, Adjacency::Worker));
        world.submit(spec, Duration::from_secs(10_000), true);
    }
    world.run_for(SECOND * 20);
    let before = world.write_times.len();
    let ids: Vec<_> = world.histories.keys().copied().collect();
    for id in ids {
        world.cancel(id);
    }
    world.run_for(SECOND * 20);
    world.check_ends();
    let writes = world.write_times.len() - before;
    assert!(writes <= 100, "{writes} writes for 1,000 cancellations");
}
