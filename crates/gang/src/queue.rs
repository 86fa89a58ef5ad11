//! Queue of waiting jobs.
//!
//! Jobs are grouped into equivalence classes, as in Borg: jobs of one class have the same needs and
//! the same rank, so if the oldest cannot be placed, neither can the others, and the scheduling
//! pass skips them all. Among the classes, urgent work comes first, then the job with the highest
//! response ratio, (wait + expected run time) / expected run time, divided by how far its account
//! is above its fair share. The ratio of every job grows while it waits, so no job starves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::JobSpec;
use model::AccountId;
use model::JobId;
use model::Priority;
use model::ServiceId;
use model::Time;

/// Equivalence class of jobs with the same needs and rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Class {
    priority: Priority,
    account: AccountId,
    service: ServiceId,
    tasks: u32,
    accelerators: u32,
    millicores: u32,
    memory_mib: u32,
    adjacency: u8,
    rerunnable: bool,
    failed: bool,
}

impl Class {
    /// Class of a job; `failed` tells whether the job has workers that it avoids because it failed
    /// on them.
    pub(crate) fn new(spec: &JobSpec, failed: bool) -> Class {
        Class {
            priority: spec.priority,
            account: spec.account.clone(),
            service: spec.service.clone(),
            tasks: spec.shape.tasks,
            accelerators: spec.shape.accelerators,
            millicores: spec.shape.millicores,
            memory_mib: spec.shape.memory_mib,
            adjacency: spec.shape.adjacency as u8,
            rerunnable: spec.rerunnable(),
            failed,
        }
    }
}

/// A queued job, ordered by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Waiting {
    /// Start of its waiting time.
    pub(crate) since: Time,
    /// The job.
    pub(crate) job: JobId,
}

/// All queued jobs by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    classes: BTreeMap<Class, BTreeSet<Waiting>>,
}

impl Queue {
    /// Adds a job to a class.
    pub(crate) fn insert(&mut self, class: Class, waiting: Waiting) {
        self.classes.entry(class).or_default().insert(waiting);
    }

    /// Removes a job from a class.
    pub(crate) fn remove(&mut self, class: &Class, waiting: &Waiting) {
        let Some(jobs) = self.classes.get_mut(class) else { return };
        jobs.remove(waiting);
        if jobs.is_empty() {
            self.classes.remove(class);
        }
    }

    /// The oldest job of each class.
    pub(crate) fn heads(&self) -> impl Iterator<Item = Waiting> {
        self.classes.values().filter_map(|jobs| jobs.first().copied())
    }

    /// The job after `waiting` in its class.
    pub(crate) fn after(&self, class: &Class, waiting: &Waiting) -> Option<Waiting> {
        let jobs = self.classes.get(class)?;
        let past = (std::ops::Bound::Excluded(*waiting), std::ops::Bound::Unbounded);
        jobs.range(past).next().copied()
    }
}
