//! Invariants of jobs, checked against what workers and callers observed.

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

/// What workers and callers observed of a job.
#[derive(Clone, Debug)]
pub struct JobHistory {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Run time of its tasks without an interruption.
    pub run_time: Duration,
    /// Time of its submission.
    pub submitted: Time,
    /// Whether its tasks fail on every worker.
    pub always_fails: bool,
    /// Latest reply to its submission; `None` until the first one.
    pub reply: Option<Reply>,
    /// Workers that received a lease request, by attempt.
    pub parts: BTreeMap<Attempt, BTreeSet<WorkerId>>,
    /// Workers that started tasks, by attempt.
    pub starts: BTreeMap<Attempt, BTreeSet<WorkerId>>,
    /// Time at which all parts of an attempt had started for the first time.
    pub started: Option<Time>,
    /// Workers on which tasks ended, by attempt.
    pub ends: BTreeMap<Attempt, BTreeSet<WorkerId>>,
    /// Time at which all tasks of an attempt had succeeded for the first time.
    pub finished: Option<Time>,
    /// Run time preserved by checkpoints.
    saved_time: Duration,
    /// Latest attempt whose checkpoint is included in `saved_time`; the leases of an attempt count
    /// once.
    saved_attempt: Attempt,
    /// Time since which only some parts of a gang run.
    partial_since: Option<Time>,
}

impl JobHistory {
    /// Creates the history of a job submitted at `now`.
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

    /// Run time left after the last checkpoint.
    pub fn remaining_time(&self) -> Duration {
        self.run_time.saturating_sub(self.saved_time)
    }

    /// Records a reply to its submission.
    pub fn record_reply(&mut self, reply: &Reply) {
        self.reply = Some(reply.clone());
    }

    /// Whether its submission was refused with the verdict that it did not run.
    fn is_refused(&self) -> bool {
        matches!(self.reply, Some(Reply::Refused { verdict: Verdict::NotRun, .. }))
    }

    /// Whether its acceptance was reported as stored.
    fn is_stored(&self) -> bool {
        matches!(self.reply, Some(Reply::Accepted { durable: true }))
    }
}

impl World {
    /// Records that a worker received a lease request.
    pub(crate) fn record_part(&mut self, job: JobId, attempt: Attempt, worker: &WorkerId) {
        if let Some(history) = self.histories.get_mut(&job) {
            history.parts.entry(attempt).or_default().insert(worker.clone());
        }
    }

    /// Records that a worker started tasks, and checks that the job may be started.
    pub(crate) fn record_start(&mut self, job: JobId, attempt: Attempt, worker: &WorkerId) {
        let now = self.now;
        let Some(history) = self.histories.get_mut(&job) else { return };
        history.starts.entry(attempt).or_default().insert(worker.clone());
        assert!(!history.is_refused(), "job {job} was refused with verdict NotRun but has started");
        let attempts = history.starts.len();
        assert!(
            history.spec.idempotent || history.spec.checkpoint || attempts == 1,
            "job {job} must run at most once but was started in {attempts} attempts",
        );
        if history.starts[&attempt] == history.parts[&attempt] {
            history.started.get_or_insert(now);
        }
    }

    /// Records that the tasks on a worker ended by themselves.
    pub(crate) fn record_end(&mut self, job: JobId, attempt: Attempt, worker: &WorkerId) {
        if let Some(history) = self.histories.get_mut(&job) {
            history.ends.entry(attempt).or_default().insert(worker.clone());
            if !history.always_fails && history.ends[&attempt] == history.parts[&attempt] {
                history.finished.get_or_insert(self.now);
            }
        }
    }

    /// Records the release of a lease. If its tasks were running, the time since the last complete
    /// checkpoint counts as lost and the time before as saved.
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

    /// Longest time for which only some parts of a gang may run: until the loss of a part is
    /// detected, the last renewals in flight have arrived and the other leases have expired.
    pub fn max_partial_time(&self) -> Duration {
        self.settings.lost_after + self.settings.lease_ttl + self.settings.max_latency
    }

    /// Checks that no gang has run only in part for longer than [`World::max_partial_time`].
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
                assert!(span <= max_span, "job {job} has run only in part for {span:?}");
            }
        }
        for (job, history) in &mut self.histories {
            if !partial.contains(job) {
                history.partial_since = None;
            }
        }
    }

    /// Checks that every accepted job has ended with a verdict that fits its history; called after
    /// the end of all faults.
    pub fn check_ends(&self) {
        let owner = &self.owners[self.last_owner()];
        for (job, history) in &self.histories {
            let Some(view) = owner.shard.explain(*job) else {
                assert!(
                    !history.is_stored(),
                    "job {job} was accepted durably but the owner does not know it"
                );
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
                    assert!(
                        is_whole || failed,
                        "job {job} has verdict Ran but did not run to its end"
                    );
                }
                Some(Verdict::NotRun) => {
                    assert!(
                        history.starts.is_empty(),
                        "job {job} has verdict NotRun but was started"
                    );
                }
                Some(Verdict::Unknown) => {
                    let runs_once = !history.spec.idempotent && !history.spec.checkpoint;
                    let cancelled = view.state == JobState::Cancelled;
                    assert!(
                        runs_once || cancelled,
                        "job {job} has verdict Unknown but may be rerun: {}",
                        view.reason
                    );
                }
                None => panic!("job {job} has ended without a verdict"),
            }
        }
    }
}
