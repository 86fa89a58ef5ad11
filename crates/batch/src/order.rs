//! Priority order of steps that wait to be placed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Planner;
use crate::job::Job;
use crate::spec::JobId;
use crate::spec::StepSpec;
use model::Time;

/// Multiple of its latency objective after which a job earns nothing more.
const LATE_OBJECTIVES: u32 = 3;

/// A step that waits to be placed.
#[derive(Clone, Debug)]
pub(crate) struct PendingStep {
    pub job: JobId,
    pub occurrence: usize,
    pub step: usize,
    pub rank: Rank,
    /// When its job should be complete to meet its latency objective.
    pub due: Time,
}

/// Urgency of a step; lower values are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Within its client account's guarantee.
    Guaranteed,
    /// Ordered by the priority of its queue.
    Priority(u32),
    /// Too late to earn anything.
    Late,
}

impl Planner {
    /// All steps that are ready and wait to be placed, the most urgent first.
    pub(crate) fn pending_steps(&mut self, now: Time) -> Vec<PendingStep> {
        let guaranteed = self.guaranteed();
        let mut pending_steps = Vec::new();
        for id in &self.live {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if job.state.ended() {
                continue;
            }
            let objective = objective(job, &self.policy);
            let (due, last) = (job.since + objective, job.since + objective * LATE_OBJECTIVES);
            let priority = self.policy.queue(job).map_or(u32::MAX, |queue| queue.priority);
            let rank = match priority {
                0 if guaranteed.contains_key(id) => Rank::Guaranteed,
                _ if last < now => Rank::Late,
                _ => Rank::Priority(priority),
            };
            for occurrence in 0..job.occurrences.len() {
                for step in 0..job.occurrences[occurrence].len() {
                    let step_state = &job.occurrences[occurrence][step];
                    let waits = step_state.waiting() || !step_state.idle() && !step_state.done();
                    if !waits || !job.is_ready(occurrence, step) {
                        continue;
                    }
                    job.occurrences[occurrence][step].ready_at.get_or_insert(now);
                    pending_steps.push(PendingStep {
                        job: id.clone(),
                        occurrence,
                        step,
                        rank,
                        due,
                    });
                }
            }
        }
        pending_steps.sort_by(|a, b| (a.rank, a.due, &a.job).cmp(&(b.rank, b.due, &b.job)));
        pending_steps
    }

    /// Jobs of priority zero that fit within their client account's guarantee, with the
    /// accelerators that they need. The guarantee is granted to the oldest jobs first.
    pub(crate) fn guaranteed(&self) -> BTreeMap<JobId, u64> {
        let mut urgent: Vec<(Time, &JobId, &Job)> = Vec::new();
        for id in &self.live {
            let Some(job) = self.jobs.get(id) else { continue };
            let priority = self.policy.queue(job).map(|queue| queue.priority);
            if priority == Some(0) && !job.state.ended() {
                urgent.push((job.since, id, job));
            }
        }
        urgent.sort_by_key(|(since, id, _)| (*since, *id));
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        let mut inside = BTreeMap::new();
        for (_, id, job) in urgent {
            let Some(account) = &job.account else { continue };
            let limit = self.policy.accounts.get(account).map_or(0, |account| account.guaranteed);
            let need = job.spec.steps.iter().map(accelerators).max().unwrap_or(0);
            let used = used.entry(account).or_default();
            if used.saturating_add(need) <= limit {
                *used += need;
                inside.insert(id.clone(), need);
            }
        }
        inside
    }
}

/// Accelerators that all tasks of a step need together.
fn accelerators(step: &StepSpec) -> u64 {
    step.need.gpu.saturating_mul(u64::from(step.count))
}

/// Latency objective of a job: its critical path times the queue's stretch factor, plus the queue's
/// fixed part.
pub(crate) fn objective(job: &Job, policy: &crate::Policy) -> Duration {
    let Some(queue) = policy.queue(job) else { return Duration::ZERO };
    let stretched = critical_path_ms(&job.spec.steps) as f64 * queue.stretch;
    Duration::from_millis((stretched as u64).saturating_add(queue.objective_ms))
}

/// When a job becomes too late to earn anything.
pub(crate) fn worthless_from(job: &Job, policy: &crate::Policy) -> Time {
    job.since + objective(job, policy) * LATE_OBJECTIVES
}

/// Longest chain of dependent steps by their estimates, in ms.
fn critical_path_ms(steps: &[StepSpec]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let start = step.after.iter().map(|&before| ends[before as usize]).max().unwrap_or(0);
        ends.push(start.saturating_add(step.estimate_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}
