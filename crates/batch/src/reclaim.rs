//! Preemption: stopping less urgent runs to free capacity for urgent steps.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::directory::millis;
use crate::job::Stage;
use crate::order::PendingStep;
use crate::order::Rank;
use crate::place::Places;
use crate::room::Slot;
use crate::spec::JobId;
use crate::spec::Need;
use crate::spec::Spec;
use crate::spec::StepKey;
use crate::spec::StepSpec;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// Minimum time between attempts to preempt runs for the same step.
const RECLAIM_PAUSE: Duration = Duration::from_millis(200);
/// Maximum work that a checkpointing run loses when it is stopped, in ms: the time since its last
/// checkpoint. The users' checkpoint interval is a second or two.
const MAX_CHECKPOINT_LOSS_MS: u64 = 1_000;
/// Cost of each stop beside the lost work, in ms: starting the task again and restoring it.
const RESTART_COST_MS: u64 = 500;

/// Progress that a long-running task reports once it has finished its startup, in percent.
const FULL_PROGRESS_PERCENT: u32 = 100;

/// Preemption data that the steps of one placement pass share, computed on first use.
#[derive(Debug, Default)]
pub(crate) struct Reclaim {
    guaranteed: Option<BTreeMap<JobId, u64>>,
    victims: BTreeMap<Rank, Victims>,
}

/// Runs that may be preempted, by worker, the cheapest first.
type Victims = BTreeMap<WorkerId, Vec<Victim>>;

/// A run that may be preempted.
#[derive(Clone, Debug)]
struct Victim {
    key: TaskKey,
    need: Need,
    /// Cost of stopping it, in core-milliseconds; zero if it is being stopped already.
    cost: u64,
}

/// A set of runs to stop, with the placement that this makes possible.
#[derive(Clone, Debug)]
struct Preemption {
    cost: u64,
    places: Places,
    /// Runs to stop, with the index of the slot and the capacity that each frees.
    stopped: BTreeMap<TaskKey, (usize, Need)>,
}

impl Planner {
    /// Reserves capacity for an urgent step by stopping less urgent runs, with the least cost in
    /// lost work.
    pub(crate) fn reclaim(
        &mut self,
        now: Time,
        pending: &PendingStep,
        spec: &Spec,
        slots: &mut [Slot],
        service: &str,
        found: &mut Reclaim,
    ) {
        let step = &spec.steps[pending.step];
        if !found.victims.contains_key(&pending.rank) {
            let guaranteed = found.guaranteed.get_or_insert_with(|| self.guaranteed());
            let victims = self.victims(now, pending.rank, guaranteed);
            found.victims.insert(pending.rank, victims);
        }
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        let step_state = &mut job.occurrences[pending.occurrence][pending.step];
        if step_state.reclaim_after > now {
            return;
        }
        step_state.reclaim_after = now + RECLAIM_PAUSE;
        let missing: Vec<u32> = (0u32..)
            .zip(&step_state.tasks)
            .filter(|(_, task)| !task.done && task.stage == Stage::Idle)
            .map(|(index, _)| index)
            .collect();
        let Some(victims) = found.victims.get(&pending.rank) else { return };
        let avoid_suspects = step_state.avoids_suspects(now);
        let preemption =
            cheapest_preemption(slots, step, service, &missing, victims, avoid_suspects);
        let Some(preemption) = preemption else { return };
        for (index, at) in &preemption.places {
            let task = &mut step_state.tasks[*index as usize];
            task.stage = Stage::Reserved(slots[*at].worker.clone());
            slots[*at].reserve(&step.need);
        }
        self.reserving.insert(pending.job.clone());
        // The capacity of these runs goes to this step and must not be counted for another.
        for (at, need) in preemption.stopped.values() {
            slots[*at].credit_stop(need);
        }
        for list in found.victims.values_mut().flat_map(BTreeMap::values_mut) {
            list.retain(|victim| !preemption.stopped.contains_key(&victim.key));
        }
        for key in preemption.stopped.keys() {
            self.stop_run(now, key);
        }
        let (job, tasks) = (pending.job.clone(), preemption.places.len());
        let stopped = preemption.stopped.into_keys().collect();
        self.out.push(Action::Note(Note::Reclaims { job, tasks, stopped }));
        self.replan = true;
    }

