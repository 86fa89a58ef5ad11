//! Placement of tasks on workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::directory::millis;
use crate::job::JobState;
use crate::job::Run;
use crate::job::Stage;
use crate::job::Step;
use crate::job::Task;
use crate::order::PendingStep;
use crate::order::Rank;
use crate::planner::task_mut;
use crate::reclaim::Reclaim;
use crate::reservations::PassReservations;
use crate::room::Slot;
use crate::spec::Need;
use crate::spec::Spec;
use crate::spec::StepSpec;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// How long a step waits for workers near its data before it is placed elsewhere, in percent of its
/// estimate.
const LOCALITY_WAIT_PERCENT: u64 = 100;
/// Time between placement passes while steps wait, since a locality wait may end.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Placement of a step's tasks: index of the task, index of the slot.
pub(crate) type Places = Vec<(u32, usize)>;

/// What a step requires of the workers in one placement pass.
struct Requirements {
    service: String,
    need: Need,
    label: Option<String>,
    /// Number of tasks that have to fit together; one for a step that is not a gang.
    count: u32,
    /// When its runs would be expected to end; shorter ones may fit before a reservation.
    ends: Time,
    /// Whether it avoids suspected workers.
    avoids_suspects: bool,
    /// Whether it avoids workers with latency targets.
    fills: bool,
    /// Whether it avoids workers with fillers.
    has_target: bool,
}

impl Requirements {
    fn new(step: &StepSpec, service: &str, ends: Time, avoids_suspects: bool) -> Requirements {
        Requirements {
            service: service.to_owned(),
            need: step.need,
            label: step.label.clone(),
            count: if step.gang { step.count } else { 1 },
            ends,
            avoids_suspects,
            fills: step.fills,
            has_target: step.target_ms > 0,
        }
    }

    /// Whether workers that do not meet these requirements do not meet `other` either.
    fn are_within(&self, other: &Requirements) -> bool {
        self.service == other.service
            && self.ends <= other.ends
            && self.need.fits(&other.need)
            && self.count <= other.count
            && (self.label.is_none() || self.label == other.label)
            && (!self.avoids_suspects || other.avoids_suspects)
            && (!self.fills || other.fills)
            && (!self.has_target || other.has_target)
    }
}

impl Planner {
    /// Places waiting steps in order of urgency, and preempts runs for the most urgent ones.
    pub(crate) fn place(&mut self, now: Time) {
        let pending_steps = self.pending_steps(now);
        if pending_steps.is_empty() {
            self.reservations.finish_pass(PassReservations::default(), &[]);
            return;
        }
        let mut slots = self.slots(now);
        // Requirements of steps that could not be placed fully.
        let mut unplaceable: Vec<Requirements> = Vec::new();
        let mut reclaim = Reclaim::default();
        let mut reserved = PassReservations::default();
        let mut waiting = false;
        let mut barred = false;
        let mut all_urgent = true;
        for pending in &pending_steps {
            let urgent = matches!(pending.rank, Rank::Guaranteed | Rank::Priority(0));
            if all_urgent && !urgent {
                all_urgent = false;
                self.withhold_suspected(&mut slots);
                self.keep_headroom(now, &pending_steps, &mut slots);
            }
            if self.finish_reserved(now, pending) {
                waiting = true;
                continue;
            }
            let Some(job) = self.jobs.get(&pending.job) else { continue };
            let spec = Arc::clone(&job.spec);
            let step = &spec.steps[pending.step];
            let step_state = &job.occurrences[pending.occurrence][pending.step];
            if step.gang && !step_state.idle() || !step_state.waiting() || step_state.is_held() {
                waiting |= !step_state.done();
                continue;
            }
            let queue = self.policy.queue(job);
            let Some((service, advised)) = queue.map(|q| (q.service.clone(), q.advised)) else {
                continue;
            };
            if advised || barred {
                self.bar_unadvised(now, &mut slots, pending, advised);
                barred = advised;
            }
            let ends = self.step_end(now, job, pending.step, &reserved);
            let avoids_suspects = step_state.avoids_suspects(now);
            let required = Requirements::new(step, &service, ends, avoids_suspects);
            let known = !advised && unplaceable.iter().any(|failed| failed.are_within(&required));
            if known && step_state.wait_noted && !urgent {
                waiting = true;
                self.reserve_ahead(now, pending, step, &mut slots, &mut reserved);
                continue;
            }
            let found = if known {
                Places::new()
            } else {
                reserved.bind(&mut slots, ends);
                count_step_tasks(&mut slots, step_state, step);
                let prefer_near = self.prefers_near(now, step_state, step);
                let find = if step.gang { gang_places } else { single_places };
                find(&mut slots, step_state, step, &service, prefer_near, avoids_suspects)
            };
            let missing =
                step_state.tasks.iter().filter(|task| !task.done && task.stage == Stage::Idle);
            let missing = missing.count() - found.len();
            if missing > 0 && !(advised || is_particular(step)) {
                unplaceable.push(required);
            }
            self.note_place(now, pending, &slots, found.len(), missing);
            self.assign(pending, &spec, &slots, &found);
            if missing > 0 {
                waiting = true;
                if advised {
                    self.ask_advice(now, pending, step, &slots);
                }
                if urgent {
                    self.reclaim(now, pending, &spec, &mut slots, &service, &mut reclaim);
                }
                self.reserve_ahead(now, pending, step, &mut slots, &mut reserved);
            }
        }
        self.reservations.finish_pass(reserved, &slots);
        if waiting {
            self.replan_at = self.replan_at.min(now + PLACEMENT_INTERVAL);
        }
    }

