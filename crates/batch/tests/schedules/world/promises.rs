//! Invariants of the scheduler, checked at every start and at the end of a simulation.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::ATTEMPTS;
use super::CANCEL_TIMEOUT_MS;
use super::CONTACT_MS;
use super::CRASH_BUDGET;
use super::CRASHES_TO_FAIL;
use super::EXCESS_STARTS;
use super::Faults;
use super::GUARANTEE_TIMEOUT_MS;
use super::KNOWN_END_MS;
use super::SHRINK_TIMEOUT_MS;
use super::STOP_TIMEOUT_MS;
use super::SubmittedJob;
use super::World;
use super::is_allowed;
use crate::worker::FakeWorker;
use batch::JobId;
use batch::JobState;
use batch::Record;
use batch::StepKey;
use batch::TaskKey;
use batch::WorkerId;

impl World {
    /// Records a start and checks the invariants of a start.
    pub(super) fn check_start(&mut self, owner: u64, worker: &WorkerId, task: &TaskKey, run: u32) {
        self.starts += 1;
        self.log_line(format!("start {task} run {run} on {worker} by {owner}"));
        let now = self.now;
        for (id, fake) in &self.workers {
            if id != worker && fake.up && fake.running.contains_key(task) {
                self.fail_schedule(&format!("{task} runs twice: on {id} and on {worker}"));
            }
        }
        if self.stored_done.get(task).is_some_and(|at| !self.is_excused(task, *at)) {
            self.fail_schedule(&format!("{task} starts after its end was stored as done"));
        }
        let queue = &self.jobs[&task.job].submission.queue;
        let key = StepKey { job: task.job.clone(), occurrence: task.occurrence, step: task.step };
        if self.policy.queues[queue].advised && !is_allowed(&key, worker) {
            self.fail_schedule(&format!("{task} starts on {worker}, which may not run it"));
        }
        let fake = &self.workers[worker];
        let known = match self.shrunk.get(worker) {
            Some((at, before)) if now <= at + SHRINK_TIMEOUT_MS => *before,
            _ => fake.capacity,
        };
        if !fake.used().fits(&known) {
            self.fail_schedule(&format!("{worker} is over its capacity: {:?}", fake.used()));
        }
        let Some(job) = self.jobs.get(&task.job) else {
            self.fail_schedule(&format!("{task} starts but its job is unknown"));
        };
        if job.cancelled_at.is_some_and(|at| at + CANCEL_TIMEOUT_MS < now) {
            self.fail_schedule(&format!("{task} starts after its job was cancelled"));
        }
        let spec = Arc::clone(&job.submission.spec);
        if task.step == 0
            && let Some(job) = self.jobs.get_mut(&task.job)
        {
            job.begun_tasks.insert(task.index);
        }
        let step = &spec.steps[task.step as usize];
        for &before in &step.after {
            for index in 0..spec.steps[before as usize].count {
                let earlier = TaskKey { step: before, index, ..task.clone() };
                if !self.stored_done.contains_key(&earlier) {
                    self.fail_schedule(&format!("{task} starts before {earlier} is done"));
                }
            }
        }
        let index = if step.gang { 0 } else { task.index };
        let failed = self.failures.get(&(task.job.clone(), task.occurrence, task.step, index));
        // The acknowledged end of any member counts for the whole gang.
        let members = if step.gang { 0..step.count } else { index..index + 1 };
        let reported = |run: &&u32| {
            let mut keys = members.clone().map(|index| TaskKey { index, ..task.clone() });
            keys.any(|key| {
                let end = (key, **run);
                !self.unacked_ends.contains(&end) && !self.lost_ends.contains(&end)
            })
        };
        if failed.is_some_and(|runs| runs.iter().filter(reported).count() >= ATTEMPTS as usize) {
            self.fail_schedule(&format!("{task} starts after {ATTEMPTS} failures"));
        }
        self.check_crashes(owner, task);
    }

    /// Whether a task that was stored as done at `at` may start: all of its runs that ended as done
    /// were on workers whose leases expired before the ends were acknowledged. Such an end binds
    /// owners only some time after it is known.
    fn is_excused(&self, task: &TaskKey, at: u64) -> bool {
        let spec = &self.jobs[&task.job].submission.spec.steps[task.step as usize];
        let members = if spec.gang { 0..spec.count } else { task.index..task.index + 1 };
        let mut keys = members.map(|index| TaskKey { index, ..task.clone() });
        let lapsed = keys.all(|key| {
            let runs = self.done_runs.get(&key).into_iter().flatten();
            runs.map(|run| (key.clone(), *run)).all(|end| self.unacked_ends.contains(&end))
        });
        lapsed && self.now <= at + KNOWN_END_MS
    }

    /// Checks that a task that crashes its workers is not started again and again.
    fn check_crashes(&mut self, owner: u64, task: &TaskKey) {
        let crashes = self.crashes.get(task).copied().unwrap_or(0);
        if self.jobs[&task.job].crashing != Some(task.index)
            || crashes < CRASH_BUDGET
            || owner != self.owner
        {
            return;
        }
        let starts = self.excess_starts.entry(task.clone()).or_default();
        *starts += 1;
        if *starts >= EXCESS_STARTS {
            let starts = *starts;
            self.fail_schedule(&format!(
                "{task} starts {starts} times after {CRASH_BUDGET} workers crashed under it"
            ));
        }
    }

