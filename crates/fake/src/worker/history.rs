//! Records of task runs, and the check of scheduling guarantees against them.

use std::collections::BTreeMap;
use std::time::Duration;

use model::JobId;
use model::Time;
use model::WorkerId;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// It finished successfully.
    Succeeded,
    /// It failed by itself.
    Failed,
    /// It exceeded its memory limit.
    Overrun,
    /// It was stopped by a call.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Its worker died.
    Died,
}

/// Run of one task of one attempt on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The job.
    pub job: JobId,
    /// Number of the job's attempt.
    pub attempt: u64,
    /// Number of the task in the gang.
    pub index: u32,
    /// The worker.
    pub worker: WorkerId,
    /// Start time, on the clock of the fleet.
    pub from: Time,
    /// End time; `None` while the task runs.
    pub to: Option<Time>,
    /// How the task ended; `None` while it runs.
    pub ending: Option<Ending>,
}

impl Run {
    fn end_or(&self, now: Time) -> Time {
        self.to.unwrap_or(now)
    }
}

/// Expectations for the gang of a job, as its submitter declared them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Gang {
    /// The job.
    pub job: JobId,
    /// Number of tasks.
    pub tasks: u32,
    /// Whether the job may be executed more than once.
    pub idempotent: bool,
}

/// A violated scheduling guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A gang ran incompletely for longer than allowed.
    Partial {
        /// The job.
        job: JobId,
        /// Number of the job's attempt.
        attempt: u64,
        /// Duration of the incomplete run.
        span: Duration,
    },
    /// Tasks of two attempts ran at the same time for longer than allowed.
    Overlap {
        /// The job.
        job: JobId,
        /// The earlier attempt.
        first: u64,
        /// The later attempt.
        second: u64,
        /// Duration of the overlap.
        span: Duration,
    },
    /// A task succeeded in two attempts, or a task of a non-idempotent job ran in two attempts.
    Twice {
        /// The job.
        job: JobId,
        /// Number of the task in the gang.
        index: u32,
    },
    /// A task was started twice in one attempt.
    Restarted {
        /// The job.
        job: JobId,
        /// Number of the job's attempt.
        attempt: u64,
        /// Number of the task in the gang.
        index: u32,
    },
}

impl Violation {
    /// Returns the job whose guarantee was violated.
    pub fn job(&self) -> JobId {
        match self {
            Violation::Partial { job, .. }
            | Violation::Overlap { job, .. }
            | Violation::Twice { job, .. }
            | Violation::Restarted { job, .. } => *job,
        }
    }
}

/// Checks the runs of one gang.
///
/// `bound` is how long the gang may run incompletely, or two of its attempts may overlap.
pub(crate) fn check(gang: &Gang, runs: &[Run], now: Time, bound: Duration) -> Vec<Violation> {
    let mut attempts: BTreeMap<u64, Vec<&Run>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.job == gang.job) {
        attempts.entry(run.attempt).or_default().push(run);
    }
    let mut violations = Vec::new();
    for (&attempt, runs) in &attempts {
        violations.extend(find_partial(gang, attempt, runs, now, bound));
        violations.extend(find_restarted(gang.job, attempt, runs));
    }
    violations.extend(find_overlaps(gang.job, &attempts, now, bound));
    violations.extend(find_twice(gang, &attempts));
    violations
}

/// Checks how long the gang ran before all tasks had started or after the first one ended early.
fn find_partial(
    gang: &Gang,
    attempt: u64,
    runs: &[&Run],
    now: Time,
    bound: Duration,
) -> Option<Violation> {
    let first_start = runs.iter().map(|run| run.from).min()?;
    let last_end = runs.iter().map(|run| run.end_or(now)).max()?;
    let all_started = runs.len() >= gang.tasks as usize;
    let complete_at = if all_started { runs.iter().map(|run| run.from).max()? } else { last_end };
    let partial_before = complete_at.min(last_end).since(first_start);
    let is_unsuccessful = |run: &&&Run| !matches!(run.ending, None | Some(Ending::Succeeded));
    let first_failure = runs.iter().filter(is_unsuccessful).filter_map(|run| run.to).min();
    let partial_after =
        first_failure.map_or(Duration::ZERO, |first_failure| last_end.since(first_failure));
    let span = partial_before.max(partial_after);
    (span > bound).then_some(Violation::Partial { job: gang.job, attempt, span })
}

/// Finds tasks that were started more than once in one attempt.
fn find_restarted(job: JobId, attempt: u64, runs: &[&Run]) -> Vec<Violation> {
    let mut starts: BTreeMap<u32, u32> = BTreeMap::new();
    for run in runs {
        *starts.entry(run.index).or_default() += 1;
    }
    let repeated = starts.into_iter().filter(|(_, starts)| *starts > 1);
    repeated.map(|(index, _)| Violation::Restarted { job, attempt, index }).collect()
}

/// Finds pairs of attempts that overlap for longer than `bound`.
fn find_overlaps(
    job: JobId,
    attempts: &BTreeMap<u64, Vec<&Run>>,
    now: Time,
    bound: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (&first, earlier) in attempts {
        for (&second, later) in attempts.range(first + 1..) {
            let end = earlier.iter().map(|run| run.end_or(now)).max().unwrap_or(Time::ZERO);
            let start = later.iter().map(|run| run.from).min().unwrap_or(Time::NEVER);
            let span = end.since(start);
            if span > bound {
                violations.push(Violation::Overlap { job, first, second, span });
            }
        }
    }
    violations
}

/// Finds tasks that succeeded twice, or ran twice if the job is not idempotent.
fn find_twice(gang: &Gang, attempts: &BTreeMap<u64, Vec<&Run>>) -> Vec<Violation> {
    let mut run_counts: BTreeMap<u32, u32> = BTreeMap::new();
    for run in attempts.values().flatten() {
        if !gang.idempotent || run.ending == Some(Ending::Succeeded) {
            *run_counts.entry(run.index).or_default() += 1;
        }
    }
    let repeated = run_counts.into_iter().filter(|(_, times)| *times > 1);
    repeated.map(|(index, _)| Violation::Twice { job: gang.job, index }).collect()
}