    /// Logs that tasks were placed, or that a step starts to wait.
    fn note_place(
        &mut self,
        now: Time,
        pending: &PendingStep,
        slots: &[Slot],
        tasks: usize,
        missing: usize,
    ) {
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        let age = millis(now.since(job.since));
        let step_state = &mut job.occurrences[pending.occurrence][pending.step];
        if tasks == 0 && step_state.wait_noted {
            return;
        }
        let (job, step, rank) = (pending.job.clone(), pending.step, format!("{:?}", pending.rank));
        if tasks > 0 {
            self.out.push(Action::Note(Note::Placed { job, step, tasks, missing, rank, age }));
        } else {
            step_state.wait_noted = true;
            let (usable, free) = (slots.len(), free_accelerators(slots));
            self.out.push(Action::Note(Note::Waits { job, step, missing, rank, usable, free }));
        }
    }

    /// Whether a step is still held back to wait for workers near its data.
    fn prefers_near(&self, now: Time, step_state: &Step, step: &StepSpec) -> bool {
        near_until(step_state, step).is_none_or(|end| now < end)
    }

    /// Creates runs for tasks on the workers found for them.
    fn assign(&mut self, pending: &PendingStep, spec: &Spec, slots: &[Slot], found: &Places) {
        if found.is_empty() {
            return;
        }
        let step = &spec.steps[pending.step];
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        let tasks = &job.occurrences[pending.occurrence][pending.step].tasks;
        let highest = tasks.iter().map(|task| task.run).max().unwrap_or(0);
        for (index, slot) in found {
            let (occurrence, step_number) = (pending.occurrence as u32, pending.step as u32);
            let key =
                TaskKey { job: pending.job.clone(), occurrence, step: step_number, index: *index };
            let id = slots[*slot].worker.clone();
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            worker.used.add(&step.need);
            let Some(task) = task_mut(job, &key) else { continue };
            task.run = if step.gang { highest + 1 } else { task.run + 1 };
            task.stage = Stage::Placed(Run::new(id.clone(), worker.incarnation));
            self.runs.entry(id).or_default().insert(key);
        }
        job.begun = true;
        if job.state == JobState::Pending {
            job.state = JobState::Running;
        }
        self.dirty.insert(pending.job.clone());
    }

