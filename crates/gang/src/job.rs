//! A job in memory.

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
use crate::place::need::Slot;
use crate::preempt::Plan;
use crate::preempt::Rank;
use crate::queue::Class;
use crate::state::JOB;
use model::Stamp;
use model::Time;
use model::Verdict;
use model::WorkerId;

/// Steps of a path that are kept: the first half and the last half.
const MAX_PATH_STEPS: usize = 24;

/// What one worker has of a gang.
#[derive(Clone, Debug)]
pub(crate) struct GangPart {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// What is taken there.
    pub(crate) slot: Slot,
    /// Whether the lease is held.
    pub(crate) leased: bool,
    /// Whether the tasks were started.
    pub(crate) started: bool,
    /// Whether nothing of the attempt is left there.
    pub(crate) gone: bool,
    /// Whether all tasks ended well.
    pub(crate) done: bool,
    /// When the lease or start was last answered; reports taken before may not show it.
    pub(crate) answered_at: Time,
    /// When a report last showed it.
    pub(crate) confirmed_at: Time,
    /// When its life was last extended.
    pub(crate) renewed_at: Time,
    /// How long it lives from then.
    pub(crate) ttl: Duration,
    /// When it was last told to stop.
    pub(crate) stop_sent: Time,
    /// When its last checkpoint was complete.
    pub(crate) checkpoint_at: Time,
}

impl GangPart {
    /// A hold that is to be asked for.
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
    /// Its fencing number.
    pub(crate) attempt: Attempt,
    /// Its parts.
    pub(crate) parts: Vec<GangPart>,
    /// When it began to run.
    pub(crate) began_at: Time,
    /// When its leases lapse unless tasks are started.
    pub(crate) expires: Time,
    /// When its checkpoint was asked for.
    pub(crate) checkpoint_asked: Time,
}

impl Gang {
    /// The part at a worker.
    pub(crate) fn part(&mut self, worker: &WorkerId) -> Option<&mut GangPart> {
        self.parts.iter_mut().find(|part| part.worker == *worker)
    }

    /// When the part that was silent longest last answered.
    pub(crate) fn oldest_confirmation(&self) -> Time {
        self.parts.iter().map(|part| part.confirmed_at).min().unwrap_or(Time::NEVER)
    }
}

/// What follows once a stopped gang is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterStop {
    /// It waits again, or is unknown if it may not run again.
    Requeue,
    /// It waits again: this attempt has started nothing.
    RequeueUnstarted,
    /// It is cancelled.
    Cancel,
    /// It failed for good.
    Fail,
}

/// A job in memory.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// What is stored, or is about to be.
    pub(crate) record: Record,
    /// Its page.
    pub(crate) page: usize,
    /// Its state by the job chart.
    pub(crate) state: JobState,
    /// Why it is in that state, or what it waits for.
    pub(crate) reason: String,
    /// Its path through the chart.
    pub(crate) path: Vec<Step>,
    /// Since when it waits to run.
    pub(crate) queued_since: Time,
    /// How long it waited before its present attempt.
    pub(crate) waited: Duration,
    /// Earliest time of the next placement.
    pub(crate) not_before: Time,
    /// When it needs attention.
    pub(crate) deadline: Time,
    /// Whether its acceptance is in the store.
    pub(crate) durable: bool,
    /// Whether it may be placed: accepted in the store, or volatile by the caller's wish.
    pub(crate) accepted: bool,
    /// Calls that wait for its acceptance.
    pub(crate) tickets: Vec<Ticket>,
    /// Its highest attempt so far, stored or not.
    pub(crate) last_attempt: Attempt,
    /// Its attempt in progress.
    pub(crate) gang: Option<Gang>,
    /// What follows once its gang is gone.
    pub(crate) after_stop: AfterStop,
    /// Whether its gang is gone and that is being stored.
    pub(crate) storing_release: bool,
    /// Whether tasks of any attempt may have been started.
    pub(crate) may_have_run: bool,
    /// Where it goes once others have made room.
    pub(crate) plan: Option<Plan>,
    /// Whether it is in a bound guarantee.
    pub(crate) guaranteed: bool,
    /// Workers that it failed on.
    pub(crate) failed_on: BTreeSet<WorkerId>,
    /// How often it failed.
    pub(crate) failure_count: u32,
    /// Until when it keeps away from the workers that it failed on.
    pub(crate) avoid_until: Time,
    /// List of workers that was found able to hold it.
    pub(crate) feasible_list: u64,
    /// Since when no set of workers could hold it.
    pub(crate) infeasible_since: Time,
    /// Class under which it is queued.
    pub(crate) class: Option<Class>,
}

impl Job {
    /// A job that was just submitted or read.
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

    /// Moves it along its chart.
    ///
    /// # Panics
    ///
    /// The chart has no such transition.
    pub(crate) fn transition(&mut self, event: JobEvent, at: Stamp, reason: &str) {
        JOB.advance(&mut self.state, event);
        self.record_step(at, reason);
    }

    /// Adds its state to its path.
    pub(crate) fn record_step(&mut self, at: Stamp, reason: &str) {
        reason.clone_into(&mut self.reason);
        self.path.push(Step { state: self.state, at, reason: reason.to_owned() });
        if self.path.len() > MAX_PATH_STEPS {
            self.path.remove(MAX_PATH_STEPS / 2);
        }
    }

    /// How it stands against preemption.
    pub(crate) fn rank(&self) -> Rank {
        let spec = &self.record.spec;
        match self.guaranteed {
            true => Rank::Guaranteed,
            false => Rank::borrowed(spec.priority, spec.rerunnable()),
        }
    }

    /// What is stored about it once its gang is gone.
    pub(crate) fn stage_after_stop(&self) -> Stage {
        match self.after_stop {
            AfterStop::Cancel => Stage::Cancelled,
            AfterStop::Fail => Stage::Failed,
            AfterStop::RequeueUnstarted => Stage::Queued,
            AfterStop::Requeue if self.record.spec.rerunnable() => Stage::Queued,
            AfterStop::Requeue => Stage::Unknown,
        }
    }

    /// Whether it ran, once that is settled.
    pub(crate) fn verdict(&self) -> Option<Verdict> {
        match self.record.stage {
            Stage::Queued | Stage::Placed => None,
            Stage::Done | Stage::Failed => Some(Verdict::Ran),
            Stage::Unknown => Some(Verdict::Unknown),
            Stage::Cancelled | Stage::Impossible if self.record.started => Some(Verdict::Unknown),
            Stage::Cancelled | Stage::Impossible => Some(Verdict::NotRun),
        }
    }

    /// How it came to its state.
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
