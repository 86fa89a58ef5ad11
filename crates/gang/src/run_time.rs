//! Run time estimates from finished jobs.
//!
//! Declared run times are far off, so as soon as a few run times of a service's jobs of similar
//! size are known, the estimate is based on those alone.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::JobSpec;
use crate::Policy;
use crate::place::tree::level_of;
use model::ServiceId;

/// Number of recent runs kept for each service and size.
const MAX_RUNS: usize = 32;
/// Minimum number of known runs that replace the declared run time.
const MIN_RUNS: usize = 3;
/// Run time assumed if neither the job nor its service gives one.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(600);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    service: ServiceId,
    level: u32,
}

/// Recent run times by service and size.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    runs: BTreeMap<RunKey, VecDeque<Duration>>,
}

/// Estimated run time of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunEstimate {
    /// Median run time.
    pub(crate) median: Duration,
    /// 90th percentile of the run time.
    pub(crate) p90: Duration,
}

impl RunTimes {
    /// Records the run time of a finished job.
    pub(crate) fn record(&mut self, spec: &JobSpec, took: Duration) {
        let runs = self.runs.entry(run_key(spec)).or_default();
        if runs.len() == MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(took);
    }

    /// Estimated run time of a job.
    pub(crate) fn estimate(&self, spec: &JobSpec, policy: &Policy) -> RunEstimate {
        let runs = self.runs.get(&run_key(spec)).filter(|runs| runs.len() >= MIN_RUNS);
        if let Some(runs) = runs {
            let mut sorted: Vec<Duration> = runs.iter().copied().collect();
            sorted.sort_unstable();
            let median = sorted[sorted.len() / 2];
            let p90 = sorted[sorted.len() * 9 / 10];
            return RunEstimate { median, p90 };
        }
        let assumed = policy.services.get(&spec.service).map(|service| service.expected);
        let declared = (!spec.declared.is_zero()).then_some(spec.declared);
        let time = declared.or(assumed).unwrap_or(DEFAULT_RUN_TIME);
        RunEstimate { median: time, p90: time }
    }
}

fn run_key(spec: &JobSpec) -> RunKey {
    RunKey { service: spec.service.clone(), level: level_of(spec.shape.total_accelerators()) }
}