    /// Places tasks whose reserved capacity has become free. Returns whether the step has
    /// reservations.
    fn finish_reserved(&mut self, now: Time, pending: &PendingStep) -> bool {
        if !self.reserving.contains(&pending.job) {
            return false;
        }
        let Some(job) = self.jobs.get(&pending.job) else { return false };
        let spec = Arc::clone(&job.spec);
        let step = &spec.steps[pending.step];
        let step_state = &job.occurrences[pending.occurrence][pending.step];
        let reserved: Vec<(u32, WorkerId)> = (0u32..)
            .zip(&step_state.tasks)
            .filter_map(|(index, task)| match &task.stage {
                Stage::Reserved(worker) => Some((index, worker.clone())),
                _ => None,
            })
            .collect();
        if reserved.is_empty() {
            return false;
        }
        let mut slots: Vec<Slot> = Vec::new();
        let mut found = Places::new();
        let mut lost = false;
        for (index, id) in &reserved {
            let Some(worker) = self.workers.get(id).filter(|worker| worker.usable(now)) else {
                lost = true;
                continue;
            };
            let at = slots.iter().position(|slot| slot.worker == *id).unwrap_or_else(|| {
                slots.push(Slot::new(id, worker, now));
                slots.len() - 1
            });
            if step.need.fits(&slots[at].free) {
                slots[at].free.remove(&step.need);
                found.push((*index, at));
            }
        }
        let end_missed_now = self.missed_expected_end(now, pending, &reserved, &found);
        if lost || end_missed_now {
            // A reserved worker has become unusable, or is not freed as expected: drop all
            // reservations of the step, so that the next pass places it again.
            let Some(job) = self.jobs.get_mut(&pending.job) else { return false };
            let step_state = &mut job.occurrences[pending.occurrence][pending.step];
            step_state.end_missed |= end_missed_now;
            for task in &mut step_state.tasks {
                if matches!(task.stage, Stage::Reserved(_)) {
                    task.stage = Stage::Idle;
                }
            }
            self.replan = true;
            return true;
        }
        if !step.gang || found.len() == reserved.len() {
            self.note_place(now, pending, &slots, found.len(), 0);
            self.assign(pending, &spec, &slots, &found);
        }
        true
    }
}

/// Up to when a step is held back to wait for workers near its data; `None` if it is not ready.
pub(crate) fn near_until(step_state: &Step, step: &StepSpec) -> Option<Time> {
    let patience =
        Duration::from_millis(step.estimate_ms.saturating_mul(LOCALITY_WAIT_PERCENT) / 100);
    step_state.ready_at.map(|since| since + patience)
}

/// Whether the racks or the spread of a step's tasks may keep it waiting, so that steps which need
/// more may fit.
fn is_particular(step: &StepSpec) -> bool {
    step.rack.is_some() || step.spread.is_some() || step.gang && step.one_rack
}

/// Free accelerators of some slots together.
fn free_accelerators<'s>(slots: impl IntoIterator<Item = &'s Slot>) -> u64 {
    slots.into_iter().fold(0, |sum, slot| sum.saturating_add(slot.free.gpu))
}

/// Counts the tasks of a step on each slot, if its spread is limited.
pub(crate) fn count_step_tasks(slots: &mut [Slot], step_state: &Step, step: &StepSpec) {
    if step.spread.is_none() {
        return;
    }
    for slot in slots.iter_mut() {
        slot.step_tasks = 0;
    }
    for task in &step_state.tasks {
        let worker = match &task.stage {
            Stage::Placed(run) => &run.worker,
            Stage::Reserved(worker) => worker,
            Stage::Idle => continue,
        };
        if let Ok(at) = slots.binary_search_by(|slot| slot.worker.cmp(worker)) {
            slots[at].step_tasks += 1;
        }
    }
}

/// Placement score of a slot; the lowest is best. It prefers workers without recent failures of
/// this or other tasks, and without any runs for a task that may crash its worker, then workers
/// that are not slow, then workers near the data, then the tightest fit.
type Score = (bool, bool, bool, u64, u64, u64);

fn placement_score(slot: &Slot, step: &StepSpec, task: &Task) -> Score {
    let shared = slot.occupied && task.is_suspect();
    let suspect = shared || slot.suspect || task.failed_on.as_ref() == Some(&slot.worker);
    let far = step.rack.as_ref().is_some_and(|rack| *rack != slot.info.rack);
    let left = slot.free.less(&step.need);
    (suspect, slot.slow, far, left.gpu, left.memory, left.cpu)
}

