//! What must hold for jobs, judged from the workers' and the callers' side.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::World;
use gang::Attempt;
use gang::JobSpec;
use gang::JobState;
use gang::Reply;
use model::JobId;
use model::Time;
use model::Verdict;
use model::WorkerId;

/// What became of a job, as workers and callers saw it.
#[derive(Clone, Debug)]
pub struct JobHistory {
    /// The job.
    pub spec: JobSpec,
    /// How long it runs.
    pub run_time: Duration,
    /// When it was submitted.
    pub submitted: Time,
    /// Whether it fails wherever it runs.
    pub always_fails: bool,
    /// What the caller was told about its submission.
    pub reply: Option<Reply>,
    /// Workers asked for leases, by attempt.
    pub parts: BTreeMap<Attempt, BTreeSet<WorkerId>>,
    /// Workers that started tasks, by attempt.
    pub starts: BTreeMap<Attempt, BTreeSet<WorkerId>>,
    /// When all parts of an attempt ran for the first time.
    pub started: Option<Time>,
    /// Workers on which tasks ended, by attempt.
    pub ends: BTreeMap<Attempt, BTreeSet<WorkerId>>,
    /// When all its tasks had ended well.
    pub finished: Option<Time>,
    saved_time: Duration,
    saved_attempt: Attempt,
    partial_since: Option<Time>,
}

impl JobHistory {
    /// A job that was just submitted.
    pub fn new(spec: JobSpec, run_time: Duration, now: Time) -> JobHistory {
        JobHistory {
            spec,
            run_time,
            submitted: now,
            always_fails: false,
            reply: None,
            parts: BTreeMap::new(),
            starts: BTreeMap::new(),
            started: None,
            ends: BTreeMap::new(),
            finished: None,
            saved_time: Duration::ZERO,
            saved_attempt: Attempt::default(),
            partial_since: None,
        }
    }

    /// How long it has still to run.
    pub fn remaining_time(&self) -> Duration {
        self.run_time.saturating_sub(self.saved_time)
    }

    /// Takes the reply to its submission.
    pub fn record_reply(&mut self, reply: &Reply) {
        self.reply = Some(reply.clone());
    }

    fn is_refused(&self) -> bool {
        matches!(self.reply, Some(Reply::Refused { verdict: Verdict::NotRun, .. }))
    }

    fn is_stored(&self) -> bool {
        matches!(self.reply, Some(Reply::Accepted { durable: true }))
    }
}

impl World {
    pub(crate) fn record_part(&mut self, job: JobId, attempt: Attempt, worker: &WorkerId) {
        if let Some(history) = self.histories.get_mut(&job) {
            history.parts.entry(attempt).or_default().insert(worker.clone());
        }
    }

    pub(crate) fn record_start(&mut self, job: JobId, attempt: Attempt, worker: &WorkerId) {
        let now = self.now;
        let Some(history) = self.histories.get_mut(&job) else { return };
        history.starts.entry(attempt).or_default().insert(worker.clone());
        assert!(!history.is_refused(), "job {job} was refused as not run, and runs");
        let attempts = history.starts.len();
        assert!(
            history.spec.idempotent || history.spec.checkpoint || attempts == 1,
            "job {job} may run once and was started in {attempts} attempts",
        );
        if history.starts[&attempt] == history.parts[&attempt] {
            history.started.get_or_insert(now);
        }
    }

    pub(crate) fn record_end(&mut self, job: JobId, attempt: Attempt, worker: &WorkerId) {
        if let Some(history) = self.histories.get_mut(&job) {
            history.ends.entry(attempt).or_default().insert(worker.clone());
            if !history.always_fails && history.ends[&attempt] == history.parts[&attempt] {
                history.finished.get_or_insert(self.now);
            }
        }
    }

    /// A lease was given up: counts what is lost, and what a checkpoint has kept.
    pub(crate) fn record_stop(&mut self, job: JobId, lease: &crate::worker::Lease) {
        if lease.tasks.is_none() || lease.end_status.is_some() {
            return;
        }
        let saved_at = lease.checkpoint.filter(|at| *at <= self.now).unwrap_or(lease.started);
        let lost_seconds = self.now.since(saved_at).as_secs_f64();
        self.lost_work += lost_seconds * f64::from(lease.accelerator_mask.count_ones());
        if let Some(history) =
            self.histories.get_mut(&job).filter(|f| f.saved_attempt < lease.attempt)
        {
            history.saved_attempt = lease.attempt;
            history.saved_time += saved_at.since(lease.started);
        }
    }

    /// Longest time that a part of a gang may run without the rest.
    pub fn max_partial_time(&self) -> Duration {
        self.settings.lost_after + self.settings.lease_ttl + self.settings.max_latency
    }

    /// Checks that every gang runs whole, or has not been partial for longer than the bound.
    pub fn check_gangs(&mut self) {
        let now = self.now;
        let max_span = self.max_partial_time();
        let mut running: BTreeMap<(JobId, Attempt), BTreeSet<WorkerId>> = BTreeMap::new();
        for (id, worker) in self.workers.iter_mut().filter(|(_, worker)| !worker.down) {
            worker.expire_leases(now);
            for (job, lease) in &worker.leases {
                if lease.tasks.is_some() {
                    running.entry((*job, lease.attempt)).or_default().insert(id.clone());
                }
            }
        }
        let mut partial = BTreeSet::new();
        for ((job, attempt), workers) in &running {
            let Some(history) = self.histories.get_mut(job) else { continue };
            let ended = history.ends.get(attempt).cloned().unwrap_or_default();
            let present: BTreeSet<_> = workers.union(&ended).cloned().collect();
            if present != history.parts[attempt] {
                partial.insert(*job);
                let since = *history.partial_since.get_or_insert(now);
                let span = now.since(since);
                assert!(span <= max_span, "job {job} has been partial for {span:?}");
            }
        }
        for (job, history) in &mut self.histories {
            if !partial.contains(job) {
                history.partial_since = None;
            }
        }
    }

    /// Checks, after all faults are over, that every job that was accepted has ended truthfully.
    pub fn check_ends(&self) {
        let owner = &self.owners[self.last_owner()];
        for (job, history) in &self.histories {
            let Some(view) = owner.shard.explain(*job) else {
                assert!(!history.is_stored(), "job {job} was accepted and is forgotten");
                continue;
            };
            assert!(
                view.state.is_final(),
                "job {job} has not ended: {} ({}) after {:?}: {:?}, {:?}",
                view.state,
                view.reason,
                self.now.since(history.submitted),
                history.spec,
                view.path,
            );
            let is_whole = history.parts.iter().any(|(attempt, parts)| {
                history.ends.get(attempt).is_some_and(|ends| ends == parts) && !history.always_fails
            });
            match view.verdict {
                Some(Verdict::Ran) => {
                    let failed = view.state == JobState::Failed;
                    assert!(is_whole || failed, "job {job} is said to have run");
                }
                Some(Verdict::NotRun) => {
                    assert!(history.starts.is_empty(), "job {job} is said not to have run");
                }
                Some(Verdict::Unknown) => {
                    let runs_once = !history.spec.idempotent && !history.spec.checkpoint;
                    let cancelled = view.state == JobState::Cancelled;
                    assert!(
                        runs_once || cancelled,
                        "job {job} need not be unknown: {}",
                        view.reason
                    );
                }
                None => panic!("job {job} has ended without a verdict"),
            }
        }
    }
}
