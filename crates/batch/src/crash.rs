//! Tasks that may crash the workers that start them.
//!
//! A worker that goes silent soon after a start may have been crashed by that run. Such a run is
//! recorded as a loss of its task. If another incarnation of the worker answers next, it has
//! crashed; if the same one answers, it was only out of reach, and the loss is dropped. All runs
//! that were started shortly before a crash are counted alike, so a task becomes suspect with its
//! second loss in a row and then gets a worker of its own where one is free. With the third loss
//! its job fails, or its step waits while it is not known whether the workers crashed. Losses are
//! part of the job's record, since the owner may be replaced between two of them.

use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::job::JobState;
use crate::job::Run;
use crate::job::Stage;
use crate::job::Step;
use crate::job::Task;
use crate::planner::task_mut;
use crate::record::Fate;
use crate::room::Slot;
use crate::spec::JobId;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// Number of lost workers in a row with which a task is not started again.
const MAX_LOSSES: usize = 3;
/// How many of these must have crashed for the job to fail.
const MIN_CRASHES: usize = 2;
/// Number of lost workers in a row with which a task is suspect. A rack or an availability zone
/// that goes away costs many tasks one worker each, and these need the remaining capacity.
const MIN_SUSPECT_LOSSES: usize = 2;
/// Time from the start of a run within which its worker's silence is a loss. Up to three seconds
/// pass before a silent worker is noticed. Workers crash for other reasons too, and a job that runs
/// for hours must outlive that.
const EARLY_LOSS_TIME: Duration = Duration::from_secs(7);
/// Time after which a loss is dropped if it is still not known whether the worker crashed: it may
/// have been removed.
const UNSETTLED_TIME: Duration = Duration::from_secs(30);

/// A run whose worker went silent soon after the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Loss {
    /// What is known of it.
    pub fate: Fate,
    /// When the loss was recorded, or restored by this owner.
    pub at: Time,
}

impl Run {
    /// Whether the run was started shortly before its worker went silent at `silent`.
    ///
    /// A worker that had missed a renewal before the start still started the run if it confirmed
    /// it.
    fn started_shortly_before(&self, silent: Time) -> bool {
        self.first_sent.is_some_and(|at| {
            (at <= silent || self.confirmed.is_some()) && silent <= at + EARLY_LOSS_TIME
        })
    }

    /// Whether the silence of its worker would no longer be a loss.
    fn is_established(&self, now: Time) -> bool {
        self.first_sent.is_some_and(|at| at + EARLY_LOSS_TIME < now)
    }
}

impl Task {
    /// Whether the task may be the cause of crashes.
    pub fn is_suspect(&self) -> bool {
        !self.done && self.losses.len() >= MIN_SUSPECT_LOSSES
    }
}

impl Step {
    /// Whether a task has lost so many workers that it waits until it is known what became of them.
    pub fn is_held(&self) -> bool {
        self.tasks.iter().any(|task| !task.done && task.losses.len() >= MAX_LOSSES)
    }
}

