//! Run times learned from finished jobs.
//!
//! Declared run times are far off, so what a service's jobs of one size really took decides as
//! soon as a few are known.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::JobSpec;
use crate::Policy;
use crate::place::tree::level_of;
use model::ServiceId;

/// Runs that are remembered for a service and size.
const MAX_RUNS: usize = 32;
/// Runs after which they count more than what was declared.
const MIN_RUNS: usize = 3;
/// Assumed when nobody says anything.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(600);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    service: ServiceId,
    level: u32,
}

/// Run times learned from finished jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    runs: BTreeMap<RunKey, VecDeque<Duration>>,
}

/// How long a job is expected to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunEstimate {
    /// Half of all such jobs take less.
    pub(crate) median: Duration,
    /// Nine of ten such jobs take less.
    pub(crate) p90: Duration,
}

impl RunTimes {
    /// Notes the run time of a finished job.
    pub(crate) fn record(&mut self, spec: &JobSpec, took: Duration) {
        let runs = self.runs.entry(run_key(spec)).or_default();
        if runs.len() == MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(took);
    }

    /// How long a job is expected to run.
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
    RunKey { service: spec.service.clone(), level: level_of(spec.shape.total()) }
}
