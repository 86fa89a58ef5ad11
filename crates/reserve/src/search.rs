//! Search for the reservation that begins first.
//!
//! Capacity is taken in the order in which it becomes free. So a worker that is free already stays
//! in the reservation from one placement pass to the next, instead of being given up for one that
//! was expected to be free later and then is not.

use std::time::Duration;

use crate::Amount;
use model::Time;

/// Time until the first reservation begins at the earliest.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Capacity that becomes free when a run ends.
#[derive(Clone, Copy, Debug)]
pub struct Release<A> {
    /// When that is expected.
    pub at: Time,
    /// The capacity.
    pub amount: A,
}

/// Preference of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Nothing speaks against it.
    Sound,
    /// Runs are slow on it.
    Slow,
    /// It may be the cause of failures.
    Suspect,
}

/// A worker on which the step may run.
#[derive(Clone, Copy, Debug)]
pub struct Worker<'v, A> {
    /// Capacity that is free now, including what is held for earlier reservations.
    pub free: A,
    /// Capacity held for earlier reservations.
    pub held: A,
    /// Ends of the runs there, the first one first.
    pub releases: &'v [Release<A>],
    /// Index of its rack, from zero.
    pub rack: usize,
    /// Preference.
    pub tier: Tier,
    /// Maximum number of tasks of the step here.
    pub most: u32,
}

/// A step that waits for capacity.
#[derive(Clone, Copy, Debug)]
pub struct Demand<A> {
    /// What each task needs.
    pub need: A,
    /// Number of tasks.
    pub count: u32,
    /// Whether all tasks have to start at the same time.
    pub together: bool,
    /// The only rack that the step may use before `apart_from`; `None` for any.
    pub rack: Option<usize>,
    /// From when tasks may run on several racks, or far from `rack`.
    pub apart_from: Time,
    /// Worst workers that may be used.
    pub worst: Tier,
}

/// Tasks that are to start on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Index of the worker.
    pub worker: usize,
    /// Number of tasks.
    pub tasks: u32,
    /// When they are expected to start.
    pub at: Time,
}

/// Workers on which a step is expected to fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// When its last task is expected to start.
    pub begins: Time,
    /// Workers and tasks, each worker once for each time.
    pub holds: Vec<Hold>,
}

