//! Free capacity of workers during placement.

use std::sync::Arc;

use crate::Planner;
use crate::directory::Worker;
use crate::directory::WorkerInfo;
use crate::job::Stage;
use crate::spec::Need;
use crate::spec::StepSpec;
use crate::spec::WorkerId;
use model::Time;

/// Capacity of a worker that is held for a wide step from a time on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    /// When the capacity is first needed.
    pub from: Time,
    /// The capacity.
    pub amount: Need,
    /// Free capacity for runs that go on after this time.
    pub beside: Need,
    /// Whether the runs of the current step go on after this time.
    pub binds: bool,
}

/// A worker with its free capacity during one placement pass.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub worker: WorkerId,
    pub info: Arc<WorkerInfo>,
    /// Free capacity beside reservations.
    pub free: Need,
    /// Reserved capacity that runs being stopped still use.
    pub unfreed: Need,
    /// Number of tasks of the current step here, for its spread limit.
    pub step_tasks: u32,
    /// Whether the worker may be the cause of recent failures.
    pub suspect: bool,
    /// Whether runs make less progress on the worker than elsewhere, or it did not answer lately, or
    /// it is cold or in a zone that opens again.
    pub slow: bool,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Whether the current step lacks a ticket of the advice service for this worker.
    pub barred: bool,
    /// Whether any run is placed here; only known while there are suspect tasks.
    pub occupied: bool,
    /// Whether it is kept free for urgent steps, which are placed before it is marked, or runs a
    /// suspect task.
    pub withheld: bool,
    /// Whether tasks with a latency target run here.
    pub has_target: bool,
    /// Whether filler tasks run here, which use only idle CPU time.
    pub has_fillers: bool,
    /// Capacity held for wide steps; see [`crate::reservations`].
    pub held: Option<Held>,
}

impl Slot {
    /// Creates a slot with the worker's current free capacity.
    pub fn new(id: &WorkerId, worker: &Worker, now: Time) -> Slot {
        Slot {
            worker: id.clone(),
            info: Arc::clone(&worker.info),
            free: worker.free_capacity(),
            unfreed: Need::default(),
            step_tasks: 0,
            suspect: now < worker.suspect_until,
            slow: worker.ranks_slow(now),
            incarnation: worker.incarnation,
            barred: false,
            occupied: false,
            withheld: false,
            has_target: false,
            has_fillers: false,
            held: None,
        }
    }

    /// Whether a task of `step` may run here, regardless of free capacity.
    pub fn suits(&self, step: &StepSpec, service: &str) -> bool {
        !self.barred && !self.withheld && self.suits_unbarred(step, service)
    }

    /// Whether a task of `step` may run here, regardless of free capacity and advice.
    ///
    /// Filler tasks slow down tasks with a latency target, so the two never share a worker.
    pub fn suits_unbarred(&self, step: &StepSpec, service: &str) -> bool {
        let disturbs = step.fills && self.has_target || step.target_ms > 0 && self.has_fillers;
        !disturbs
            && self.info.service == service
            && step.label.as_ref().is_none_or(|label| self.info.labels.contains(label))
    }

    /// Places a task of `step` here.
    pub fn add_task(&mut self, step: &StepSpec) {
        self.take_task(step);
        self.occupied = true;
        self.has_target |= step.target_ms > 0;
        self.has_fillers |= step.fills;
    }

    /// Takes the capacity of a task of `step`.
    pub fn take_task(&mut self, step: &StepSpec) {
        self.free.remove(&step.need);
        self.step_tasks += 1;
        if let Some(held) = self.held.as_mut().filter(|held| held.binds) {
            held.beside.remove(&step.need);
        }
    }

    /// Reserves capacity, some of which may still be in use by runs that are being stopped.
    pub fn reserve(&mut self, need: &Need) {
        self.unfreed.add(&need.less(&self.free));
        self.free.remove(need);
    }

    /// Counts a run that is being stopped here towards the reserved capacity still in use.
    pub fn credit_stop(&mut self, need: &Need) {
        self.unfreed.remove(need);
    }

    /// Whether another task of `step` fits within the free capacity and its spread limit.
    pub fn fits_task(&self, step: &StepSpec) -> bool {
        step.spread.is_none_or(|most| self.step_tasks < most)
            && step.need.fits(&self.free)
            && self.held.is_none_or(|held| !held.binds || step.need.fits(&held.beside))
    }
}

impl Planner {
    /// Workers that accept new runs, with their free capacity beside reservations.
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
        self.mark_occupied(&mut slots);
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
