//! Evacuation of availability zones: their workers get no new runs.
//!
//! A worker of an evacuated zone is marked, and a marked worker is not usable. Its runs that it has
//! not confirmed are stopped and placed elsewhere; confirmed runs go on. Long-running tasks are
//! moved as far as their disruption budgets and the free capacity of other zones allow. Once the
//! evacuation is lifted, the workers open one after the other, so that load returns in steps.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Planner;
use crate::directory::Worker;
use crate::job::Stage;
use crate::place::count_step_tasks;
use crate::room::Slot;
use crate::spec::StepKey;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// Time over which the workers of a zone open again, and for which they rank as slow. Runs that
/// waited start within it, and workers that are cold after an evacuation have warmed up.
const REOPEN_TIME: Duration = Duration::from_millis(8_000);
/// Minimum time between passes that move long-running tasks: about the time that a stop takes, which
/// has to free a disruption budget before the next move.
const MOVE_INTERVAL: Duration = Duration::from_millis(250);

/// An evacuated availability zone, for metrics and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuatedZone {
    /// Name of the zone.
    pub zone: String,
    /// Number of its workers that are known.
    pub workers: usize,
    /// Number of runs left on them.
    pub runs: usize,
}

/// What a slot has to offer to a task, beside the limits of its step on spread and advice.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Demand {
    service: String,
    /// Whether the advice service decides about workers.
    advised: bool,
    label: Option<String>,
    /// Processor time, memory and accelerators.
    amount: (u64, u64, u64),
    /// Whether the task uses only idle processor time.
    fills: bool,
    /// Whether the task has a latency target.
    has_target: bool,
}

impl Worker {
    /// Whether it may get new runs as far as evacuations are concerned.
    pub fn is_open(&self, now: Time) -> bool {
        !self.evacuated && self.opens_at <= now
    }
}

impl Planner {
    /// Replaces the set of evacuated availability zones.
    pub(crate) fn set_evacuated(&mut self, now: Time, zones: BTreeSet<String>) {
        if self.evacuated == zones {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, zones);
        self.mark_evacuated(now);
        for zone in before.difference(&self.evacuated.clone()) {
            self.reopen(now, zone);
        }
        self.replan = true;
    }

