//! Preemption: stopping less urgent runs to free capacity for urgent steps.
//!
//! The choice of the runs is made by the crate `preempt`, which sees workers as sites and runs that
//! are stopped together as groups. With [`Planner::preempt_gangs`] a gang is one group; otherwise
//! each run is one, and a member costs as much as its whole gang.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::directory::millis;
use crate::job::Job;
use crate::job::Run;
use crate::job::Stage;
use crate::job::Step;
use crate::job::Task;
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
use preempt::Amount;
use preempt::Ending;
use preempt::Group;
use preempt::Loss;
use preempt::Plan;
use preempt::Request;
use preempt::Site;

/// Minimum time between attempts to preempt runs for the same step.
const RECLAIM_PAUSE: Duration = Duration::from_millis(200);

/// Progress that a long-running task reports once it has finished its startup, in percent.
const FULL_PROGRESS_PERCENT: u32 = 100;

/// Preemption data that the steps of one placement pass share, computed on first use.
#[derive(Debug, Default)]
pub(crate) struct Reclaim {
    guaranteed: Option<BTreeMap<JobId, u64>>,
    victims: BTreeMap<Rank, Victims>,
}

/// Runs that may be preempted for steps of one rank.
#[derive(Debug)]
struct Victims {
    groups: preempt::Victims<Need>,
    /// Each group's run, or a gang's first one, in ascending order.
    keys: Vec<TaskKey>,
}

impl Amount for Need {
    fn fits(&self, free: &Need) -> bool {
        Need::fits(self, free)
    }

    fn copies(&self, need: &Need) -> u64 {
        Need::copies(self, need)
    }

    fn add(&mut self, other: &Need) {
        Need::add(self, other);
    }

    fn less(&self, other: &Need) -> Need {
        Need::less(self, other)
    }
}

