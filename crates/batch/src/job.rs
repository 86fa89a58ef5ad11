//! In-memory state of jobs, steps, tasks and runs.

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
use crate::crash::Loss;
use crate::pace::RunPace;
use crate::policy::Queue;
use crate::record::Record;
use crate::record::TaskRecord;
use crate::spec::Spec;
use crate::spec::StepSpec;
use crate::spec::Submission;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;

/// State of a job as callers see it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, AsRefStr, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// No task has been placed.
    Pending,
    /// At least one task has been placed.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task used up its attempts, or kept crashing its workers.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn ended(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }
}

/// One execution of a task on a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Run {
    pub worker: WorkerId,
    /// Incarnation of the worker that the run was placed on or reported by; zero if not known.
    pub incarnation: u64,
    /// Whether the run has been stored.
    pub stored: bool,
    /// When a start was first sent, or the run was restored; `None` before.
    pub first_sent: Option<Time>,
    /// When a start was last sent; `None` before the first.
    pub start_sent: Option<Time>,
    /// Latest lease end that a start carried, in ms of the worker's clock.
    pub deadline: u64,
    /// When the worker confirmed that it has the run. For a run of a former owner this is the
    /// takeover, since a worker carries out no start of that owner after a call with a higher
    /// fencing token; until it has answered one, such a start is still in doubt.
    pub confirmed: Option<Time>,
    /// Number of starts without an answer.
    pub unanswered_starts: u32,
    /// When the planner first decided to stop the run.
    pub stopping: Option<Time>,
    /// When a stop was last sent.
    pub stop_sent: Option<Time>,
    /// When the worker first answered a stop.
    pub stop_acked: Option<Time>,
    /// Last reported progress in percent.
    pub percent: u32,
    /// Pace of its progress.
    pub pace: RunPace,
}

impl Run {
    /// Creates a run that is neither stored nor sent to its worker.
    pub fn new(worker: WorkerId, incarnation: u64) -> Run {
        Run {
            worker,
            incarnation,
            stored: false,
            first_sent: None,
            start_sent: None,
            deadline: 0,
            confirmed: None,
            unanswered_starts: 0,
            stopping: None,
            stop_sent: None,
            stop_acked: None,
            percent: 0,
            pace: RunPace::default(),
        }
    }
}

/// Scheduling stage of a task.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// It has no run and no reservation.
    Idle,
    /// Capacity is reserved on this worker while other runs there are being stopped.
    Reserved(WorkerId),
    /// It has a run, which may not have started yet.
    Placed(Run),
}

/// In-memory state of a task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub stage: Stage,
    /// Whether the task has completed. It may still have a run that is being stopped.
    pub done: bool,
    /// Highest run number assigned so far.
    pub run: u32,
    /// Numbers of the runs that failed. A set rather than a count, since an end may be reported to
    /// several owners.
    pub failures: BTreeSet<u32>,
    /// Workers lost soon after they started the task, by run; see [`crate::crash`].
    pub losses: BTreeMap<u32, Loss>,
    /// Last checkpoint; empty for none.
    pub saved: String,
    /// Worker on which it last failed.
    pub failed_on: Option<WorkerId>,
    /// Highest run that ended because another member of its gang had ended; zero for none.
    pub broken_run: u32,
}

/// For how long a step avoids suspected workers after one of its runs has failed. A job that uses
/// up its attempts is lost to its caller, whereas one that waits is late at worst.
const AVOID_SUSPECTS_TIME: Duration = Duration::from_millis(4_000);

/// In-memory state of a step in one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub tasks: Vec<Task>,
    /// When the steps that it depends on were found complete.
    pub ready_at: Option<Time>,
    /// Whether it has been logged that the step waits.
    pub wait_noted: bool,
    /// No runs are preempted for the step before this time.
    pub reclaim_after: Time,
    /// No reservation is searched for the step before this time.
    pub search_after: Time,
    /// Whether it has waited for runs that were expected to end by themselves and did not.
    pub end_missed: bool,
    /// When a run of the step last failed; zero for never.
    pub failed_at: Time,
    /// Tickets of the advice service, by worker.
    pub tickets: BTreeMap<WorkerId, Ticket>,
    /// Workers, with their incarnations, that the advice service did not allow.
    pub denied: BTreeSet<(WorkerId, u64)>,
}

impl Step {
    pub fn done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// Whether any task waits to be placed.
    pub fn waiting(&self) -> bool {
        self.tasks.iter().any(|task| !task.done && task.stage == Stage::Idle)
    }

