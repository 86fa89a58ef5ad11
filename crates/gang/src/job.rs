//! In-memory state of a job.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Attempt;
use crate::Explanation;
use crate::JobEvent;
use crate::JobState;
use crate::Step;
use crate::Ticket;
use crate::page::Record;
use crate::page::Stage;
use crate::place::resources::Slot;
use crate::preempt::Plan;
use crate::preempt::Rank;
use crate::queue::Class;
use crate::state::JOB;
use model::Stamp;
use model::Time;
use model::Verdict;
use model::WorkerId;

/// Maximum number of transitions kept per job; the first and the last half are kept.
const MAX_PATH_STEPS: usize = 24;

/// State of the part of a gang on one worker.
#[derive(Clone, Debug)]
pub(crate) struct GangPart {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// Accelerators and tasks on that worker.
    pub(crate) slot: Slot,
    /// Whether the worker granted the lease.
    pub(crate) leased: bool,
    /// Whether the worker started the tasks.
    pub(crate) started: bool,
    /// Whether nothing of the attempt is left on the worker.
    pub(crate) gone: bool,
    /// Whether all tasks on the worker succeeded.
    pub(crate) done: bool,
    /// When the worker last answered a lease or start request. Reports made before that may not
    /// show the lease.
    pub(crate) answered_at: Time,
    /// When an answer or a report last showed the lease.
    pub(crate) confirmed_at: Time,
    /// When the lease was last requested, started or renewed.
    pub(crate) renewed_at: Time,
    /// Lifetime of the lease from `renewed_at`.
    pub(crate) ttl: Duration,
    /// When the first stop was sent, or `NEVER`.
    pub(crate) stop_sent: Time,
    /// When the last checkpoint was complete, or `ZERO`.
    pub(crate) checkpoint_at: Time,
}

impl GangPart {
    /// Creates a part whose lease has just been requested.
    pub(crate) fn new(worker: WorkerId, slot: Slot, now: Time, ttl: Duration) -> GangPart {
        GangPart {
            worker,
            slot,
            leased: false,
            started: false,
            gone: false,
            done: false,
            answered_at: Time::ZERO,
            confirmed_at: Time::ZERO,
            renewed_at: now,
            ttl,
            stop_sent: Time::NEVER,
            checkpoint_at: Time::ZERO,
        }
    }
}

/// One attempt to run a job.
#[derive(Clone, Debug)]
pub(crate) struct Gang {
    /// Fencing token of the attempt.
    pub(crate) attempt: Attempt,
    /// Parts of the gang, one per worker.
    pub(crate) parts: Vec<GangPart>,
    /// When all tasks of the attempt were started; before that, when it was placed or recovered.
    pub(crate) began_at: Time,
    /// When the leases expire, unless tasks are started under them or a recovered gang is
    /// confirmed.
    pub(crate) expires: Time,
    /// When a checkpoint was requested, or `NEVER`.
    pub(crate) checkpoint_asked: Time,
}

impl Gang {
    /// The part on a worker.
    pub(crate) fn part(&mut self, worker: &WorkerId) -> Option<&mut GangPart> {
        self.parts.iter_mut().find(|part| part.worker == *worker)
    }

    /// The oldest of the parts' last confirmations.
    pub(crate) fn oldest_confirmation(&self) -> Time {
        self.parts.iter().map(|part| part.confirmed_at).min().unwrap_or(Time::NEVER)
    }
}

/// What happens to a job once its stopped gang is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterStop {
    /// Queue the job again, or end it as unknown if it may run only once.
    Requeue,
    /// Queue the job again: this attempt has not started any task.
    RequeueUnstarted,
    /// End the job as cancelled.
    Cancel,
    /// End the job as failed.
    Fail,
}