    /// Runs that may be preempted for a step of `rank`, within the disruption budgets.
    fn victims(&self, now: Time, rank: Rank, guaranteed: &BTreeMap<JobId, u64>) -> Victims {
        let mut victims = Victims::new();
        let mut budgets: BTreeMap<StepKey, u32> = BTreeMap::new();
        for (worker, keys) in &self.runs {
            for key in keys {
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let priority = self.policy.queue(job).map_or(u32::MAX, |queue| queue.priority);
                let lower = match rank {
                    Rank::Guaranteed => !guaranteed.contains_key(&key.job),
                    _ => priority > 0,
                };
                let Some(Stage::Placed(run)) = self.task(key).map(|task| &task.stage) else {
                    continue;
                };
                if !lower && run.stopping.is_none() {
                    continue;
                }
                let step = &job.spec.steps[key.step as usize];
                if step.may_miss > 0 && run.stopping.is_none() {
                    let step = StepKey {
                        job: key.job.clone(),
                        occurrence: key.occurrence,
                        step: key.step,
                    };
                    let left =
                        budgets.entry(step).or_insert_with_key(|step| self.disruptions_left(step));
                    if *left == 0 {
                        continue;
                    }
                    *left -= 1;
                }
                let worked = millis(now.since(run.confirmed.unwrap_or(now)));
                let lost =
                    if step.checkpoints { worked.min(MAX_CHECKPOINT_LOSS_MS) } else { worked };
                let members = if step.gang { u64::from(step.count) } else { 1 };
                let cost = match run.stopping {
                    Some(_) => 0,
                    None => (lost + RESTART_COST_MS) * step.need.weight() * members / 1_000,
                };
                let victim = Victim { key: key.clone(), need: step.need, cost };
                victims.entry(worker.clone()).or_default().push(victim);
            }
        }
        for list in victims.values_mut() {
            list.sort_by(|a, b| (a.cost, &a.key).cmp(&(b.cost, &b.key)));
        }
        victims
    }
}

impl Planner {
    /// Disruption budget left for a step: how many more of its tasks may be stopped now.
    pub(crate) fn disruptions_left(&self, key: &StepKey) -> u32 {
        let Some(job) = self.jobs.get(&key.job) else { return 0 };
        let may_miss = job.spec.steps[key.step as usize].may_miss;
        let tasks = &job.occurrences[key.occurrence as usize][key.step as usize].tasks;
        let is_available = |stage: &Stage| {
            matches!(stage, Stage::Placed(run)
                if run.stopping.is_none() && run.percent >= FULL_PROGRESS_PERCENT)
        };
        let unavailable = tasks.iter().filter(|task| !is_available(&task.stage)).count();
        may_miss.saturating_sub(u32::try_from(unavailable).unwrap_or(u32::MAX))
    }
}

/// Finds the cheapest preemption for the missing tasks of a step, on unsuspected workers first.
fn cheapest_preemption(
    slots: &[Slot],
    step: &StepSpec,
    service: &str,
    missing: &[u32],
    victims: &Victims,
    avoid_suspects: bool,
) -> Option<Preemption> {
    let all: Vec<usize> = (0..slots.len()).filter(|&at| slots[at].suits(step, service)).collect();
    let unsuspected: Vec<usize> = all.iter().copied().filter(|&at| !slots[at].suspect).collect();
    let best = cheapest_among(slots, &unsuspected, step, missing, victims);
    if avoid_suspects || best.is_some() || unsuspected.len() == all.len() {
        return best;
    }
    cheapest_among(slots, &all, step, missing, victims)
}

/// Finds the cheapest preemption on some of the slots. A gang that should share a rack is placed on
/// a single rack if possible.
fn cheapest_among(
    slots: &[Slot],
    all: &[usize],
    step: &StepSpec,
    missing: &[u32],
    victims: &Victims,
) -> Option<Preemption> {
    let mut best: Option<Preemption> = None;
    if step.gang && step.one_rack {
        let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for &at in all {
            racks.entry(slots[at].info.rack.as_str()).or_default().push(at);
        }
        for group in racks.values() {
            if let Some(found) = cheapest_in_group(slots, group, step, missing, victims)
                && best.as_ref().is_none_or(|best| found.cost < best.cost)
            {
                best = Some(found);
            }
        }
    }
    best.or_else(|| cheapest_in_group(slots, all, step, missing, victims))
}

/// Places the missing tasks one by one on the slots of `group`, each where the runs to stop for it
/// cost least; `None` if a task cannot be placed.
fn cheapest_in_group(
    slots: &[Slot],
    group: &[usize],
    step: &StepSpec,
    missing: &[u32],
    victims: &Victims,
) -> Option<Preemption> {
    let mut trial_slots: Vec<(usize, Slot)> =
        group.iter().map(|&at| (at, slots[at].clone())).collect();
    let mut places = Places::new();
    let mut stopped: BTreeMap<TaskKey, (usize, Need)> = BTreeMap::new();
    let mut total = 0;
    for &index in missing {
        let mut best: Option<(u64, usize, Vec<&Victim>)> = None;
        for (number, (_, slot)) in trial_slots.iter().enumerate() {
            let mut left = slot.clone();
            let mut cost = 0;
            let mut chosen = Vec::new();
            let list = victims.get(&slot.worker).map_or(&[][..], Vec::as_slice);
            for victim in list.iter().filter(|victim| !stopped.contains_key(&victim.key)) {
                if left.fits_task(step) {
                    break;
                }
                left.release(&victim.need);
                cost += victim.cost;
                chosen.push(victim);
            }
            if left.fits_task(step) && best.as_ref().is_none_or(|best| cost < best.0) {
                best = Some((cost, number, chosen));
            }
        }
        let (cost, number, chosen) = best?;
        total += cost;
        let (at, slot) = &mut trial_slots[number];
        for victim in chosen {
            slot.release(&victim.need);
            stopped.insert(victim.key.clone(), (*at, victim.need));
        }
        slot.reserve(&step.need);
        slot.step_tasks += 1;
        places.push((index, *at));
    }
    Some(Preemption { cost: total, places, stopped })
}