    /// Whether suspected workers are avoided, since a run failed recently.
    pub fn avoids_suspects(&self, now: Time) -> bool {
        self.failed_at != Time::ZERO && now < self.failed_at + AVOID_SUSPECTS_TIME
    }

    /// Whether no task has a run or a reservation.
    pub fn idle(&self) -> bool {
        self.tasks.iter().all(|task| task.stage == Stage::Idle)
    }
}

/// In-memory state of a job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub queue: String,
    /// The queue as defined when the job was admitted; `None` if that is not known.
    pub admitted: Option<Queue>,
    pub account: Option<String>,
    pub spec: Arc<Spec>,
    pub cancelled: bool,
    /// Whether a task has ever been placed on a worker.
    pub begun: bool,
    pub state: JobState,
    /// Whether its end has been stored, which starts its retention time.
    pub end_stored: bool,
    /// Start of its age and of its latency objective: when this owner learned of it, or when its
    /// last occurrence came due.
    pub since: Time,
    /// Steps of the occurrences that have come due.
    pub occurrences: Vec<Vec<Step>>,
}

impl Job {
    pub fn new(submission: &Submission, since: Time) -> Job {
        Job {
            queue: submission.queue.clone(),
            admitted: submission.admitted.clone(),
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

    /// Restores the stored state.
    pub fn restore(&mut self, record: &Record, now: Time) {
        self.state = record.state;
        self.begun = record.begun;
        let step = |tasks: &Vec<TaskRecord>| Step {
            tasks: tasks.iter().map(|task| restored(task, now)).collect(),
            ready_at: None,
            wait_noted: false,
            reclaim_after: Time::ZERO,
            search_after: Time::ZERO,
            end_missed: false,
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

    /// Adds the next occurrence, which has come due.
    pub fn open_occurrence(&mut self) {
        let fresh = Task {
            stage: Stage::Idle,
            done: false,
            run: 0,
            failures: BTreeSet::new(),
            losses: BTreeMap::new(),
            saved: String::new(),
            failed_on: None,
            broken_run: 0,
        };
        let steps = self.spec.steps.iter();
        let step = |step: &StepSpec| Step {
            tasks: vec![fresh.clone(); step.count as usize],
            ready_at: None,
            wait_noted: false,
            reclaim_after: Time::ZERO,
            search_after: Time::ZERO,
            end_missed: false,
            failed_at: Time::ZERO,
            tickets: BTreeMap::new(),
            denied: BTreeSet::new(),
        };
        let steps = steps.map(step);
        self.occurrences.push(steps.collect());
    }

    /// Whether the steps that `step` of `occurrence` depends on have completed.
    pub fn is_ready(&self, occurrence: usize, step: usize) -> bool {
        let steps = &self.occurrences[occurrence];
        self.spec.steps[step].after.iter().all(|&before| steps[before as usize].done())
    }

    /// Returns the task of `key`, if it exists.
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        let step = self.occurrences.get(key.occurrence as usize)?.get(key.step as usize)?;
        step.tasks.get(key.index as usize)
    }

    /// Whether run `number` of a task is the current one and is on `worker`, as far as is known.
    pub fn has_run(&self, key: &TaskKey, number: u32, worker: &WorkerId) -> bool {
        self.task(key).is_some_and(|task| {
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

    /// State to be stored; it leaves the tasks out once the job has ended and has no runs.
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
            first_sent: Some(now),
            start_sent: Some(now),
            confirmed: Some(now),
            ..Run::new(worker.clone(), record.incarnation)
        }),
    };
    Task {
        stage,
        done: record.done,
        run: record.run,
        failures: record.failures.clone(),
        losses: record
            .losses
            .iter()
            .map(|(run, fate)| (*run, Loss { fate: fate.clone(), at: now }))
            .collect(),
        saved: record.saved.clone(),
        failed_on: None,
        broken_run: 0,
    }
}

fn task_record(task: &Task) -> TaskRecord {
    let (place, incarnation) = match &task.stage {
        Stage::Placed(run) => (Some(run.worker.clone()), run.incarnation),
        _ => (None, 0),
    };
    TaskRecord {
        run: task.run,
        failures: task.failures.clone(),
        losses: task.losses.iter().map(|(run, loss)| (*run, loss.fate.clone())).collect(),
        done: task.done,
        place,
        incarnation,
        saved: task.saved.clone(),
    }
}