impl Planner {
    /// Records the current run of a task as a loss if its worker went silent soon after the start.
    ///
    /// `seen` is the incarnation of the worker that has answered since; `None` if none has.
    pub(crate) fn record_loss(&mut self, now: Time, key: &TaskKey, seen: Option<u64>) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = task_mut(job, key) else { return };
        let Stage::Placed(run) = &task.stage else { return };
        let Some(worker) = self.workers.get(&run.worker) else { return };
        // An earlier version's record does not name the incarnation.
        let incarnation = if run.incarnation > 0 { run.incarnation } else { worker.incarnation };
        let survived = incarnation == 0 || seen.is_some_and(|seen| seen <= incarnation);
        if task.done || survived || !run.started_shortly_before(worker.silent_since) {
            return;
        }
        // A draining worker goes away without a crash.
        if worker.drain_end.is_some() {
            return;
        }
        let id = run.worker.clone();
        let fate = match (run.confirmed, seen) {
            (None, _) => Fate::Doubtful,
            (Some(_), None) => Fate::Silent(id.clone(), incarnation),
            (Some(_), Some(_)) => Fate::Crashed,
        };
        self.out.push(Action::Note(Note::Loses {
            task: key.clone(),
            worker: id.clone(),
            fate: fate.clone(),
            losses: task.losses.len() + 1,
        }));
        if fate != Fate::Crashed {
            self.unsettled.insert(key.clone());
            self.silent_workers.entry(id).or_default().insert(key.clone());
        }
        task.losses.insert(task.run, Loss { fate, at: now });
        if task.is_suspect() {
            self.suspects.insert(key.clone());
        }
        self.dirty.insert(key.job.clone());
        self.fail_crashing_job(now, key);
    }

    /// Settles the losses on a worker whose incarnation `seen` has answered.
    pub(crate) fn settle_losses(&mut self, now: Time, id: &WorkerId, seen: u64) {
        let Some(keys) = self.silent_workers.remove(id) else { return };
        for key in keys {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let Some(task) = task_mut(job, &key) else { continue };
            task.losses.retain(|_, loss| match &loss.fate {
                Fate::Silent(worker, incarnation) if worker == id => seen > *incarnation,
                _ => true,
            });
            for loss in task.losses.values_mut() {
                if matches!(&loss.fate, Fate::Silent(worker, _) if worker == id) {
                    loss.fate = Fate::Crashed;
                }
            }
            self.dirty.insert(key.job.clone());
            self.replan = true;
            self.fail_crashing_job(now, &key);
        }
    }

    /// Silent workers that the directory no longer lists and whose address another one has.
    pub(crate) fn taken_addresses(&self) -> Vec<WorkerId> {
        let taken = |id: &&WorkerId| {
            let Some(silent) = self.workers.get(*id).filter(|silent| !silent.listed) else {
                return false;
            };
            let mut listed = self.workers.values().filter(|worker| worker.listed);
            listed.any(|worker| worker.info.address == silent.info.address)
        };
        self.silent_workers.keys().filter(taken).cloned().collect()
    }

    /// Clears the losses of a task whose run has gone on for a while.
    pub(crate) fn clear_losses(&mut self, now: Time, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = task_mut(job, key) else { return };
        let Stage::Placed(run) = &task.stage else { return };
        if !task.losses.is_empty() && run.is_established(now) {
            task.losses.clear();
            self.suspects.remove(key);
            self.dirty.insert(key.job.clone());
            self.replan = true;
        }
    }

    /// Restores the bookkeeping of the losses in a job's record.
    pub(crate) fn restore_losses(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.state.ended()) else { return };
        for (occurrence, steps) in (0u32..).zip(&job.occurrences) {
            for (step, tasks) in (0u32..).zip(steps) {
                for (index, task) in (0u32..).zip(&tasks.tasks) {
                    let key = TaskKey { job: id.clone(), occurrence, step, index };
                    for loss in task.losses.values() {
                        if loss.fate != Fate::Crashed {
                            self.unsettled.insert(key.clone());
                        }
                        if let Fate::Silent(worker, _) = &loss.fate {
                            let keys = self.silent_workers.entry(worker.clone()).or_default();
                            keys.insert(key.clone());
                        }
                    }
                    if task.is_suspect() {
                        self.suspects.insert(key);
                    }
                }
            }
        }
    }

    /// Drops losses that have not been settled in time.
    pub(crate) fn expire_losses(&mut self, now: Time) {
        let Planner { silent_workers, unsettled, jobs, dirty, replan, .. } = self;
        unsettled.retain(|key| {
            let task = jobs.get_mut(&key.job).and_then(|job| task_mut(job, key));
            let Some(task) = task else { return false };
            let before = task.losses.len();
            let settled = |loss: &Loss| loss.fate == Fate::Crashed;
            task.losses.retain(|_, loss| settled(loss) || now < loss.at + UNSETTLED_TIME);
            if task.losses.len() < before {
                dirty.insert(key.job.clone());
                *replan = true;
            }
            !task.losses.values().all(settled)
        });
        silent_workers.retain(|_, keys| {
            keys.retain(|key| unsettled.contains(key));
            !keys.is_empty()
        });
    }

    /// Fails the job of a task if it keeps crashing its workers.
    fn fail_crashing_job(&mut self, now: Time, key: &TaskKey) {
        let Some(losses) = self.task(key).map(|task| &task.losses) else { return };
        let crashes = losses.values().filter(|loss| loss.fate == Fate::Crashed).count();
        let ended = self.jobs.get(&key.job).is_none_or(|job| job.state.ended());
        if losses.len() >= MAX_LOSSES && crashes >= MIN_CRASHES && !ended {
            self.end_job(now, &key.job, JobState::Failed);
        }
    }

    /// Marks the slots that run any tasks, for suspect tasks to avoid.
    pub(crate) fn mark_occupied(&mut self, slots: &mut [Slot]) {
        let jobs = &self.jobs;
        self.suspects.retain(|key| {
            let Some(job) = jobs.get(&key.job).filter(|job| !job.state.ended()) else {
                return false;
            };
            job.task(key).is_some_and(Task::is_suspect)
        });
        if self.suspects.is_empty() {
            return;
        }
        for slot in slots.iter_mut() {
            slot.occupied = self.runs.get(&slot.worker).is_some_and(|keys| !keys.is_empty());
        }
    }

    /// Withholds the slots that run a suspect task from all others.
    pub(crate) fn withhold_suspected(&self, slots: &mut [Slot]) {
        for key in &self.suspects {
            let Some(Stage::Placed(run)) = self.task(key).map(|task| &task.stage) else { continue };
            if let Ok(at) = slots.binary_search_by(|slot| slot.worker.cmp(&run.worker)) {
                slots[at].withheld = true;
            }
        }
    }
}