/// In-memory state of a job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Record as stored or about to be stored.
    pub(crate) record: Record,
    /// Index of the page that holds the record.
    pub(crate) page: usize,
    /// State of the job.
    pub(crate) state: JobState,
    /// Why the job is in this state, or what it waits for.
    pub(crate) reason: String,
    /// Transitions so far, with the middle left out.
    pub(crate) path: Vec<Step>,
    /// Start of the waiting time that counts for its rank in the queue.
    pub(crate) queued_since: Time,
    /// Time that it waited before the current attempt.
    pub(crate) waited: Duration,
    /// Earliest time at which it may be placed again.
    pub(crate) not_before: Time,
    /// When the job's timer fires, or `NEVER`.
    pub(crate) deadline: Time,
    /// Whether the acceptance is stored.
    pub(crate) durable: bool,
    /// Whether it may be placed: its acceptance is stored, or the caller asked for a volatile job.
    pub(crate) accepted: bool,
    /// Calls that wait for the acceptance to be stored.
    pub(crate) tickets: Vec<Ticket>,
    /// Highest attempt so far, stored or not.
    pub(crate) last_attempt: Attempt,
    /// Current attempt, if there is one.
    pub(crate) gang: Option<Gang>,
    /// What happens once its gang is gone; meaningful while the job is stopping.
    pub(crate) after_stop: AfterStop,
    /// Whether the gang is gone and the resulting stage is being stored.
    pub(crate) storing_release: bool,
    /// Whether tasks of any attempt may have been started.
    pub(crate) may_have_run: bool,
    /// Placement that waits for preempted jobs to leave.
    pub(crate) plan: Option<Plan>,
    /// Whether it runs in a bound block of its account's guarantee.
    pub(crate) guaranteed: bool,
    /// Workers on which it failed.
    pub(crate) failed_on: BTreeSet<WorkerId>,
    /// Total number of failures.
    pub(crate) failure_count: u32,
    /// Until when it is not placed on the workers in `failed_on`.
    pub(crate) avoid_until: Time,
    /// Version of the worker list on which the job was found to be feasible.
    pub(crate) feasible_list: u64,
    /// Since when it does not fit on the listed workers, or `NEVER`.
    pub(crate) infeasible_since: Time,
    /// Class under which it is queued, or `None` if it is not queued.
    pub(crate) class: Option<Class>,
}

impl Job {
    /// Creates a job that was just submitted or read from the store.
    pub(crate) fn new(record: Record, page: usize, now: Time) -> Job {
        Job {
            state: JOB.initial(),
            reason: record.reason.clone(),
            path: Vec::new(),
            queued_since: now,
            waited: Duration::ZERO,
            not_before: Time::ZERO,
            deadline: Time::NEVER,
            durable: false,
            accepted: false,
            tickets: Vec::new(),
            last_attempt: record.attempt,
            gang: None,
            after_stop: AfterStop::Requeue,
            storing_release: false,
            may_have_run: record.started,
            plan: None,
            guaranteed: false,
            failed_on: BTreeSet::new(),
            failure_count: 0,
            avoid_until: Time::ZERO,
            feasible_list: 0,
            infeasible_since: Time::NEVER,
            class: None,
            record,
            page,
        }
    }

    /// Applies an event to the state machine.
    ///
    /// # Panics
    ///
    /// Panics if the state machine has no such transition.
    pub(crate) fn transition(&mut self, event: JobEvent, at: Stamp, reason: &str) {
        JOB.advance(&mut self.state, event);
        self.record_step(at, reason);
    }

    /// Appends the current state to the history.
    pub(crate) fn record_step(&mut self, at: Stamp, reason: &str) {
        reason.clone_into(&mut self.reason);
        self.path.push(Step { state: self.state, at, reason: reason.to_owned() });
        if self.path.len() > MAX_PATH_STEPS {
            self.path.remove(MAX_PATH_STEPS / 2);
        }
    }

    /// Rank that decides which jobs may preempt it.
    pub(crate) fn rank(&self) -> Rank {
        let spec = &self.record.spec;
        match self.guaranteed {
            true => Rank::Guaranteed,
            false => Rank::borrowed(spec.priority, spec.rerunnable()),
        }
    }

    /// Stage to store once the gang is gone.
    pub(crate) fn stage_after_stop(&self) -> Stage {
        match self.after_stop {
            AfterStop::Cancel => Stage::Cancelled,
            AfterStop::Fail => Stage::Failed,
            AfterStop::RequeueUnstarted => Stage::Queued,
            AfterStop::Requeue if self.record.spec.rerunnable() => Stage::Queued,
            AfterStop::Requeue => Stage::Unknown,
        }
    }

    /// Whether the job ran; `None` while that is open.
    pub(crate) fn verdict(&self) -> Option<Verdict> {
        match self.record.stage {
            Stage::Queued | Stage::Placed => None,
            Stage::Done | Stage::Failed => Some(Verdict::Ran),
            Stage::Unknown => Some(Verdict::Unknown),
            Stage::Cancelled | Stage::Impossible if self.record.started => Some(Verdict::Unknown),
            Stage::Cancelled | Stage::Impossible => Some(Verdict::NotRun),
        }
    }

    /// How the job came to its current state.
    pub(crate) fn explain(&self) -> Explanation {
        Explanation {
            state: self.state,
            verdict: self.verdict(),
            attempt: self.last_attempt,
            parts: self.record.parts.clone(),
            reason: self.reason.clone(),
            path: self.path.clone(),
        }
    }
}