impl Planner {
    /// Sets whether gangs are preempted as a whole: their cost counts once, and the capacity that
    /// they free counts on all of their workers.
    pub fn preempt_gangs(&mut self, whole: bool) {
        self.whole_gangs = whole;
    }

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
        let request = Request {
            need: step.need,
            count: missing.len(),
            one_rack: step.gang && step.one_rack,
            rack: step.rack.as_deref(),
            avoid_suspects: step_state.avoids_suspects(now),
            // The start of guaranteed steps must not depend on an end that is only expected, and
            // another step must not wait again and again for a run that never ends.
            ending: match pending.rank == Rank::Guaranteed || step_state.end_missed {
                true => Ending::Stopped,
                false => Ending::Awaited,
            },
        };
        if !found.victims.contains_key(&pending.rank) {
            let guaranteed = found.guaranteed.get_or_insert_with(|| self.guaranteed());
            let victims = self.victims(now, pending.rank, guaranteed, slots);
            found.victims.insert(pending.rank, victims);
        }
        let Some(victims) = found.victims.get(&pending.rank) else { return };
        let sites: Vec<Site<'_, Need>> =
            slots.iter().map(|slot| site(slot, step, service)).collect();
        let plan = match self.whole_gangs {
            true => preempt::plan_groups(&sites, &victims.groups, &request),
            false => preempt::plan_runs(&sites, &victims.groups, &request),
        };
        let Some(plan) = plan else { return };
        self.carry_out(now, pending, &missing, &plan, slots, found);
    }

    /// Reserves the places of a plan and stops the runs that it names.
    fn carry_out(
        &mut self,
        now: Time,
        pending: &PendingStep,
        missing: &[u32],
        plan: &Plan,
        slots: &mut [Slot],
        found: &mut Reclaim,
    ) {
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        let need = job.spec.steps[pending.step].need;
        let step_state = &mut job.occurrences[pending.occurrence][pending.step];
        for (index, at) in missing.iter().zip(&plan.places) {
            step_state.tasks[*index as usize].stage = Stage::Reserved(slots[*at].worker.clone());
            slots[*at].reserve(&need);
        }
        self.reserving.insert(pending.job.clone());
        let Some(victims) = found.victims.get(&pending.rank) else { return };
        let keys: Vec<TaskKey> =
            plan.stopped.iter().map(|(group, _)| victims.keys[*group].clone()).collect();
        if !self.whole_gangs {
            // The capacity of these runs goes to this step and must not be counted for another.
            for (group, at) in &plan.stopped {
                let members = &victims.groups.group(*group).members;
                members.iter().for_each(|(_, need)| slots[*at].credit_stop(need));
            }
        }
        for victims in found.victims.values_mut() {
            for key in &keys {
                let Ok(group) = victims.keys.binary_search(key) else { continue };
                match self.whole_gangs {
                    true => victims.groups.mark_stopping(group),
                    false => victims.groups.remove(group),
                }
            }
        }
        let mut stopped: BTreeSet<TaskKey> = BTreeSet::new();
        for key in &keys {
            let members = self.whole_gangs.then(|| self.gang_members(key));
            stopped.extend(members.unwrap_or_else(|| vec![key.clone()]));
            self.stop_run(now, key);
        }
        let (job, tasks) = (pending.job.clone(), plan.places.len());
        let (stopped, cost) = (stopped.into_iter().collect(), plan.cost);
        self.out.push(Action::Note(Note::Reclaims { job, tasks, stopped, cost }));
        self.replan = true;
    }

    /// Whether a reservation of a step waits on for runs that were expected to end by themselves.
    /// `found` lists the tasks whose reserved capacity is free.
    pub(crate) fn missed_expected_end(
        &self,
        now: Time,
        pending: &PendingStep,
        reserved: &[(u32, WorkerId)],
        found: &Places,
    ) -> bool {
        let Some(job) = self.jobs.get(&pending.job) else { return false };
        let step_state = &job.occurrences[pending.occurrence][pending.step];
        if !self.whole_gangs || now <= step_state.reclaim_after + self.settings.stop {
            return false;
        }
        let is_stopping = |key: &TaskKey| {
            let run = self.task(key).and_then(run_of);
            run.is_some_and(|run| run.stopping.is_some())
        };
        reserved.iter().any(|(index, worker)| {
            let is_free = found.iter().any(|(free, _)| free == index);
            !is_free && !self.runs.get(worker).into_iter().flatten().any(is_stopping)
        })
    }

    /// Tasks whose runs are stopped together with that of `key`.
    fn gang_members(&self, key: &TaskKey) -> Vec<TaskKey> {
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        if !job.spec.steps[key.step as usize].gang {
            return vec![key.clone()];
        }
        let tasks = &job.occurrences[key.occurrence as usize][key.step as usize].tasks;
        let placed = (0u32..).zip(tasks).filter(|(_, task)| run_of(task).is_some());
        placed.map(|(index, _)| TaskKey { index, ..key.clone() }).collect()
    }

    /// Runs that may be preempted for a step of `rank`, within the disruption budgets.
    fn victims(
        &self,
        now: Time,
        rank: Rank,
        guaranteed: &BTreeMap<JobId, u64>,
        slots: &[Slot],
    ) -> Victims {
        let mut groups = Vec::new();
        let mut keys = Vec::new();
        for (id, job) in self.live.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            let priority = self.policy.queue(job).map_or(u32::MAX, |queue| queue.priority);
            let lower = match rank {
                Rank::Guaranteed => !guaranteed.contains_key(id),
                _ => priority > 0,
            };
            for (occurrence, steps) in (0u32..).zip(&job.occurrences) {
                for (step, step_state) in (0u32..).zip(steps) {
                    let key = StepKey { job: id.clone(), occurrence, step };
                    for indexes in self.stoppable(&key, job, step_state, lower) {
                        groups.push(self.group(
                            now,
                            &job.spec.steps[step as usize],
                            step_state,
                            &indexes,
                            slots,
                        ));
                        let (job, index) = (id.clone(), indexes[0]);
                        keys.push(TaskKey { job, occurrence, step, index });
                    }
                }
            }
        }
        Victims { groups: preempt::Victims::new(groups, slots.len()), keys }
    }

    /// Tasks of a step whose runs may be stopped, or are being stopped already, in groups that are
    /// stopped together.
    fn stoppable(&self, key: &StepKey, job: &Job, step_state: &Step, lower: bool) -> Vec<Vec<u32>> {
        let step = &job.spec.steps[key.step as usize];
        let mut placed: Vec<(u32, &Run)> = (0u32..)
            .zip(&step_state.tasks)
            .filter_map(|(index, task)| Some((index, run_of(task)?)))
            .collect();
        if placed.is_empty() {
            return Vec::new();
        }
        let mut left = match step.may_miss {
            0 => usize::MAX,
            _ if lower => self.disruptions_left(key) as usize,
            _ => 0,
        };
        if self.whole_gangs && step.gang {
            let going = placed.iter().filter(|(_, run)| run.stopping.is_none()).count();
            let stoppable = going == 0 || lower && going <= left;
            let indexes = placed.into_iter().map(|(index, _)| index);
            return stoppable.then(|| indexes.collect()).into_iter().collect();
        }
        if step.may_miss > 0 {
            placed.sort_by(|(_, a), (_, b)| a.worker.cmp(&b.worker));
        }
        placed.retain(|(_, run)| {
            let stoppable = run.stopping.is_some() || lower && left > 0;
            if stoppable && run.stopping.is_none() {
                left -= 1;
            }
            stoppable
        });
        placed.sort_by_key(|(index, _)| *index);
        placed.into_iter().map(|(index, _)| vec![index]).collect()
    }

    /// Describes the runs of some tasks of a step, which are stopped together.
    fn group(
        &self,
        now: Time,
        step: &StepSpec,
        step_state: &Step,
        indexes: &[u32],
        slots: &[Slot],
    ) -> Group<Need> {
        let tasks = indexes.iter().map(|&index| &step_state.tasks[index as usize]);
        let runs: Vec<&Run> = tasks.clone().filter_map(run_of).collect();
        let at = |run: &Run| slots.binary_search_by(|slot| slot.worker.cmp(&run.worker)).ok();
        let members = runs.iter().filter_map(|run| Some((at(run)?, step.need))).collect();
        let stopping = runs.iter().all(|run| run.stopping.is_some());
        if stopping {
            return Group { cost: 0, stopping, ending: false, members };
        }
        let whole = self.whole_gangs;
        let earlier = if whole { earlier_losses(tasks) } else { 0 };
        let counted = if step.gang && !whole { u64::from(step.count) } else { 1 };
        let loss = |run: &Run| Loss {
            worked_ms: if whole { worked_ms(now, run, step) } else { confirmed_ms(now, run) },
            checkpoints: step.checkpoints,
            estimate_ms: step.estimate_ms,
            earlier,
            weight: step.need.weight().saturating_mul(counted),
        };
        let costs = runs.iter().map(|run| loss(run).cost());
        let cost = costs.fold(0, u64::saturating_add);
        let ends_soon = |run: &&Run| {
            let left = if step.lasting || !whole { None } else { run.time_left(now) };
            left.is_some_and(|left| left <= self.settings.stop)
        };
        Group { cost, stopping, ending: runs.iter().all(ends_soon), members }
    }

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

