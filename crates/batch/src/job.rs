//! Jobs, steps and tasks in memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::EnumString;

use crate::advice::Ticket;
use crate::record::Record;
use crate::record::TaskRecord;
use crate::spec::Spec;
use crate::spec::StepSpec;
use crate::spec::Submission;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// State of a job as callers are shown it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, AsRefStr, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Pending,
    /// Tasks run, or have run.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether nothing can change any more.
    pub fn ended(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }
}

/// A run on its worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Run {
    pub worker: WorkerId,
    /// Whether the store holds it.
    pub stored: bool,
    /// When a start was sent last; none before the first.
    pub start_sent: Option<Time>,
    /// Latest lease end that a start was sent with, in ms of the worker's clock.
    pub deadline: u64,
    /// When the worker said that it has the run; for a former owner's run, the takeover, since
    /// no start of a former owner is carried out after a call with a higher fencing token.
    pub confirmed: Option<Time>,
    /// Starts without an answer.
    pub unanswered_starts: u32,
    /// When a stop was first asked for.
    pub stopping: Option<Time>,
    /// When the last stop was sent.
    pub stop_sent: Option<Time>,
    /// When the worker answered a stop.
    pub stop_acked: Option<Time>,
    /// Last reported progress, with the time at which it last grew.
    pub percent: u32,
    pub progress_at: Time,
}

impl Run {
    /// A run that nobody has heard of yet.
    pub fn new(worker: WorkerId, now: Time) -> Run {
        Run {
            worker,
            stored: false,
            start_sent: None,
            deadline: 0,
            confirmed: None,
            unanswered_starts: 0,
            stopping: None,
            stop_sent: None,
            stop_acked: None,
            percent: 0,
            progress_at: now,
        }
    }
}

/// What a task is doing.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// It has no run.
    Idle,
    /// Room is being made for it on this worker.
    Reserved(WorkerId),
    /// It has a run.
    Placed(Run),
}

/// A task in memory.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub stage: Stage,
    /// Whether its work is done. A run may still be there, being stopped.
    pub done: bool,
    /// Highest run number given out.
    pub run: u32,
    /// Numbers of the runs that ended failed, for an end may be listed to several owners.
    pub failures: BTreeSet<u32>,
    pub saved: String,
    /// Worker on which it failed last.
    pub failed_on: Option<WorkerId>,
}

/// For how long a step with a failed run waits for workers that are not doubted; a job that runs
/// out of attempts is lost to its caller, one that waits is late at worst.
const AVOID_SUSPECTS_TIME: Duration = Duration::from_millis(4_000);

/// A step of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub tasks: Vec<Task>,
    /// When its turn came.
    pub ready_at: Option<Time>,
    /// Whether it is noted that the step waits.
    pub wait_noted: bool,
    /// Before this no room is made for it.
    pub reclaim_after: Time,
    /// When a run of it failed last.
    pub failed_at: Time,
    /// Leave of the advice service, by worker.
    pub tickets: BTreeMap<WorkerId, Ticket>,
    /// Incarnations of workers that the advice service has left out.
    pub denied: BTreeSet<(WorkerId, u64)>,
}

impl Step {
    pub fn done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// Whether any task waits for a place.
    pub fn waiting(&self) -> bool {
        self.tasks.iter().any(|task| !task.done && task.stage == Stage::Idle)
    }

    /// Whether a run failed lately, so that doubted workers are no place for the next.
    pub fn avoids_suspects(&self, now: Time) -> bool {
        self.failed_at != Time::ZERO && now < self.failed_at + AVOID_SUSPECTS_TIME
    }

    /// Whether no task has a run or room made for it.
    pub fn idle(&self) -> bool {
        self.tasks.iter().all(|task| task.stage == Stage::Idle)
    }
}

/// A job in memory.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub queue: String,
    pub account: Option<String>,
    pub spec: Arc<Spec>,
    pub cancelled: bool,
    pub begun: bool,
    pub state: JobState,
    /// Whether its end is stored and counts towards the time for which that is kept.
    pub end_stored: bool,
    /// When this owner counts its age from.
    pub since: Time,
    /// Occurrences that have come due.
    pub occurrences: Vec<Vec<Step>>,
}

