//! Failures that were found elsewhere, each as its shortest schedule.

use batch::JobState;

use crate::load::step;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::worker_id;

/// A worker leaves for good while its renewals go unanswered: each renewal that was sent in vain
/// used to push out the time at which its runs count as ended, so they never did.
#[test]
fn gone_worker() {
    let mut world = World::new(1, 2, Faults::default(), policy(0));
    let id = world.submit("00000000000000aa", "patient", "a", vec![step(9, 1, 4_000)]);
    world.run(1_000);
    let fake = world.workers.get_mut(&worker_id(0)).expect("there");
    assert!(!fake.running.is_empty());
    fake.up = false;
    fake.running.clear();
    world.run(30_000);
    assert_eq!(world.shown(&id), JobState::Completed);
}

/// A task fails on a worker that cannot be reached until the run is given up: the failure still
/// counts once its end is listed.
#[test]
fn late_failure() {
    let mut world = World::new(400_205, 24, Faults::all(), policy(48));
    crate::play_on(&mut world);
}