    /// Largest number of workers that crashed while they ran one task of a job.
    pub fn crashes_of(&self, id: &JobId) -> u32 {
        let own = self.crashes.iter().filter(|(task, _)| task.job == *id);
        own.map(|(_, crashes)| *crashes).max().unwrap_or(0)
    }

    pub(super) fn fail_schedule(&self, what: &str) -> ! {
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

    /// Checks that urgent jobs within their account's guarantee start in time.
    pub(super) fn check_guarantees(&mut self) {
        let now = self.now;
        let over = self.faults_over();
        let mut needs: BTreeMap<String, u64> = BTreeMap::new();
        let open = |id: &JobId, job: &SubmittedJob, records: &BTreeMap<JobId, Record>| {
            job.submission.queue == "urgent"
                && !records.get(id).is_some_and(|record| record.state.ended())
        };
        let need = |job: &SubmittedJob| -> u64 {
            let steps = job.submission.spec.steps.iter();
            steps.map(|step| step.need.gpu * u64::from(step.count)).max().unwrap_or(0)
        };
        for (id, job) in &self.jobs {
            if open(id, job, &self.records) {
                let account = job.submission.account.clone().unwrap_or_default();
                *needs.entry(account).or_default() += need(job);
            }
        }
        let mut overdue = None;
        for (id, job) in &mut self.jobs {
            let account = job.submission.account.clone().unwrap_or_default();
            let limit = self.policy.accounts.get(&account).map_or(0, |account| account.guaranteed);
            let guaranteed = open(id, job, &self.records)
                && job.cancelled_at.is_none()
                && needs.get(&account).is_some_and(|&need| need <= limit);
            job.guaranteed_since =
                if guaranteed && over { job.guaranteed_since.or(Some(now)) } else { None };
            let begun = job.begun_tasks.len() as u32 == job.submission.spec.steps[0].count;
            if !begun
                && job.guaranteed_since.is_some_and(|since| since + GUARANTEE_TIMEOUT_MS < now)
            {
                overdue = Some(id.clone());
            }
        }
        if let Some(id) = overdue {
            let spec = &self.jobs[&id].submission.spec;
            self.fail_schedule(&format!("{id} is guaranteed and has not begun: {spec:?}"));
        }
    }

    /// Checks that runs of cancelled and ended jobs stop in time on workers without recent faults.
    pub(super) fn check_ended_jobs(&self) {
        let now = self.now;
        let recent = |at: u64| at + CONTACT_MS > now;
        // An owner whose view of the cancellations is delayed stops their runs late.
        if recent(self.owner_since) || recent(self.reads.delayed_until) {
            return;
        }
        let calm = |fake: &&FakeWorker| {
            let faults = [fake.started, fake.cut_until, fake.deaf_until, fake.idle_until];
            fake.up && !faults.into_iter().any(recent)
        };
        let overdue = |id: &JobId| {
            let cancelled_at = self.jobs[id].cancelled_at;
            let ended_at = cancelled_at.or_else(|| self.ended_at.get(id).copied());
            ended_at.is_some_and(|at| at + CANCEL_TIMEOUT_MS + STOP_TIMEOUT_MS < now)
        };
        for fake in self.workers.values().filter(calm) {
            for (task, work) in &fake.running {
                if overdue(&task.job) && !recent(work.since) {
                    self.fail_schedule(&format!("{task} runs on though its job has ended"));
                }
            }
        }
    }

    /// Whether no fault can have an effect any longer.
    pub(super) fn faults_over(&self) -> bool {
        let none = Faults::default();
        let over = self.is_calm() && self.now > self.calm_from + 20_000;
        if self.last_crash.is_some_and(|at| self.now < at + 20_000) {
            return false;
        }
        over || format!("{:?}", self.faults) == format!("{none:?}")
    }

    /// Checks that every job has ended in a state that fits its history.
    pub fn check_ends(&self) {
        for (id, job) in &self.jobs {
            let state = self.stored_state(id);
            let fits = match state {
                JobState::Completed => true,
                JobState::Cancelled => job.cancelled_at.is_some(),
                JobState::Failed => {
                    job.always_fails
                        || self.failures_of(id) >= ATTEMPTS
                        || self.crashes_of(id) >= CRASHES_TO_FAIL
                }
                JobState::Pending | JobState::Running => false,
            };
            if !fits {
                let record = self.records.get(id);
                self.fail_schedule(&format!(
                    "{id} of {} ms ends as {state}: {record:?}",
                    job.submitted_at
                ));
            }
        }
    }

    /// State of a job in the store, as callers see it.
    pub fn stored_state(&self, id: &JobId) -> JobState {
        self.records.get(id).map_or(JobState::Pending, |record| record.state)
    }
}
