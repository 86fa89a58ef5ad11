//! Room on workers while places are looked for.

use std::sync::Arc;

use crate::Planner;
use crate::directory::Worker;
use crate::directory::WorkerInfo;
use crate::job::Stage;
use crate::spec::Need;
use crate::spec::StepSpec;
use crate::spec::WorkerId;
use model::Time;

/// A worker with room, as one search for places sees it.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub worker: WorkerId,
    pub info: Arc<WorkerInfo>,
    pub room: Need,
    /// Reserved room that is still in use.
    pub unfreed: Need,
    /// Tasks of the step at hand that were put here.
    pub step_tasks: u32,
    /// Whether it may be the cause of recent failures.
    pub suspect: bool,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether the step at hand may not run here for want of advice.
    pub barred: bool,
    /// Whether tasks with a target for their response times run here.
    pub has_target: bool,
    /// Whether tasks run here that take what processor time others leave.
    pub has_fillers: bool,
}

impl Slot {
    /// A worker with its present room.
    pub fn new(id: &WorkerId, worker: &Worker, now: Time) -> Slot {
        Slot {
            worker: id.clone(),
            info: Arc::clone(&worker.info),
            room: worker.room(),
            unfreed: Need::default(),
            step_tasks: 0,
            suspect: now < worker.suspect_until,
            incarnation: worker.incarnation,
            barred: false,
            has_target: false,
            has_fillers: false,
        }
    }

    /// Whether a task of `step` may run here, room aside.
    pub fn suits(&self, step: &StepSpec, service: &str) -> bool {
        !self.barred && self.suits_unbarred(step, service)
    }

    /// Whether a task of `step` may run here, room and advice aside.
    ///
    /// Tasks that fill slow those down that serve users of their own, so the two are kept apart.
    pub fn suits_unbarred(&self, step: &StepSpec, service: &str) -> bool {
        let disturbs = step.fills && self.has_target || step.target_ms > 0 && self.has_fillers;
        !disturbs
            && self.info.service == service
            && step.label.as_ref().is_none_or(|label| self.info.labels.contains(label))
    }

    /// Puts a task of `step` here.
    pub fn add_task(&mut self, step: &StepSpec) {
        self.room.remove(&step.need);
        self.step_tasks += 1;
        self.has_target |= step.target_ms > 0;
        self.has_fillers |= step.fills;
    }

    /// Sets room aside, some of which may still be in use.
    pub fn reserve(&mut self, need: &Need) {
        self.unfreed.add(&need.less(&self.room));
        self.room.remove(need);
    }

    /// Runs that are being stopped here pay what is owed.
    pub fn credit_stop(&mut self, need: &Need) {
        self.unfreed.remove(need);
    }

    /// Counts the room of runs that could be stopped here.
    pub fn release(&mut self, need: &Need) {
        let unfreed = self.unfreed;
        self.unfreed.remove(need);
        self.room.add(&need.less(&unfreed));
    }

    /// Whether another task of `step` fits.
    pub fn fits_task(&self, step: &StepSpec) -> bool {
        step.spread.is_none_or(|most| self.step_tasks < most) && step.need.fits(&self.room)
    }
}

impl Planner {
    /// Workers that take new runs, with what they have left beside reserved room.
    pub(crate) fn slots(&mut self, now: Time) -> Vec<Slot> {
        let mut slots: Vec<Slot> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.usable(now))
            .map(|(id, worker)| Slot::new(id, worker, now))
            .collect();
        for slot in slots.iter_mut().filter(|_| self.needs_isolation) {
            let keys = self.runs.get(&slot.worker).into_iter().flatten();
            for step in keys.filter_map(|key| self.step_spec(key)) {
                slot.has_target |= step.target_ms > 0;
                slot.has_fillers |= step.fills;
            }
        }
        self.reserving.retain(|id| {
            let Some(job) = self.jobs.get(id) else { return false };
            let mut any = false;
            for steps in &job.occurrences {
                for (spec, step) in job.spec.steps.iter().zip(steps) {
                    for task in &step.tasks {
                        let Stage::Reserved(worker) = &task.stage else { continue };
                        any = true;
                        if let Ok(at) = slots.binary_search_by(|slot| slot.worker.cmp(worker)) {
                            slots[at].reserve(&spec.need);
                            slots[at].has_target |= spec.target_ms > 0;
                            slots[at].has_fillers |= spec.fills;
                        }
                    }
                }
            }
            any
        });
        slots
    }
}
