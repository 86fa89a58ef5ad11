//! Simulated tasks.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::backend::digest;
use model::JobId;
use model::Time;
use wire::border::TaskSpec;
use wire::border::TaskState;

/// Exit code of a task that fails.
const EXIT_FAILED: i32 = 1;
/// Exit code of a task that is ended from outside.
const EXIT_KILLED: i32 = 137;
/// Longest time that a failing task runs.
const MAX_FAILURE: Duration = Duration::from_millis(20);

/// How long tasks run, against what they declare.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskTimes {
    /// Real time that one declared second takes.
    pub per_second: Duration,
    /// Largest factor, either way, between the real and the declared run time of a gang.
    pub estimate_error: f64,
    /// Share of tasks that straggle.
    pub straggler_share: f64,
    /// How many times longer a straggler runs than the rest of its gang.
    pub straggler_factor: f64,
}

impl Default for TaskTimes {
    fn default() -> TaskTimes {
        TaskTimes {
            per_second: Duration::from_secs(1),
            estimate_error: 1.0,
            straggler_share: 0.0,
            straggler_factor: 1.0,
        }
    }
}

impl TaskTimes {
    /// Work of a task, the same at each attempt.
    fn draw(&self, seed: u64, job: JobId, task: &TaskSpec) -> Duration {
        let name = job.to_string();
        let mut gang = SmallRng::seed_from_u64(seed ^ digest(&name, b""));
        let mut own = SmallRng::seed_from_u64(seed ^ digest(&name, &task.index.to_le_bytes()));
        let error = self.estimate_error.max(1.0).powf(gang.random::<f64>() * 2.0 - 1.0);
        let straggles = own.random::<f64>() < self.straggler_share;
        let factor = if straggles { error * self.straggler_factor } else { error };
        let declared = Duration::from_millis(task.declared_ms).as_secs_f64();
        self.per_second.mul_f64((declared * factor).min(1e9))
    }
}

/// How a task is going to end by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Succeed,
    Fail,
    Overrun,
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) spec: TaskSpec,
    pub(crate) state: TaskState,
    pub(crate) started: Time,
    pub(crate) ended: Option<Time>,
    pub(crate) throttled: bool,
    pub(crate) checkpoint: Duration,
    fate: Fate,
    /// Work until it ends by itself.
    work: Duration,
    done: Duration,
    /// Until when `done` is counted.
    counted: Time,
    /// Processor share that it gets, in thousandths of a core.
    share: u32,
    memory_mib: u32,
}

impl Task {
    pub(crate) fn start(
        now: Time,
        times: &TaskTimes,
        seed: u64,
        job: JobId,
        spec: TaskSpec,
        fate: Fate,
        checkpoint: Duration,
    ) -> Task {
        let name = job.to_string();
        let mut rng = SmallRng::seed_from_u64(!seed ^ digest(&name, &spec.index.to_le_bytes()));
        let whole = times.draw(seed, job, &spec).max(checkpoint);
        let work = match fate {
            Fate::Succeed => whole,
            Fate::Fail => checkpoint + whole.min(MAX_FAILURE).mul_f64(rng.random()),
            Fate::Overrun => checkpoint + (whole - checkpoint).mul_f64(rng.random()),
        };
        let used = if fate == Fate::Overrun { 1.1 } else { rng.random_range(0.3..0.95) };
        Task {
            state: TaskState::Running,
            started: now,
            ended: None,
            throttled: false,
            checkpoint,
            fate,
            work,
            done: checkpoint,
            counted: now,
            share: spec.millicores,
            memory_mib: (f64::from(spec.memory_mib) * used) as u32,
            spec,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }

    /// Work done so far.
    pub(crate) fn done(&self) -> Duration {
        self.done
    }

    /// Lets the task run until `now`; it ends by itself if its work is done before.
    pub(crate) fn advance(&mut self, now: Time) {
        if !self.is_running() || now <= self.counted {
            return;
        }
        let left = self.work.saturating_sub(self.done);
        let needed = left.div_f64(self.speed());
        if self.counted + needed <= now {
            let at = self.counted + needed;
            self.done = self.work;
            self.counted = at;
            self.finish(at);
        } else {
            self.done += now.since(self.counted).mul_f64(self.speed());
            self.counted = now;
        }
    }

    /// Ends the task from outside.
    pub(crate) fn kill(&mut self, at: Time) {
        self.advance(at);
        if self.is_running() {
            self.state = TaskState::Stopped;
            self.ended = Some(at);
        }
    }

    /// Holds the task to a processor share.
    pub(crate) fn throttle(&mut self, now: Time, millicores: u32) {
        self.advance(now);
        self.share = millicores.clamp(1, self.spec.millicores.max(1));
        self.throttled = self.share < self.spec.millicores;
    }

    pub(crate) fn save(&mut self, now: Time) {
        self.advance(now);
        self.checkpoint = self.done;
    }

    /// Processor use at a time, in thousandths of a core.
    pub(crate) fn millicores(&self, at: Time) -> u32 {
        if self.used(at) { self.share } else { 0 }
    }

    /// Memory use at a time, in mebibytes.
    pub(crate) fn memory_mib(&self, at: Time) -> u32 {
        if self.used(at) { self.memory_mib } else { 0 }
    }

    pub(crate) fn exit(&self) -> Option<i32> {
        match self.state {
            TaskState::Running => None,
            TaskState::Succeeded => Some(0),
            TaskState::Failed => Some(EXIT_FAILED),
            TaskState::Stopped | TaskState::Overrun => Some(EXIT_KILLED),
        }
    }

    fn finish(&mut self, at: Time) {
        self.ended = Some(at);
        self.state = match self.fate {
            Fate::Succeed => TaskState::Succeeded,
            Fate::Fail => TaskState::Failed,
            Fate::Overrun => TaskState::Overrun,
        };
    }

    fn used(&self, at: Time) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended)
    }

    /// Work done in one second.
    fn speed(&self) -> f64 {
        if self.spec.millicores == 0 {
            return 1.0;
        }
        f64::from(self.share) / f64::from(self.spec.millicores)
    }
}
