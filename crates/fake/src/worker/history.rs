//! Which tasks ran when, and what in it breaks a promise.

use std::collections::BTreeMap;
use std::time::Duration;

use model::JobId;
use model::Time;
use model::WorkerId;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// By itself, well.
    Succeeded,
    /// By itself, badly.
    Failed,
    /// It took more memory than its share.
    Overrun,
    /// It was told to.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Its worker died.
    Died,
}

/// One task of one attempt on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The job.
    pub job: JobId,
    /// Its attempt.
    pub attempt: u64,
    /// Number of the task in the gang.
    pub index: u32,
    /// The worker.
    pub worker: WorkerId,
    /// When it started, on the clock of the fleet.
    pub from: Time,
    /// When it ended; none while it runs.
    pub to: Option<Time>,
    /// How it ended; none while it runs.
    pub ending: Option<Ending>,
}

impl Run {
    fn until(&self, now: Time) -> Time {
        self.to.unwrap_or(now)
    }
}

/// A gang as its submitter knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Gang {
    /// The job.
    pub job: JobId,
    /// Number of its tasks.
    pub tasks: u32,
    /// Whether it may run again from the start.
    pub idempotent: bool,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A gang ran in part for longer than it may.
    Partial {
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: u64,
        /// How long.
        span: Duration,
    },
    /// Tasks of two attempts ran at the same time.
    Overlap {
        /// The job.
        job: JobId,
        /// The earlier attempt.
        first: u64,
        /// The later attempt.
        second: u64,
        /// For how long.
        span: Duration,
    },
    /// A task ran well in two attempts, or a non-idempotent job ran in two.
    Twice {
        /// The job.
        job: JobId,
        /// Number of the task in the gang.
        index: u32,
    },
    /// A task started twice in one attempt.
    Restarted {
        /// The job.
        job: JobId,
        /// Its attempt.
        attempt: u64,
        /// Number of the task in the gang.
        index: u32,
    },
}

impl Violation {
    /// The job that broke the promise.
    pub fn job(&self) -> JobId {
        match self {
            Violation::Partial { job, .. }
            | Violation::Overlap { job, .. }
            | Violation::Twice { job, .. }
            | Violation::Restarted { job, .. } => *job,
        }
    }
}

/// Checks one gang; `bound` is how long a part of it, or two attempts, may run at once.
pub(crate) fn check(gang: &Gang, runs: &[Run], now: Time, bound: Duration) -> Vec<Violation> {
    let mut attempts: BTreeMap<u64, Vec<&Run>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.job == gang.job) {
        attempts.entry(run.attempt).or_default().push(run);
    }
    let mut violations = Vec::new();
    for (&attempt, runs) in &attempts {
        violations.extend(partial(gang, attempt, runs, now, bound));
        violations.extend(restarted(gang.job, attempt, runs));
    }
    violations.extend(overlaps(gang.job, &attempts, now, bound));
    violations.extend(twice(gang, &attempts));
    violations
}

fn partial(
    gang: &Gang,
    attempt: u64,
    runs: &[&Run],
    now: Time,
    bound: Duration,
) -> Option<Violation> {
    let first = runs.iter().map(|run| run.from).min()?;
    let last = runs.iter().map(|run| run.until(now)).max()?;
    let whole = runs.len() >= gang.tasks as usize;
    let all = if whole { runs.iter().map(|run| run.from).max()? } else { last };
    let before = all.min(last).since(first);
    let bad = |run: &&&Run| !matches!(run.ending, None | Some(Ending::Succeeded));
    let broken = runs.iter().filter(bad).filter_map(|run| run.to).min();
    let after = broken.map_or(Duration::ZERO, |broken| last.since(broken));
    let span = before.max(after);
    (span > bound).then_some(Violation::Partial { job: gang.job, attempt, span })
}

fn restarted(job: JobId, attempt: u64, runs: &[&Run]) -> Vec<Violation> {
    let mut starts: BTreeMap<u32, u32> = BTreeMap::new();
    for run in runs {
        *starts.entry(run.index).or_default() += 1;
    }
    let doubled = starts.into_iter().filter(|(_, starts)| *starts > 1);
    doubled.map(|(index, _)| Violation::Restarted { job, attempt, index }).collect()
}

fn overlaps(
    job: JobId,
    attempts: &BTreeMap<u64, Vec<&Run>>,
    now: Time,
    bound: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (&first, earlier) in attempts {
        for (&second, later) in attempts.range(first + 1..) {
            let end = earlier.iter().map(|run| run.until(now)).max().unwrap_or(Time::ZERO);
            let start = later.iter().map(|run| run.from).min().unwrap_or(Time::NEVER);
            let span = end.since(start);
            if span > bound {
                violations.push(Violation::Overlap { job, first, second, span });
            }
        }
    }
    violations
}

fn twice(gang: &Gang, attempts: &BTreeMap<u64, Vec<&Run>>) -> Vec<Violation> {
    let mut ran: BTreeMap<u32, u32> = BTreeMap::new();
    for run in attempts.values().flatten() {
        if !gang.idempotent || run.ending == Some(Ending::Succeeded) {
            *ran.entry(run.index).or_default() += 1;
        }
    }
    let doubled = ran.into_iter().filter(|(_, times)| *times > 1);
    doubled.map(|(index, _)| Violation::Twice { job: gang.job, index }).collect()
}