/// Finds the best slot for a task. The slot of the previous task is reused while a task still fits.
fn best_slot(
    slots: &[Slot],
    step: &StepSpec,
    task: &Task,
    last: Option<usize>,
    suits: impl Fn(&Slot) -> bool,
) -> Option<usize> {
    let picky = task.failed_on.is_some() || task.is_suspect();
    let again = last.filter(|&at| slots[at].fits_task(step) && !picky);
    again.or_else(|| {
        (0..slots.len())
            .filter(|&at| slots[at].fits_task(step) && suits(&slots[at]))
            .min_by_key(|&at| placement_score(&slots[at], step, task))
    })
}

/// Places as many waiting tasks of a step as fit.
fn single_places(
    slots: &mut [Slot],
    step_state: &Step,
    step: &StepSpec,
    service: &str,
    prefer_near: bool,
    avoid_suspects: bool,
) -> Places {
    let mut found = Places::new();
    let mut last: Option<usize> = None;
    for (index, task) in (0u32..).zip(&step_state.tasks) {
        if task.done || task.stage != Stage::Idle {
            continue;
        }
        let suits = |slot: &Slot| slot.suits(step, service) && !(avoid_suspects && slot.suspect);
        let best = best_slot(slots, step, task, last, suits);
        let Some(at) = best else { break };
        if prefer_near && step.rack.as_ref().is_some_and(|rack| *rack != slots[at].info.rack) {
            break;
        }
        slots[at].add_task(step);
        slots[at].withheld |= task.is_suspect();
        found.push((index, at));
        last = Some(at);
    }
    found
}

/// Places all tasks of a gang, or none. A single rack is preferred, the one with the least free
/// accelerators first.
fn gang_places(
    slots: &mut [Slot],
    step_state: &Step,
    step: &StepSpec,
    service: &str,
    prefer_near: bool,
    avoid_suspects: bool,
) -> Places {
    // Slots that fit no task at all are left out once instead of checked for each task.
    let mut all: Vec<usize> = (0..slots.len())
        .filter(|&at| slots[at].fits_task(step) && slots[at].suits(step, service))
        .collect();
    // If one member fails, the work of the whole gang is lost, and a gang is as slow as its slowest
    // member. So suspected workers are left out where the gang fits without them, and then slow
    // ones.
    let unsuspected: Vec<usize> = all.iter().copied().filter(|&at| !slots[at].suspect).collect();
    if avoid_suspects || pack(slots, &unsuspected, step_state, step).is_some() {
        all = unsuspected;
    }
    let brisk: Vec<usize> = all.iter().copied().filter(|&at| !slots[at].slow).collect();
    if pack(slots, &brisk, step_state, step).is_some() {
        all = brisk;
    }
    let racks: BTreeSet<String> = all.iter().map(|&at| slots[at].info.rack.clone()).collect();
    let mut best: Option<((bool, u64), Places)> = None;
    for rack in &racks {
        let far = step.rack.as_ref().is_some_and(|wanted| wanted != rack);
        if far && prefer_near {
            continue;
        }
        let group = all.iter().copied().filter(|&at| slots[at].info.rack == *rack);
        let group: Vec<usize> = group.collect();
        let Some(places) = pack(slots, &group, step_state, step) else { continue };
        let left = free_accelerators(group.iter().map(|&at| &slots[at]));
        if best.as_ref().is_none_or(|best| (far, left) < best.0) {
            best = Some(((far, left), places));
        }
    }
    if best.is_none() && !(step.one_rack && prefer_near) && (step.rack.is_none() || !prefer_near) {
        best = pack(slots, &all, step_state, step).map(|places| ((true, 0), places));
    }
    let Some((_, places)) = best else { return Places::new() };
    for (index, at) in &places {
        slots[*at].add_task(step);
        slots[*at].withheld |= step_state.tasks[*index as usize].is_suspect();
    }
    places
}

/// Places all tasks of a gang on a group of slots; `None` if they do not fit.
fn pack(slots: &[Slot], group: &[usize], step_state: &Step, step: &StepSpec) -> Option<Places> {
    let mut trial_slots: Vec<Slot> = group.iter().map(|&at| slots[at].clone()).collect();
    let mut places = Places::new();
    let mut last: Option<usize> = None;
    for (index, task) in (0u32..).zip(&step_state.tasks) {
        let best = best_slot(&trial_slots, step, task, last, |_| true)?;
        trial_slots[best].take_task(step);
        places.push((index, group[best]));
        last = Some(best);
    }
    Some(places)
}
