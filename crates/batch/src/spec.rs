//! What a job asks for.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use model::Stamp;

/// Id of a job, chosen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub Arc<str>);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Id of one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerId(pub Arc<str>);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job, from zero.
    pub occurrence: u32,
    /// Step, from zero.
    pub step: u32,
    /// Index in the step, from zero.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// One step of an occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job, from zero.
    pub occurrence: u32,
    /// Step, from zero.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Resources of one task, or the capacity of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Need {
    /// Whether this fits into `room`.
    pub fn fits(&self, room: &Need) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.gpu <= room.gpu
    }

    /// How often `need` fits into this.
    pub fn copies(&self, need: &Need) -> u64 {
        let times = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
        let cores = times(self.cpu, need.cpu).min(times(self.memory, need.memory));
        cores.min(times(self.gpu, need.gpu))
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Need) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }

    /// Takes `other` away, down to zero.
    pub fn remove(&mut self, other: &Need) {
        *self = self.less(other);
    }

    /// What is left without `other`.
    pub fn less(&self, other: &Need) -> Need {
        Need {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Cores in use, an accelerator counted as eight, in thousandths.
    pub fn weight(&self) -> u64 {
        self.cpu + self.gpu * CORES_PER_ACCELERATOR * 1_000
    }
}

/// Cores that the users charge for an accelerator.
const CORES_PER_ACCELERATOR: u64 = 8;

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub need: Need,
    /// The caller's rough estimate of a task's run time, in ms.
    pub estimate_ms: u64,
    /// Earlier steps that have to be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether tasks work only together.
    pub gang: bool,
    /// Whether tasks are much slower on several racks.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack that holds the data.
    pub rack: Option<String>,
    /// Most tasks of one occurrence on a worker.
    pub spread: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run.
    pub image: String,
    /// Tail latency that a lasting task must stay under, in ms; zero for none.
    pub target_ms: u64,
    /// Whether tasks take only processor time that others leave.
    pub fills: bool,
    /// Tasks of a lasting step that may be away at once through orders.
    pub may_miss: u32,
}

/// What a job consists of.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spec {
    /// Opaque to the scheduler; handed to each task.
    pub payload: String,
    /// Steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Due time of the first occurrence; none for a job that runs once.
    pub first: Option<Stamp>,
    /// Time between occurrences, in ms.
    pub interval_ms: u64,
    /// Number of occurrences; zero for a job that runs once.
    pub repeats: u32,
}

impl Spec {
    /// Number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeats.max(1)
    }

    /// When `occurrence` is due.
    pub fn due(&self, occurrence: u32) -> Option<Stamp> {
        let first = self.first?;
        (self.repeats > 0).then(|| Stamp(first.0 + u64::from(occurrence) * self.interval_ms))
    }
}

/// A job as the store keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Name of its queue.
    pub queue: String,
    /// Its client account; none where the queue is open to all.
    pub account: Option<String>,
    /// When the entry VM took it, by that VM's wall clock.
    pub taken: Stamp,
    /// Whether the caller cancelled it.
    #[serde(default)]
    pub cancelled: bool,
    /// What it consists of.
    pub spec: Arc<Spec>,
}
