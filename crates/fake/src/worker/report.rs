//! Conversion of tasks to report entries and run records.

use std::time::Duration;

use crate::worker::history::Ending;
use crate::worker::history::Run;
use crate::worker::machine::AttemptKey;
use crate::worker::task::Task;
use model::Time;
use model::WorkerId;
use wire::border::TaskReport;
use wire::border::TaskState;

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a task to a report entry; `measured_at` is the time of the usage measurement.
pub(crate) fn task_report(key: AttemptKey, task: &Task, measured_at: Time) -> TaskReport {
    TaskReport {
        job: key.job.to_string(),
        attempt: key.attempt,
        index: task.spec.index,
        state: task.state,
        millicores: task.millicores(measured_at),
        memory_mib: task.memory_mib(measured_at),
        ran_ms: millis(task.done()),
        checkpoint_ms: millis(task.checkpoint),
        throttled: task.throttled,
        exit: task.exit_code(),
    }
}

/// Converts a task to a run record; `kill_reason` is the ending of a task that was killed.
pub(crate) fn run_record(
    worker: &WorkerId,
    key: AttemptKey,
    task: &Task,
    kill_reason: Ending,
) -> Run {
    let ending = match task.state {
        TaskState::Running => None,
        TaskState::Succeeded => Some(Ending::Succeeded),
        TaskState::Failed => Some(Ending::Failed),
        TaskState::Overrun => Some(Ending::Overrun),
        TaskState::Stopped => Some(kill_reason),
    };
    Run {
        job: key.job,
        attempt: key.attempt,
        index: task.spec.index,
        worker: worker.clone(),
        from: task.started,
        to: task.ended,
        ending,
    }
}
