//! The promises that a world checks at every start and at its end.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::ATTEMPTS;
use super::CANCEL_MS;
use super::Faults;
use super::Known;
use super::RECLAIM_MS;
use super::World;
use super::allows;
use batch::JobId;
use batch::JobState;
use batch::Record;
use batch::StepKey;
use batch::TaskKey;
use batch::WorkerId;

impl World {
    /// Checks a start against the promises.
    pub(super) fn started(&mut self, owner: u64, worker: &WorkerId, task: &TaskKey, run: u32) {
        self.starts += 1;
        self.note(format!("start {task} run {run} on {worker} by {owner}"));
        let now = self.now;
        for (id, fake) in &self.workers {
            if id != worker && fake.up && fake.running.contains_key(task) {
                self.fail(&format!("{task} runs twice: on {id} and on {worker}"));
            }
        }
        if self.done.contains(task) {
            self.fail(&format!("{task} starts after its end was stored as done"));
        }
        let queue = &self.jobs[&task.job].submission.queue;
        let key = StepKey { job: task.job.clone(), occurrence: task.occurrence, step: task.step };
        if self.policy.queues[queue].advised && !allows(&key, worker) {
            self.fail(&format!("{task} starts on {worker}, which may not run it"));
        }
        let fake = &self.workers[worker];
        if !fake.used().fits(&fake.capacity) {
            self.fail(&format!("{worker} is over its capacity: {:?}", fake.used()));
        }
        let Some(job) = self.jobs.get(&task.job) else {
            self.fail(&format!("{task} of no job starts"));
        };
        if job.cancelled.is_some_and(|at| at + CANCEL_MS < now) {
            self.fail(&format!("{task} starts after its job was cancelled"));
        }
        let spec = Arc::clone(&job.submission.spec);
        if task.step == 0
            && let Some(job) = self.jobs.get_mut(&task.job)
        {
            job.begun.insert(task.index);
        }
        let step = &spec.steps[task.step as usize];
        for &before in &step.after {
            for index in 0..spec.steps[before as usize].count {
                let earlier = TaskKey { step: before, index, ..task.clone() };
                if !self.done.contains(&earlier) {
                    self.fail(&format!("{task} starts before {earlier} is done"));
                }
            }
        }
        let index = if step.gang { 0 } else { task.index };
        let failed = self.failures.get(&(task.job.clone(), task.occurrence, task.step, index));
        // The end of one member stands for its gang.
        let members = if step.gang { 0..step.count } else { index..index + 1 };
        let heard = |run: &&u32| {
            let mut keys = members.clone().map(|index| TaskKey { index, ..task.clone() });
            keys.any(|key| !self.unheard_ends.contains(&(key, **run)))
        };
        if failed.is_some_and(|runs| runs.iter().filter(heard).count() >= ATTEMPTS as usize) {
            self.fail(&format!("{task} starts after {ATTEMPTS} failures"));
        }
    }

    pub(super) fn fail(&self, what: &str) -> ! {
        let from = self.trace.len().saturating_sub(400);
        for line in &self.trace[from..] {
            println!("{line}");
        }
        panic!("at {} ms: {what}", self.now);
    }

    pub(super) fn failures_of(&self, id: &JobId) -> u32 {
        let own = self.failures.iter().filter(|((job, ..), _)| job == id);
        own.map(|(_, runs)| runs.len() as u32).max().unwrap_or(0)
    }

    /// Checks that urgent jobs within their account's guarantee begin in time.
    pub(super) fn check_guarantees(&mut self) {
        let now = self.now;
        let calm = self.quiet();
        let mut needs: BTreeMap<String, u64> = BTreeMap::new();
        let open = |id: &JobId, job: &Known, records: &BTreeMap<JobId, Record>| {
            job.submission.queue == "urgent"
                && !records.get(id).is_some_and(|record| record.state.ended())
        };
        let need = |job: &Known| -> u64 {
            let steps = job.submission.spec.steps.iter();
            steps.map(|step| step.need.gpu * u64::from(step.count)).max().unwrap_or(0)
        };
        for (id, job) in &self.jobs {
            if open(id, job, &self.records) {
                let account = job.submission.account.clone().unwrap_or_default();
                *needs.entry(account).or_default() += need(job);
            }
        }
        let mut late = None;
        for (id, job) in &mut self.jobs {
            let account = job.submission.account.clone().unwrap_or_default();
            let limit = self.policy.accounts.get(&account).map_or(0, |account| account.guaranteed);
            let inside = open(id, job, &self.records)
                && job.cancelled.is_none()
                && needs.get(&account).is_some_and(|&need| need <= limit);
            job.inside = if inside && calm { job.inside.or(Some(now)) } else { None };
            let begun = job.begun.len() as u32 == job.submission.spec.steps[0].count;
            if !begun && job.inside.is_some_and(|since| since + RECLAIM_MS < now) {
                late = Some(id.clone());
            }
        }
        if let Some(id) = late {
            let spec = &self.jobs[&id].submission.spec;
            self.fail(&format!("{id} is guaranteed and has not begun: {spec:?}"));
        }
    }

    /// Whether no fault can have an effect any more.
    pub(super) fn quiet(&self) -> bool {
        let none = Faults::default();
        let calm = self.calm() && self.now > self.calm_from + 20_000;
        calm || format!("{:?}", self.faults) == format!("{none:?}")
    }

    /// Checks that every job has come to a fitting end.
    pub fn check_ends(&self) {
        for (id, job) in &self.jobs {
            let state = self.shown(id);
            let fits = match state {
                JobState::Completed => true,
                JobState::Cancelled => job.cancelled.is_some(),
                JobState::Failed => job.poison || self.failures_of(id) >= ATTEMPTS,
                JobState::Pending | JobState::Running => false,
            };
            if !fits {
                let record = self.records.get(id);
                self.fail(&format!("{id} of {} ms ends as {state}: {record:?}", job.at));
            }
        }
    }

    /// State of a job as callers are shown it.
    pub fn shown(&self, id: &JobId) -> JobState {
        self.records.get(id).map_or(JobState::Pending, |record| record.state)
    }
}
