//! Tasks as reports and records show them.

use std::time::Duration;

use crate::worker::history::Ending;
use crate::worker::history::Run;
use crate::worker::machine::Key;
use crate::worker::task::Task;
use model::Time;
use model::WorkerId;
use wire::border::TaskReport;
use wire::border::TaskState;

/// Whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A task as a report shows it; `seen` is when the usage figures were taken.
pub(crate) fn report(key: Key, task: &Task, seen: Time) -> TaskReport {
    TaskReport {
        job: key.job.to_string(),
        attempt: key.attempt,
        index: task.spec.index,
        state: task.state,
        millicores: task.millicores(seen),
        memory_mib: task.memory_mib(seen),
        ran_ms: millis(task.done()),
        checkpoint_ms: millis(task.checkpoint),
        throttled: task.throttled,
        exit: task.exit(),
    }
}

/// A task as the record shows it; `killed` says why, if it was ended from outside.
pub(crate) fn run(worker: &WorkerId, key: Key, task: &Task, killed: Ending) -> Run {
    let ending = match task.state {
        TaskState::Running => None,
        TaskState::Succeeded => Some(Ending::Succeeded),
        TaskState::Failed => Some(Ending::Failed),
        TaskState::Overrun => Some(Ending::Overrun),
        TaskState::Stopped => Some(killed),
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
