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
const MEMORY: usize = 32;
/// Runs after which they count more than what was declared.
const ENOUGH: usize = 3;
/// Assumed when nobody says anything.
const DEFAULT: Duration = Duration::from_secs(600);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    service: ServiceId,
    level: u32,
}

/// Run times learned from finished jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learned {
    runs: BTreeMap<Kind, VecDeque<Duration>>,
}

/// How long a job is expected to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Expected {
    /// Half of all such jobs take less.
    pub(crate) median: Duration,
    /// Nine of ten such jobs take less.
    pub(crate) high: Duration,
}

impl Learned {
    /// Notes the run time of a finished job.
    pub(crate) fn note(&mut self, spec: &JobSpec, took: Duration) {
        let runs = self.runs.entry(kind(spec)).or_default();
        if runs.len() == MEMORY {
            runs.pop_front();
        }
        runs.push_back(took);
    }

    /// How long a job is expected to run.
    pub(crate) fn expect(&self, spec: &JobSpec, policy: &Policy) -> Expected {
        let runs = self.runs.get(&kind(spec)).filter(|runs| runs.len() >= ENOUGH);
        if let Some(runs) = runs {
            let mut sorted: Vec<Duration> = runs.iter().copied().collect();
            sorted.sort_unstable();
            let median = sorted[sorted.len() / 2];
            let high = sorted[sorted.len() * 9 / 10];
            return Expected { median, high };
        }
        let assumed = policy.services.get(&spec.service).map(|service| service.expected);
        let declared = (!spec.declared.is_zero()).then_some(spec.declared);
        let time = declared.or(assumed).unwrap_or(DEFAULT);
        Expected { median: time, high: time }
    }
}

fn kind(spec: &JobSpec) -> Kind {
    Kind { service: spec.service.clone(), level: level_of(spec.shape.total_accelerators()) }
}