    /// Evacuated availability zones.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Workers of evacuated availability zones, which get no starts.
    pub fn evacuated_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.iter().filter(|(_, worker)| worker.evacuated).map(|(id, _)| id)
    }

    /// State of each evacuated availability zone.
    pub fn evacuated_zones(&self) -> Vec<EvacuatedZone> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.evacuated) {
            let (workers, runs) = counts.entry(worker.info.zone.as_str()).or_default();
            *workers += 1;
            *runs += self.runs.get(id).map_or(0, BTreeSet::len);
        }
        let zone = |zone: &String| {
            let (workers, runs) = counts.get(zone.as_str()).copied().unwrap_or_default();
            EvacuatedZone { zone: zone.clone(), workers, runs }
        };
        self.evacuated.iter().map(zone).collect()
    }

    /// Marks the workers of evacuated zones, after the zones or the workers have changed, and stops
    /// the runs that the newly marked ones have not confirmed.
    pub(crate) fn mark_evacuated(&mut self, now: Time) {
        let mut closed = Vec::new();
        for (id, worker) in &mut self.workers {
            let inside = self.evacuated.contains(&worker.info.zone);
            if !std::mem::replace(&mut worker.evacuated, inside) && inside {
                closed.push(id.clone());
            }
        }
        for id in closed {
            self.stop_unstarted(now, &id);
        }
    }

    /// Stops the runs of a worker that it has not confirmed, with the rest of their gangs. Runs that
    /// were never sent are dropped without an order.
    fn stop_unstarted(&mut self, now: Time, id: &WorkerId) {
        let unstarted = |key: &&TaskKey| {
            let stage = self.task(key).map(|task| &task.stage);
            matches!(stage, Some(Stage::Placed(run))
                if run.confirmed.is_none() && run.stopping.is_none())
        };
        let keys: Vec<TaskKey> =
            self.runs.get(id).into_iter().flatten().filter(unstarted).cloned().collect();
        for key in keys {
            self.stop_run(now, &key);
        }
    }

    /// Opens the workers of a zone that is no longer evacuated one after the other, the warmest
    /// first.
    fn reopen(&mut self, now: Time, zone: &str) {
        let inside = self.workers.iter().filter(|(_, worker)| worker.info.zone == zone);
        let mut order: Vec<(Time, WorkerId)> =
            inside.map(|(id, worker)| (worker.cold_until.max(now), id.clone())).collect();
        order.sort();
        let count = u32::try_from(order.len()).unwrap_or(u32::MAX);
        for (number, (_, id)) in (0u32..).zip(order) {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            worker.opens_at = now + REOPEN_TIME * number / count;
            worker.reopening_until = now + REOPEN_TIME;
        }
    }

    /// Stops long-running tasks in evacuated zones for which other zones have room, within the
    /// disruption budgets of their steps. Steps without a budget are not moved.
    pub(crate) fn move_lasting(&mut self, now: Time) {
        if self.evacuated.is_empty() || now < self.moves_after {
            return;
        }
        self.moves_after = now + MOVE_INTERVAL;
        let (moving, movable) = self.lasting_runs();
        if movable.is_empty() {
            return;
        }
        let mut slots = self.slots(now);
        self.withhold_suspected(&mut slots);
        self.keep_headroom(now, &[], &mut slots);
        self.reservations.bind_lasting(&mut slots);
        for key in &moving {
            self.take_room(&mut slots, key);
        }
        let mut budgets: BTreeMap<StepKey, u32> = BTreeMap::new();
        // Slots only fill up during the pass, so what found no room finds none later. Searching again
        // for each of 1,000 tasks on 2,000 full workers took about 0.1 s.
        let mut without_room: BTreeSet<Demand> = BTreeSet::new();
        for key in movable {
            // An earlier move may have stopped the gang that this task belongs to.
            if self.is_stopping(&key) {
                continue;
            }
            let Some(step) = self.step_spec(&key) else { continue };
            let members = if step.gang { step.count } else { 1 };
            let step_key =
                StepKey { job: key.job.clone(), occurrence: key.occurrence, step: key.step };
            let left =
                budgets.entry(step_key).or_insert_with_key(|step| self.disruptions_left(step));
            if *left < members {
                continue;
            }
            let Some(demand) = self.demand(&key) else { continue };
            let (gang, spread) = (step.gang, step.spread);
            let found = !without_room.contains(&demand)
                && match gang {
                    true => self.take_gang_room(&mut slots, &key),
                    false => self.take_room(&mut slots, &key),
                };
            if found {
                *left -= members;
                self.stop_run(now, &key);
                continue;
            }
            // The other tasks of the step need the same.
            *left = 0;
            if !gang && spread.is_none() && !demand.advised {
                without_room.insert(demand);
            }
        }
    }

    /// What a slot has to offer to a task.
    fn demand(&self, key: &TaskKey) -> Option<Demand> {
        let job = self.jobs.get(&key.job)?;
        let queue = self.policy.queue(job)?;
        let step = self.step_spec(key)?;
        Some(Demand {
            service: queue.service.clone(),
            advised: queue.advised,
            label: step.label.clone(),
            amount: (step.need.cpu, step.need.memory, step.need.gpu),
            fills: step.fills,
            has_target: step.target_ms > 0,
        })
    }

    /// Takes room for the members of a gang that run on evacuated workers. Returns false, and takes
    /// none, if there is not enough for all.
    fn take_gang_room(&self, slots: &mut Vec<Slot>, key: &TaskKey) -> bool {
        let mut trial_slots = slots.clone();
        let mut members = self.evacuated_members(key).into_iter();
        let fits = members.all(|member| self.take_room(&mut trial_slots, &member));
        if fits {
            *slots = trial_slots;
        }
        fits
    }

    /// Long-running tasks with runs on evacuated workers: those that are being stopped, and those
    /// that could be.
    fn lasting_runs(&self) -> (Vec<TaskKey>, Vec<TaskKey>) {
        let workers = self.workers.iter().filter(|(_, worker)| worker.evacuated);
        let keys = workers.filter_map(|(id, _)| self.runs.get(id)).flatten();
        let lasting = keys.filter(|key| {
            let ended = self.jobs.get(&key.job).is_none_or(|job| job.state.ended());
            !ended && self.step_spec(key).is_some_and(|step| step.lasting)
        });
        lasting.cloned().partition(|key| self.is_stopping(key))
    }

    fn is_stopping(&self, key: &TaskKey) -> bool {
        let stage = self.task(key).map(|task| &task.stage);
        matches!(stage, Some(Stage::Placed(run)) if run.stopping.is_some())
    }

    /// The members of a gang that run on evacuated workers.
    fn evacuated_members(&self, key: &TaskKey) -> Vec<TaskKey> {
        let Some(step) = self.step_spec(key) else { return Vec::new() };
        let members = (0..step.count).map(|index| TaskKey { index, ..key.clone() });
        let is_inside = |key: &TaskKey| {
            let Some(Stage::Placed(run)) = self.task(key).map(|task| &task.stage) else {
                return false;
            };
            self.workers.get(&run.worker).is_some_and(|worker| worker.evacuated)
        };
        members.filter(is_inside).collect()
    }

    /// Takes room for a task on one of the slots. Returns false if none has any.
    fn take_room(&self, slots: &mut [Slot], key: &TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(queue) = self.policy.queue(job) else { return false };
        let step = &job.spec.steps[key.step as usize];
        let step_state = &job.occurrences[key.occurrence as usize][key.step as usize];
        count_step_tasks(slots, step_state, step);
        let denied = |slot: &Slot| {
            let worker = (slot.worker.clone(), slot.incarnation);
            queue.advised && step_state.denied.contains(&worker)
        };
        let found = slots.iter_mut().find(|slot| {
            !slot.withheld
                && slot.suits_unbarred(step, &queue.service)
                && slot.fits_task(step)
                && !denied(slot)
        });
        found.map(|slot| slot.add_task(step)).is_some()
    }
}
