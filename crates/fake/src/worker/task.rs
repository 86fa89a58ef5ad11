//! Simulated tasks, whose work and end are drawn from a seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::backend::digest;
use model::JobId;
use model::Time;
use wire::border::TaskSpec;
use wire::border::TaskState;

/// Exit code of a failed task.
const EXIT_FAILED: i32 = 1;
/// Exit code of a killed task (128 + SIGKILL).
const EXIT_KILLED: i32 = 137;
/// Maximum run time of a failing task.
const MAX_FAILED_RUN_TIME: Duration = Duration::from_millis(20);

/// Model of task run times, relative to the declared run times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskTimes {
    /// Real time per declared second.
    pub per_second: Duration,
    /// Maximum factor, in both directions, between the real and the declared run time of a gang.
    /// Values below 1 count as 1.
    pub estimate_error: f64,
    /// Share of tasks that are stragglers, between 0 and 1.
    pub straggler_share: f64,
    /// Factor by which a straggler runs longer than the rest of its gang.
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
    /// Draws the run time of a task at full CPU share; it is the same in each attempt.
    fn draw(&self, seed: u64, job: JobId, task: &TaskSpec) -> Duration {
        let name = job.to_string();
        let mut gang_rng = SmallRng::seed_from_u64(seed ^ digest(&name, b""));
        let mut task_rng = SmallRng::seed_from_u64(seed ^ digest(&name, &task.index.to_le_bytes()));
        let run_factor = self.estimate_error.max(1.0).powf(gang_rng.random::<f64>() * 2.0 - 1.0);
        let is_straggler = task_rng.random::<f64>() < self.straggler_share;
        let factor = if is_straggler { run_factor * self.straggler_factor } else { run_factor };
        let declared = Duration::from_millis(task.declared_ms).as_secs_f64();
        self.per_second.mul_f64((declared * factor).min(1e9))
    }
}

/// How a task ends unless it is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlannedEnd {
    Succeed,
    Fail,
    Overrun,
}

/// A simulated task on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) spec: TaskSpec,
    pub(crate) state: TaskState,
    pub(crate) started: Time,
    pub(crate) ended: Option<Time>,
    pub(crate) throttled: bool,
    pub(crate) checkpoint: Duration,
    planned_end: PlannedEnd,
    /// Work after which the task ends by itself, as run time at full CPU share.
    work: Duration,
    /// Work done up to `counted_until`, including the work of the checkpoint it started from.
    done: Duration,
    /// Time up to which `done` has been updated.
    counted_until: Time,
    /// CPU limit, in thousandths of a core.
    cpu_limit: u32,
    memory_mib: u32,
}

impl Task {
    pub(crate) fn start(
        now: Time,
        times: &TaskTimes,
        seed: u64,
        job: JobId,
        spec: TaskSpec,
        planned_end: PlannedEnd,
        checkpoint: Duration,
    ) -> Task {
        let name = job.to_string();
        let mut rng = SmallRng::seed_from_u64(!seed ^ digest(&name, &spec.index.to_le_bytes()));
        let full_work = times.draw(seed, job, &spec).max(checkpoint);
        let work = match planned_end {
            PlannedEnd::Succeed => full_work,
            PlannedEnd::Fail => {
                checkpoint + full_work.min(MAX_FAILED_RUN_TIME).mul_f64(rng.random())
            }
            PlannedEnd::Overrun => checkpoint + (full_work - checkpoint).mul_f64(rng.random()),
        };
        let memory_factor =
            if planned_end == PlannedEnd::Overrun { 1.1 } else { rng.random_range(0.3..0.95) };
        Task {
            state: TaskState::Running,
            started: now,
            ended: None,
            throttled: false,
            checkpoint,
            planned_end,
            work,
            done: checkpoint,
            counted_until: now,
            cpu_limit: spec.millicores,
            memory_mib: (f64::from(spec.memory_mib) * memory_factor) as u32,
            spec,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }

    /// Returns the work done so far, as run time at full CPU share.
    pub(crate) fn done(&self) -> Duration {
        self.done
    }

    /// Advances the task to `now`; it ends earlier if its work is done before.
    pub(crate) fn advance(&mut self, now: Time) {
        if !self.is_running() || now <= self.counted_until {
            return;
        }
        let remaining = self.work.saturating_sub(self.done);
        let time_needed = remaining.div_f64(self.speed());
        if self.counted_until + time_needed <= now {
            let at = self.counted_until + time_needed;
            self.done = self.work;
            self.counted_until = at;
            self.finish(at);
        } else {
            self.done += now.since(self.counted_until).mul_f64(self.speed());
            self.counted_until = now;
        }
    }

    /// Kills the task if it is still running at `at`.
    pub(crate) fn kill(&mut self, at: Time) {
        self.advance(at);
        if self.is_running() {
            self.state = TaskState::Stopped;
            self.ended = Some(at);
        }
    }

    /// Limits the CPU of the task.
    pub(crate) fn throttle(&mut self, now: Time, millicores: u32) {
        self.advance(now);
        self.cpu_limit = millicores.clamp(1, self.spec.millicores.max(1));
        self.throttled = self.cpu_limit < self.spec.millicores;
    }

    /// Saves a checkpoint of the work done so far.
    pub(crate) fn save_checkpoint(&mut self, now: Time) {
        self.advance(now);
        self.checkpoint = self.done;
    }

    /// Returns the CPU usage at a time, in thousandths of a core.
    pub(crate) fn millicores(&self, at: Time) -> u32 {
        if self.was_running_at(at) { self.cpu_limit } else { 0 }
    }

    /// Returns the memory usage at a time, in MiB.
    pub(crate) fn memory_mib(&self, at: Time) -> u32 {
        if self.was_running_at(at) { self.memory_mib } else { 0 }
    }

    /// Returns the exit code; `None` while the task runs.
    pub(crate) fn exit_code(&self) -> Option<i32> {
        match self.state {
            TaskState::Running => None,
            TaskState::Succeeded => Some(0),
            TaskState::Failed => Some(EXIT_FAILED),
            TaskState::Stopped | TaskState::Overrun => Some(EXIT_KILLED),
        }
    }

    fn finish(&mut self, at: Time) {
        self.ended = Some(at);
        self.state = match self.planned_end {
            PlannedEnd::Succeed => TaskState::Succeeded,
            PlannedEnd::Fail => TaskState::Failed,
            PlannedEnd::Overrun => TaskState::Overrun,
        };
    }

    fn was_running_at(&self, at: Time) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended)
    }

    /// Returns the work done per second.
    fn speed(&self) -> f64 {
        if self.spec.millicores == 0 {
            return 1.0;
        }
        f64::from(self.cpu_limit) / f64::from(self.spec.millicores)
    }
}
