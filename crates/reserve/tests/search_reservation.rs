//! Search for the reservation that begins first.

use std::time::Duration;

use model::Time;
use reserve::Amount;
use reserve::Demand;
use reserve::Hold;
use reserve::Release;
use reserve::Tier;
use reserve::Worker;
use reserve::search;

const NOW: Time = Time::from_millis(10_000);
const LATEST: Time = Time::from_millis(14_000);

/// Accelerators, the only resource of these tests.
#[derive(Clone, Copy, Debug, Default)]
struct Units(u64);

impl Amount for Units {
    fn copies(&self, need: &Units) -> u64 {
        self.0 / need.0
    }

    fn add(&mut self, other: &Units) {
        self.0 += other.0;
    }

    fn less(&self, other: &Units) -> Units {
        Units(self.0.saturating_sub(other.0))
    }
}

fn release(after: u64, units: u64) -> Release<Units> {
    Release { at: NOW + Duration::from_millis(after), amount: Units(units) }
}

fn worker(free: u64, rack: usize, releases: &[Release<Units>]) -> Worker<'_, Units> {
    let (free, held) = (Units(free), Units(0));
    Worker { free, held, releases, rack, tier: Tier::Sound, most: u32::MAX }
}

/// A gang of `count` tasks with eight accelerators each.
fn gang(count: u32) -> Demand<Units> {
    Demand {
        need: Units(8),
        count,
        together: true,
        rack: None,
        apart_from: NOW,
        worst: Tier::Suspect,
    }
}

/// Start after now in ms, and the workers that are held.
fn found(workers: &[Worker<'_, Units>], demand: &Demand<Units>) -> Option<(u128, Vec<usize>)> {
    let found = search(NOW, LATEST, workers, demand)?;
    let workers = found.holds.iter().map(|hold| hold.worker).collect();
    Some((found.begins.since(NOW).as_millis(), workers))
}

/// The gang begins when the last worker that it needs becomes free, and none beyond the bound.
#[test]
fn first_fit() {
    let ends = [release(900, 4), release(1_500, 4)];
    let late = [release(3_000, 8)];
    let workers = [worker(0, 0, &late), worker(0, 0, &ends), worker(8, 1, &[])];
    assert_eq!(found(&workers, &gang(2)), Some((1_500, vec![2, 1])));
    assert_eq!(found(&workers, &gang(3)), Some((3_000, vec![2, 1, 0])));
    assert_eq!(found(&workers, &gang(4)), None);
    let beyond = [release(4_001, 8)];
    assert_eq!(found(&[worker(0, 0, &beyond)], &gang(1)), None);
    let overdue = [Release { at: NOW, amount: Units(8) }];
    assert_eq!(found(&[worker(0, 0, &overdue)], &gang(1)), Some((1, vec![0])), "not free yet");
    assert_eq!(found(&workers, &gang(1)), None, "it fits now, so holding capacity changes nothing");
}

/// Guards against reservations that wait for each other: what one holds, a later one does not count
/// on, neither now nor when more becomes free.
#[test]
fn held_capacity() {
    let ends = [release(1_000, 8), release(2_000, 8)];
    let taken = Worker { held: Units(8), ..worker(0, 0, &ends) };
    assert_eq!(found(&[taken], &gang(1)), Some((2_000, vec![0])));
    let free = Worker { held: Units(8), ..worker(8, 0, &ends[..1]) };
    assert_eq!(found(&[free], &gang(1)), Some((1_000, vec![0])));
}

/// A gang that prefers one rack, or the rack with its data, gets other workers only from the time
/// at which it would accept them.
#[test]
fn rack_preference() {
    let (soon, late) = ([release(500, 8)], [release(2_500, 8)]);
    let workers = [worker(0, 0, &soon), worker(0, 1, &soon), worker(0, 1, &late)];
    assert_eq!(found(&workers, &gang(2)), Some((500, vec![0, 1])));
    let apart_from = NOW + Duration::from_millis(3_000);
    assert_eq!(found(&workers, &Demand { apart_from, ..gang(2) }), Some((2_500, vec![1, 2])));
    let apart_from = NOW + Duration::from_millis(1_000);
    let near = Demand { rack: Some(1), apart_from, ..gang(2) };
    assert_eq!(found(&workers, &near), Some((1_000, vec![0, 1])));
}

/// Slow workers and those that may be the cause of failures are used last, if at all.
#[test]
fn doubtful_workers() {
    let (soon, late) = ([release(500, 8)], [release(2_500, 8)]);
    let suspect = Worker { tier: Tier::Suspect, ..worker(0, 0, &soon) };
    let workers = [suspect, worker(0, 0, &late)];
    assert_eq!(found(&workers, &gang(1)), Some((2_500, vec![1])));
    assert_eq!(found(&workers, &gang(2)), Some((2_500, vec![0, 1])));
    assert_eq!(found(&workers, &Demand { worst: Tier::Slow, ..gang(2) }), None);
}

/// Tasks that start one by one are held for as far as they start within the bound, each from its
/// own time, and not more on a worker than the spread allows.
#[test]
fn single_tasks() {
    let ends = [release(1_000, 8), release(2_000, 8), release(9_000, 8)];
    let both = worker(0, 0, &ends);
    let demand = Demand { together: false, ..gang(5) };
    let hold = |after, tasks| Hold { worker: 0, tasks, at: NOW + Duration::from_millis(after) };
    let holds = |worker| search(NOW, LATEST, &[worker], &demand).map(|found| found.holds);
    assert_eq!(holds(both), Some(vec![hold(1_000, 1), hold(2_000, 1)]));
    assert_eq!(holds(Worker { most: 1, ..both }), Some(vec![hold(1_000, 1)]));
}