/// Finds the reservation that begins first for a step that does not fit now, but before `latest`.
/// Steps whose tasks start one by one get a reservation for those that start before then.
///
/// Slow and suspect workers are used, as far as the step allows them, if it does not fit without.
pub fn search<A: Amount>(
    now: Time,
    latest: Time,
    workers: &[Worker<'_, A>],
    demand: &Demand<A>,
) -> Option<Reservation> {
    let tiers = [Tier::Sound, Tier::Slow, Tier::Suspect];
    for tier in tiers.into_iter().filter(|tier| *tier <= demand.worst) {
        if tier > Tier::Sound && !workers.iter().any(|worker| worker.tier == tier) {
            continue;
        }
        let gains = gains(now, latest, workers, demand, tier);
        let found = match demand.together {
            true => gang_reservation(now, workers, demand, &gains),
            false => single_reservation(now, workers, demand, &gains),
        };
        if let Some(found) = found.filter(|found| found.begins <= latest) {
            return (found.begins > now).then_some(found);
        }
    }
    None
}

/// Free capacity of a worker at `at` that is not held for earlier reservations.
pub fn available_at<A: Amount>(worker: &Worker<'_, A>, at: Time) -> A {
    let mut sum = worker.free;
    for release in worker.releases.iter().take_while(|release| release.at <= at) {
        sum.add(&release.amount);
    }
    sum.less(&worker.held)
}

/// More tasks that fit on a worker from a time on.
#[derive(Clone, Copy, Debug)]
struct Gain {
    at: Time,
    worker: usize,
    tasks: u32,
}

/// Gains of all workers up to `tier` until `latest`, the first one first, and the largest one first
/// among those at the same time.
fn gains<A: Amount>(
    now: Time,
    latest: Time,
    workers: &[Worker<'_, A>],
    demand: &Demand<A>,
    tier: Tier,
) -> Vec<Gain> {
    let mut gains = Vec::new();
    for (index, worker) in workers.iter().enumerate().filter(|(_, worker)| worker.tier <= tier) {
        let most = u64::from(worker.most.min(demand.count));
        let mut sum = worker.free;
        let mut fitting = sum.less(&worker.held).copies(&demand.need).min(most);
        if fitting > 0 {
            gains.push(Gain { at: now, worker: index, tasks: fitting as u32 });
        }
        for release in worker.releases.iter().take_while(|release| release.at <= latest) {
            if fitting == most {
                break;
            }
            sum.add(&release.amount);
            let later = sum.less(&worker.held).copies(&demand.need).min(most);
            if later > fitting {
                let tasks = (later - fitting) as u32;
                // A run that has outlived its expected end frees nothing now.
                let at = release.at.max(now + MIN_WAIT);
                gains.push(Gain { at, worker: index, tasks });
                fitting = later;
            }
        }
    }
    gains.sort_unstable_by_key(|gain| (gain.at, std::cmp::Reverse(gain.tasks), gain.worker));
    gains
}

/// The first time at which all tasks fit, on a single rack if that is as early.
fn gang_reservation<A: Amount>(
    now: Time,
    workers: &[Worker<'_, A>],
    demand: &Demand<A>,
    gains: &[Gain],
) -> Option<Reservation> {
    let racks = workers.iter().map(|worker| worker.rack + 1).max().unwrap_or(0);
    let mut sums = vec![0_u32; racks];
    let mut sum = 0_u32;
    let mut best: Option<(Time, Option<usize>)> = None;
    let mut offer = |at: Time, rack: Option<usize>| {
        if best.is_none_or(|(first, only)| {
            at < first || at == first && only.is_none() && rack.is_some()
        }) {
            best = Some((at, rack));
        }
    };
    for gain in gains {
        let rack = workers[gain.worker].rack;
        let before = (sums[rack], sum);
        sums[rack] = sums[rack].saturating_add(gain.tasks);
        sum = sum.saturating_add(gain.tasks);
        if before.0 < demand.count && sums[rack] >= demand.count {
            let near = demand.rack.is_none_or(|wanted| wanted == rack);
            let from = if near { now } else { demand.apart_from };
            offer(gain.at.max(from), Some(rack));
        }
        if before.1 < demand.count && sum >= demand.count {
            offer(gain.at.max(demand.apart_from), None);
        }
    }
    let (begins, rack) = best?;
    let inside = |gain: &&Gain| rack.is_none_or(|rack| workers[gain.worker].rack == rack);
    let mut holds = take(gains.iter().filter(inside), demand.count);
    holds.iter_mut().for_each(|hold| hold.at = begins);
    Some(Reservation { begins, holds })
}

/// The first times at which tasks fit one by one.
fn single_reservation<A: Amount>(
    now: Time,
    workers: &[Worker<'_, A>],
    demand: &Demand<A>,
    gains: &[Gain],
) -> Option<Reservation> {
    let inside = |gain: &&Gain| {
        let rack = workers[gain.worker].rack;
        gain.at >= demand.apart_from || demand.rack.is_none_or(|wanted| wanted == rack)
    };
    let mut holds = take(gains.iter().filter(inside), demand.count);
    // What is free now was not usable for another reason, which holding it would not change.
    holds.retain(|hold| hold.at > now);
    let begins = holds.iter().map(|hold| hold.at).max()?;
    Some(Reservation { begins, holds })
}

/// Takes gains in their order for `count` tasks.
fn take<'g>(gains: impl Iterator<Item = &'g Gain>, count: u32) -> Vec<Hold> {
    let mut holds = Vec::new();
    let mut missing = count;
    for gain in gains {
        if missing == 0 {
            break;
        }
        let tasks = gain.tasks.min(missing);
        missing -= tasks;
        holds.push(Hold { worker: gain.worker, tasks, at: gain.at });
    }
    holds
}