/// A slot as the search sees it.
fn site<'s>(slot: &'s Slot, step: &StepSpec, service: &str) -> Site<'s, Need> {
    let room = step.spread.map_or(u32::MAX, |most| most.saturating_sub(slot.step_tasks));
    Site {
        free: slot.free,
        owed: slot.unfreed,
        room: if slot.suits(step, service) { room } else { 0 },
        rack: slot.info.rack.as_str(),
        suspect: slot.suspect,
        slow: slot.slow,
    }
}

/// The run of a task.
fn run_of(task: &Task) -> Option<&Run> {
    match &task.stage {
        Stage::Placed(run) => Some(run),
        _ => None,
    }
}

/// Time since this owner learned that a worker has a run, in ms.
fn confirmed_ms(now: Time, run: &Run) -> u64 {
    millis(now.since(run.confirmed.unwrap_or(now)))
}

/// Time for which a run has worked, in ms. Of a run that a former owner started, only the progress
/// is known.
fn worked_ms(now: Time, run: &Run, step: &StepSpec) -> u64 {
    let by_progress = match step.lasting {
        true => 0,
        false => step.estimate_ms.saturating_mul(u64::from(run.percent)) / 100,
    };
    confirmed_ms(now, run).max(by_progress)
}

/// Number of runs that some tasks lost without a failure of their own. It follows from the numbers
/// of the runs, which are stored, so that it outlives a takeover.
fn earlier_losses<'t>(tasks: impl Iterator<Item = &'t Task> + Clone) -> u64 {
    let highest = tasks.clone().map(|task| task.run).max().unwrap_or(0);
    let failures: BTreeSet<u32> = tasks.flat_map(|task| &task.failures).copied().collect();
    u64::from(highest.saturating_sub(1)).saturating_sub(failures.len() as u64)
}