impl Job {
    pub fn new(submission: &Submission, since: Time) -> Job {
        Job {
            queue: submission.queue.clone(),
            account: submission.account.clone(),
            spec: Arc::clone(&submission.spec),
            cancelled: submission.cancelled,
            begun: false,
            state: JobState::Pending,
            end_stored: false,
            since,
            occurrences: Vec::new(),
        }
    }

    /// Puts the stored state in force.
    pub fn restore(&mut self, record: &Record, now: Time) {
        self.state = record.state;
        self.begun = record.begun;
        let step = |tasks: &Vec<TaskRecord>| Step {
            tasks: tasks.iter().map(|task| restored(task, now)).collect(),
            ready_at: None,
            wait_noted: false,
            reclaim_after: Time::ZERO,
            failed_at: Time::ZERO,
            tickets: BTreeMap::new(),
            denied: BTreeSet::new(),
        };
        self.occurrences = record
            .occurrences
            .iter()
            .map(|occurrence| occurrence.iter().map(step).collect())
            .collect();
    }

    /// The next occurrence comes due.
    pub fn open_occurrence(&mut self) {
        let fresh = Task {
            stage: Stage::Idle,
            done: false,
            run: 0,
            failures: BTreeSet::new(),
            saved: String::new(),
            failed_on: None,
        };
        let steps = self.spec.steps.iter();
        let step = |step: &StepSpec| Step {
            tasks: vec![fresh.clone(); step.count as usize],
            ready_at: None,
            wait_noted: false,
            reclaim_after: Time::ZERO,
            failed_at: Time::ZERO,
            tickets: BTreeMap::new(),
            denied: BTreeSet::new(),
        };
        let steps = steps.map(step);
        self.occurrences.push(steps.collect());
    }

    /// Whether the steps before `step` of `occurrence` are done.
    pub fn is_ready(&self, occurrence: usize, step: usize) -> bool {
        let steps = &self.occurrences[occurrence];
        self.spec.steps[step].after.iter().all(|&before| steps[before as usize].done())
    }

    /// Whether a run of a task is on a worker, as far as is known.
    pub fn has_run(&self, key: &TaskKey, number: u32, worker: &WorkerId) -> bool {
        let step = self
            .occurrences
            .get(key.occurrence as usize)
            .and_then(|steps| steps.get(key.step as usize));
        let task = step.and_then(|step| step.tasks.get(key.index as usize));
        task.is_some_and(|task| {
            task.run == number && matches!(&task.stage, Stage::Placed(run) if run.worker == *worker)
        })
    }

    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.occurrences.iter().flatten().flat_map(|step| &step.tasks)
    }

    /// Whether any run may still be on a worker.
    pub fn has_runs(&self) -> bool {
        self.tasks().any(|task| matches!(task.stage, Stage::Placed(_)))
    }

    /// What the store has to hold.
    pub fn record(&self) -> Record {
        let occurrences = if self.state.ended() && !self.has_runs() {
            Vec::new()
        } else {
            let step = |step: &Step| step.tasks.iter().map(task_record).collect();
            self.occurrences
                .iter()
                .map(|occurrence| occurrence.iter().map(step).collect())
                .collect()
        };
        Record { state: self.state, begun: self.begun, occurrences }
    }
}

fn restored(record: &TaskRecord, now: Time) -> Task {
    let stage = match &record.place {
        None => Stage::Idle,
        Some(worker) => Stage::Placed(Run {
            stored: true,
            start_sent: Some(now),
            confirmed: Some(now),
            ..Run::new(worker.clone(), now)
        }),
    };
    Task {
        stage,
        done: record.done,
        run: record.run,
        failures: record.failures.clone(),
        saved: record.saved.clone(),
        failed_on: None,
    }
}

fn task_record(task: &Task) -> TaskRecord {
    let place = match &task.stage {
        Stage::Placed(run) => Some(run.worker.clone()),
        _ => None,
    };
    TaskRecord {
        run: task.run,
        failures: task.failures.clone(),
        done: task.done,
        place,
        saved: task.saved.clone(),
    }
}
