//! Detection of slow workers from the progress of their runs.
//!
//! Estimates of run times are rough, so a run is compared with the other runs of its step, which do
//! the same work, and with its own earlier pace. A slow worker gets new runs only where no other
//! worker has capacity. Its runs are left alone: a new run loses the work done so far.

use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::directory::millis;
use crate::event::RenewalReport;
use crate::job::Run;
use crate::job::Stage;
use crate::job::Task;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;
use reserve::Progress;

/// Minimum time over which the pace of a run is measured; progress is reported in whole percent.
const MIN_SPAN: Duration = Duration::from_millis(800);
/// For how long a worker counts as slow after the last sign. Its runs report every two seconds, and
/// without any the worker has to be tried again.
const SLOW_TIME: Duration = Duration::from_millis(4_000);
/// A run is slow below this percentage of the expected pace. Sound workers differ by a third.
const SLOW_PERCENT: u64 = 40;
/// A run is normal from this percentage of the expected pace.
const NORMAL_PERCENT: u64 = 65;
/// Progress of a run that has ended its work and may wait for the rest of its gang, in percent.
const WORK_ENDED: u32 = 100;

/// Progress per time, in thousandths of a percent per second.
type Pace = u64;

/// Pace of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RunPace {
    /// When its worker took the start; `None` if that is not known, or if the run resumed from a
    /// checkpoint and so did not begin with no progress.
    pub started: Option<Time>,
    /// Start of the current measurement: time and progress in percent.
    since: Option<(Time, u32)>,
    /// When the last measurement ended.
    measured: Time,
    last: Option<Pace>,
    best: Pace,
}

impl RunPace {
    /// Records the progress that a worker reports. `begun` is when the run began to work, if that
    /// is known.
    pub fn record(&mut self, now: Time, percent: u32, begun: Option<Time>) {
        let Some((since, before)) = self.since.or(begun.map(|at| (at, 0))) else {
            // A gang makes no progress before all of its members have started.
            if percent > 0 {
                self.since = Some((now, percent));
            }
            return;
        };
        let span = now.since(since);
        if span < MIN_SPAN || percent < before {
            return;
        }
        let pace = u64::from(percent - before) * 1_000_000 / millis(span).max(1);
        if percent >= WORK_ENDED {
            // The work ended at some time before, so this is a lower bound.
            self.last.get_or_insert(pace);
            return;
        }
        self.since = Some((now, percent));
        self.measured = now;
        self.last = Some(pace);
        self.best = self.best.max(pace);
    }
}

impl Run {
    /// Time until the run ends if it keeps its last pace; `None` if the pace is not known, or if the
    /// run should have ended already.
    pub fn time_left(&self, now: Time) -> Option<Duration> {
        if self.percent >= WORK_ENDED {
            return Some(Duration::ZERO);
        }
        let (since, percent) = self.pace.since?;
        let pace = self.pace.last.filter(|pace| *pace > 0)?;
        let needed = u64::from(WORK_ENDED.saturating_sub(percent)) * 1_000_000 / pace;
        let end = since + Duration::from_millis(needed);
        (end >= now).then(|| end.since(now))
    }
}

impl RunPace {
    /// Progress as it was last measured.
    pub fn progress(&self) -> Option<Progress> {
        let (at, percent) = self.since?;
        let took = match (self.started, self.last) {
            (Some(started), _) => Some(at.since(started)),
            (None, Some(pace)) if pace > 0 => {
                Some(Duration::from_millis(u64::from(percent) * 1_000_000 / pace))
            }
            (None, _) => None,
        };
        Some(Progress { at, percent, took })
    }
}

/// Pace of a run beside the pace that is to be expected.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    pace: Pace,
    expected: Pace,
}

impl Comparison {
    fn is_slow(&self) -> bool {
        self.pace * 100 < self.expected * SLOW_PERCENT
    }

    fn is_normal(&self) -> bool {
        self.pace * 100 >= self.expected * NORMAL_PERCENT
    }
}

impl Planner {
    /// Marks a worker as slow or as normal, from the runs whose pace its report has updated.
    pub(crate) fn judge_pace(&mut self, now: Time, id: &WorkerId, report: &RenewalReport) {
        let (mut slow, mut normal) = (false, false);
        for listed in &report.running {
            let Some(compared) = self.compare_pace(now, &listed.task) else { continue };
            slow |= compared.is_slow();
            normal |= compared.is_normal();
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let was_slow = now < worker.slow_until;
        if normal {
            worker.slow_until = Time::ZERO;
        } else if slow {
            worker.slow_until = now + SLOW_TIME;
        }
        if slow && !normal && !was_slow {
            self.out.push(Action::Note(Note::Slow { worker: id.clone() }));
        }
    }

    /// When the run of a task began to work: once its whole gang has started.
    pub(crate) fn work_begun(&self, key: &TaskKey) -> Option<Time> {
        let job = self.jobs.get(&key.job)?;
        let gang = job.spec.steps.get(key.step as usize)?.gang;
        let tasks = &job.occurrences.get(key.occurrence as usize)?.get(key.step as usize)?.tasks;
        let started = |task: &Task| match &task.stage {
            Stage::Placed(run) => run.pace.started,
            _ => None,
        };
        if !gang {
            return started(tasks.get(key.index as usize)?);
        }
        let times: Option<Vec<Time>> = tasks.iter().map(started).collect();
        times?.into_iter().max()
    }

    /// Compares the pace of a task's run, if it has been measured just now, with the median of the
    /// other runs of its step, or with its own best if that is higher.
    fn compare_pace(&self, now: Time, key: &TaskKey) -> Option<Comparison> {
        let job = self.jobs.get(&key.job)?;
        let tasks = &job.occurrences.get(key.occurrence as usize)?.get(key.step as usize)?.tasks;
        let Stage::Placed(run) = &tasks.get(key.index as usize)?.stage else { return None };
        let pace = run.pace.last.filter(|_| run.pace.measured == now)?;
        let mut others: Vec<Pace> = Vec::new();
        for task in &tasks[..] {
            if let Stage::Placed(other) = &task.stage
                && other.worker != run.worker
            {
                others.extend(other.pace.last);
            }
        }
        others.sort_unstable();
        let median = others.get(others.len() / 2).copied().unwrap_or(0);
        Some(Comparison { pace, expected: median.max(run.pace.best) })
    }
}
