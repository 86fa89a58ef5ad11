//! Identifiers and specifications of jobs, steps and tasks.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::policy::Queue;
use model::Stamp;

/// Maximum number of tasks of a job, over all steps and occurrences.
///
/// An owner keeps them in memory, and a record of them has to fit into a value of the store and
/// through a link of 10 Mbit/s in half a second.
pub const MAX_JOB_TASKS: u64 = 20_000;

/// Job id, chosen by the caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub Arc<str>);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Worker id. A restarted worker may keep it; its incarnation tells the two apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerId(pub Arc<str>);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies a task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job, from zero.
    pub occurrence: u32,
    /// Index of the step in the job, from zero.
    pub step: u32,
    /// Index of the task in the step, from zero.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job, from zero.
    pub occurrence: u32,
    /// Index of the step in the job, from zero.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Resource request of a task, or capacity of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Need {
    /// Whether these resources fit into `free`.
    pub fn fits(&self, free: &Need) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.gpu <= free.gpu
    }

    /// How many times `need` fits into these resources.
    pub fn copies(&self, need: &Need) -> u64 {
        let times = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let cores = times(self.cpu, need.cpu).min(times(self.memory, need.memory));
        cores.min(times(self.gpu, need.gpu))
    }

    /// Adds `other`, saturating at the largest number.
    pub fn add(&mut self, other: &Need) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    /// Subtracts `other`, saturating at zero.
    pub fn remove(&mut self, other: &Need) {
        *self = self.less(other);
    }

    /// Returns the difference to `other`, saturating at zero.
    pub fn less(&self, other: &Need) -> Need {
        Need {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn least(&self, other: &Need) -> Need {
        Need {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// CPU equivalent in thousandths of a core; an accelerator counts as eight cores.
    pub fn weight(&self) -> u64 {
        let accelerators = self.gpu.saturating_mul(CORES_PER_ACCELERATOR * 1_000);
        self.cpu.saturating_add(accelerators)
    }
}

impl reserve::Amount for Need {
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

/// Cores that one accelerator counts as, as in the users' own accounting.
const CORES_PER_ACCELERATOR: u64 = 8;

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resource request of each task.
    pub need: Need,
    /// The caller's rough estimate of one task's run time, in ms.
    pub estimate_ms: u64,
    /// Indexes of earlier steps that have to complete first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: all run at the same time or none.
    pub gang: bool,
    /// Whether the tasks should share a rack, being much slower across racks.
    pub one_rack: bool,
    /// Label that a worker must have to run the tasks.
    pub label: Option<String>,
    /// Rack that holds the tasks' data, preferred for placement.
    pub rack: Option<String>,
    /// Maximum number of tasks of one occurrence per worker.
    pub spread: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks are services that run until the job is cancelled.
    pub lasting: bool,
    /// Image that the tasks run.
    pub image: String,
    /// Upper limit of a long-running task's tail latency, in ms; zero for none.
    pub target_ms: u64,
    /// Whether the tasks are fillers, which use only CPU time that other tasks leave idle.
    pub fills: bool,
    /// Disruption budget of a step of long-running tasks: how many of them the planner may make
    /// unavailable at a time.
    pub may_miss: u32,
}

/// Specification of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spec {
    /// Opaque to the scheduler; passed to each task.
    pub payload: String,
    /// Steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Due time of the first occurrence; `None` for a job that runs once.
    pub first: Option<Stamp>,
    /// Time between occurrences, in ms.
    pub interval_ms: u64,
    /// Number of occurrences; zero for a job that runs once.
    pub repeats: u32,
}

impl Spec {
    /// Number of times that the steps run, at least one.
    pub fn occurrences(&self) -> u32 {
        self.repeats.max(1)
    }

    /// When `occurrence` is due; `None` for a job that runs once.
    pub fn due(&self, occurrence: u32) -> Option<Stamp> {
        let first = self.first?;
        let since_first = u64::from(occurrence).saturating_mul(self.interval_ms);
        (self.repeats > 0).then(|| Stamp(first.0.saturating_add(since_first)))
    }

    /// Number of tasks in one occurrence.
    pub fn occurrence_size(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Number of tasks over all steps and occurrences.
    pub fn task_count(&self) -> u64 {
        self.occurrence_size().saturating_mul(u64::from(self.occurrences()))
    }
}

/// A job as stored on submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Name of its queue.
    pub queue: String,
    /// The queue as defined then, for when it has been removed; `None` if an earlier version
    /// stored the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admitted: Option<Queue>,
    /// Client account; `None` where the queue needs no key.
    pub account: Option<String>,
    /// When the entry VM accepted the job, by that VM's wall clock.
    pub taken: Stamp,
    /// Whether the caller cancelled the job.
    #[serde(default)]
    pub cancelled: bool,
    /// Specification.
    pub spec: Arc<Spec>,
}

impl Submission {
    /// A tombstone: it stands for a job that was cancelled before it was stored, and keeps a late
    /// submission from being stored.
    pub fn tombstone(queue: String, account: Option<String>, taken: Stamp) -> Submission {
        let (admitted, spec) = (None, Arc::default());
        Submission { queue, admitted, account, taken, cancelled: true, spec }
    }

    /// Whether this is a tombstone. Every job has a step.
    pub fn is_tombstone(&self) -> bool {
        self.cancelled && self.spec.steps.is_empty()
    }
}
