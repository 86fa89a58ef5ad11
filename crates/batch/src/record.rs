//! Stored state of a job and its compact serialized form.
//!
//! Each change of a wide job stores hundreds of tasks, over links of a few Mbit/s, so the
//! serialized form is kept short. Worker ids appear once in a table, and a task is a string such as
//! `3d`, `2@4` or `2@4!1=checkpoint`: highest run number, `d` if done, `@` and the worker's index
//! in the table, `!` and the failed runs, `=` and the checkpoint. Losses are rare and stand in a
//! list of their own, which entry VMs of earlier versions ignore.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::job::JobState;
use crate::spec::WorkerId;

/// What is known of a run whose worker went silent soon after the start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// The worker had the run, and has crashed.
    Crashed,
    /// This incarnation of the worker had the run, and has not answered since.
    Silent(WorkerId, u64),
    /// The worker has not confirmed that it had the run.
    Doubtful,
}

/// Stored state of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskRecord {
    /// Highest run number assigned so far.
    pub run: u32,
    /// Numbers of the runs that failed.
    pub failures: BTreeSet<u32>,
    /// Whether the task has completed.
    pub done: bool,
    /// Worker that may have the current run; `None` if there is no run.
    pub place: Option<WorkerId>,
    /// Incarnation of that worker; zero if there is no run or it is not known.
    pub incarnation: u64,
    /// Runs whose worker went silent soon after the start.
    pub losses: BTreeMap<u32, Fate>,
    /// Checkpoint to resume from; empty for none.
    pub saved: String,
}

/// Stored state of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Compact", try_from = "Compact")]
pub struct Record {
    /// State that callers see.
    pub state: JobState,
    /// Whether a task has ever been placed on a worker.
    pub begun: bool,
    /// Tasks by occurrence and step; empty once the job has ended.
    #[serde(rename = "turns")]
    pub occurrences: Vec<Vec<Vec<TaskRecord>>>,
}

/// Serialized form of a [`Record`].
#[derive(Serialize, Deserialize)]
struct Compact {
    state: JobState,
    #[serde(default)]
    begun: bool,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    workers: Vec<WorkerId>,
    /// Incarnations of `workers`; empty if none is known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    incarnations: Vec<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    losses: Vec<CompactLoss>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "turns")]
    occurrences: Vec<Vec<Vec<String>>>,
}

/// A loss of a task.
#[derive(Serialize, Deserialize)]
struct CompactLoss {
    /// Occurrence, step and index of the task.
    task: (usize, usize, usize),
    run: u32,
    fate: Fate,
}

impl From<Record> for Compact {
    fn from(record: Record) -> Compact {
        let mut workers: Vec<(WorkerId, u64)> = Vec::new();
        let mut known: BTreeMap<(WorkerId, u64), usize> = BTreeMap::new();
        let mut losses = Vec::new();
        let mut occurrences = Vec::with_capacity(record.occurrences.len());
        for (occurrence, steps) in record.occurrences.into_iter().enumerate() {
            let mut texts = Vec::with_capacity(steps.len());
            for (step, tasks) in steps.into_iter().enumerate() {
                let text = |(index, task): (usize, TaskRecord)| {
                    let place = task.place.clone().map(|worker| {
                        let worker = (worker, task.incarnation);
                        *known.entry(worker.clone()).or_insert_with(|| {
                            workers.push(worker);
                            workers.len() - 1
                        })
                    });
                    let text = write_task(&task, place);
                    let task_losses = task.losses.into_iter();
                    losses.extend(task_losses.map(|(run, fate)| CompactLoss {
                        task: (occurrence, step, index),
                        run,
                        fate,
                    }));
                    text
                };
                texts.push(tasks.into_iter().enumerate().map(text).collect());
            }
            occurrences.push(texts);
        }
        let (workers, mut incarnations): (Vec<WorkerId>, Vec<u64>) = workers.into_iter().unzip();
        if incarnations.iter().all(|&incarnation| incarnation == 0) {
            incarnations.clear();
        }
        let (state, begun) = (record.state, record.begun);
        Compact { state, begun, workers, incarnations, losses, occurrences }
    }
}

impl TryFrom<Compact> for Record {
    type Error = String;

    fn try_from(compact: Compact) -> Result<Record, String> {
        let incarnations = compact.incarnations.into_iter().chain(std::iter::repeat(0));
        let workers: Vec<(WorkerId, u64)> = compact.workers.into_iter().zip(incarnations).collect();
        let mut occurrences = Vec::with_capacity(compact.occurrences.len());
        for steps in &compact.occurrences {
            let mut occurrence = Vec::with_capacity(steps.len());
            for tasks in steps {
                let task = |text: &String| {
                    read_task(text, &workers).ok_or_else(|| format!("task {text:?} cannot be read"))
                };
                occurrence
                    .push(tasks.iter().map(task).collect::<Result<Vec<TaskRecord>, String>>()?);
            }
            occurrences.push(occurrence);
        }
        for CompactLoss { task: (occurrence, step, index), run, fate } in compact.losses {
            let steps = occurrences.get_mut(occurrence);
            let tasks = steps.and_then(|steps| steps.get_mut(step));
            let task = tasks.and_then(|tasks| tasks.get_mut(index));
            let task = task.ok_or_else(|| format!("loss of run {run} names no task"))?;
            task.losses.insert(run, fate);
        }
        Ok(Record { state: compact.state, begun: compact.begun, occurrences })
    }
}

fn write_task(task: &TaskRecord, place: Option<usize>) -> String {
    let mut text = String::new();
    if task.run > 0 {
        text = task.run.to_string();
    }
    if task.done {
        text.push('d');
    }
    if let Some(place) = place {
        text.push('@');
        text.push_str(&place.to_string());
    }
    if !task.failures.is_empty() {
        let runs: Vec<String> = task.failures.iter().map(u32::to_string).collect();
        text.push('!');
        text.push_str(&runs.join(","));
    }
    if !task.saved.is_empty() {
        text.push('=');
        text.push_str(&task.saved);
    }
    text
}

fn read_task(text: &str, workers: &[(WorkerId, u64)]) -> Option<TaskRecord> {
    let (rest, saved) = text.split_once('=').unwrap_or((text, ""));
    let (rest, failures) = rest.split_once('!').unwrap_or((rest, ""));
    let (rest, place) = match rest.split_once('@') {
        Some((rest, index)) => (rest, Some(workers.get(index.parse::<usize>().ok()?)?.clone())),
        None => (rest, None),
    };
    let (rest, done) = match rest.strip_suffix('d') {
        Some(rest) => (rest, true),
        None => (rest, false),
    };
    let (place, incarnation) = place.unzip();
    let incarnation = incarnation.unwrap_or(0);
    let run = if rest.is_empty() { 0 } else { rest.parse().ok()? };
    let failures = failures.split(',').filter(|run| !run.is_empty());
    let failures = failures.map(|run| run.parse().ok()).collect::<Option<BTreeSet<u32>>>()?;
    Some(TaskRecord {
        run,
        failures,
        done,
        place,
        incarnation,
        saved: saved.to_owned(),
        ..TaskRecord::default()
    })
}
