//! Opening of the occurrences of jobs, from when on their tasks are kept in memory.
//!
//! An occurrence is opened when it is due. Jobs with many tasks are opened only while the directory
//! lists a worker that could run their first step, and while the open tasks of all such jobs stay
//! within a limit. Otherwise a few jobs that no worker can run would use up the memory of each owner
//! in turn.

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::job::Job;
use crate::job::JobState;
use crate::spec::JobId;
use crate::spec::MAX_JOB_TASKS;
use model::Stamp;
use model::Time;

/// Number of tasks in an occurrence from which a job is large.
const LARGE_JOB_TASKS: u64 = 1_000;
/// Maximum number of open tasks of all large jobs; they take about 30 MB.
const MAX_LARGE_TASKS: u64 = 100_000;

impl Planner {
    /// Opens the occurrences that have come due, and fails jobs that have more tasks than an owner
    /// can handle.
    pub(crate) fn open_occurrences(&mut self, now: Time, wall: Stamp) {
        let is_due = |id: &&JobId| self.jobs.get(id).is_some_and(|job| job.is_due(wall));
        let due: Vec<JobId> = self.live.iter().filter(is_due).cloned().collect();
        let mut large_tasks = None;
        for id in due {
            let Some(job) = self.jobs.get(&id) else { continue };
            let (size, tasks) = (job.spec.occurrence_size(), job.spec.task_count());
            // Admission refuses such jobs; an entry VM of an earlier version may have stored one.
            if job.occurrences.is_empty() && tasks > MAX_JOB_TASKS {
                self.out.push(Action::Note(Note::Oversized { job: id.clone(), tasks }));
                self.end_job(now, &id, JobState::Failed);
            }
            while let Some(job) = self.jobs.get(&id).filter(|job| job.is_due(wall)) {
                if size >= LARGE_JOB_TASKS {
                    let open = *large_tasks.get_or_insert_with(|| self.large_tasks());
                    if open + size > MAX_LARGE_TASKS || !self.is_runnable(job) {
                        break;
                    }
                    large_tasks = Some(open + size);
                }
                self.open_occurrence(now, &id);
            }
        }
    }

    fn open_occurrence(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.open_occurrence();
        if job.spec.first.is_some() {
            job.since = now;
        }
        self.replan = true;
    }

    /// Number of open tasks of all large jobs.
    fn large_tasks(&self) -> u64 {
        let jobs = self.live.iter().filter_map(|id| self.jobs.get(id));
        let large = jobs.filter(|job| job.spec.occurrence_size() >= LARGE_JOB_TASKS);
        large.map(|job| job.spec.occurrence_size() * job.occurrences.len() as u64).sum()
    }

    /// Whether a worker is listed that could run a task of the job's first step if it were idle.
    fn is_runnable(&self, job: &Job) -> bool {
        let Some(queue) = self.policy.queue(job) else { return false };
        let Some(step) = job.spec.steps.first() else { return false };
        self.workers.values().filter(|worker| worker.listed).any(|worker| {
            let info = &worker.info;
            info.service == queue.service
                && step.need.fits(&info.capacity)
                && step.label.as_ref().is_none_or(|label| info.labels.contains(label))
        })
    }
}

impl Job {
    /// Whether the job goes on and another of its occurrences has come due.
    fn is_due(&self, wall: Stamp) -> bool {
        let next = self.occurrences.len() as u32;
        let due = || self.spec.due(next).is_none_or(|due| due <= wall);
        !self.state.ended() && next < self.spec.occurrences() && due()
    }
}
