//! Placement constraints from the advice service, for queues that require it.
//!
//! The service accepts one call at a time from each VM, and a call takes longer the more workers it
//! names. Calls are therefore sent one after another, for the most urgent step first. The answer
//! for a worker and a step does not change; only the tickets expire.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::job::Step;
use crate::order::PendingStep;
use crate::room::Slot;
use crate::spec::JobId;
use crate::spec::StepKey;
use crate::spec::StepSpec;
use crate::spec::WorkerId;
use model::Time;

/// Minimum limit on the workers named in one call; the limit is higher for steps with more tasks.
/// The users' objectives allow for one call with this many workers per step.
const MIN_CALL_WORKERS: usize = 30;
/// Maximum number of workers named in one call.
const MAX_CALL_WORKERS: usize = 100;
/// Minimum remaining lifetime of a ticket when a start is sent, since the start may be repeated.
const TICKET_MARGIN: Duration = Duration::from_millis(1_500);
/// Pause after a call that was refused or not answered.
const ADVICE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Permission of the advice service to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ticket {
    pub text: String,
    /// Earliest time at which it can expire.
    pub expires: Time,
    /// Incarnation of the worker that it was issued for.
    pub incarnation: u64,
}

/// Answer of the advice service for one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// When the call was sent.
    pub sent: Time,
    /// Workers that may run the step, each with its ticket.
    pub tickets: Vec<(WorkerId, String)>,
    /// Lifetime of the tickets.
    pub valid: Duration,
}

/// State of calls to the advice service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advisor {
    /// Step and workers of the call in flight; `None` if there is none.
    call: Option<(StepKey, Vec<WorkerId>)>,
    /// No call is sent before this time.
    call_after: Time,
}

impl Step {
    /// Ticket for a worker, if it is valid for long enough to send a start.
    pub fn ticket(&self, worker: &WorkerId, incarnation: u64, now: Time) -> Option<&str> {
        let ticket = self.tickets.get(worker)?;
        let valid = ticket.incarnation == incarnation && now + TICKET_MARGIN <= ticket.expires;
        valid.then_some(ticket.text.as_str())
    }
}

impl Planner {
    /// Bars the workers that the step has no valid ticket for, if its queue needs advice.
    pub(crate) fn bar_unadvised(
        &self,
        now: Time,
        slots: &mut [Slot],
        pending: &PendingStep,
        advised: bool,
    ) {
        let step = self
            .jobs
            .get(&pending.job)
            .map(|job| &job.occurrences[pending.occurrence][pending.step]);
        for slot in slots {
            slot.barred = advised
                && step
                    .is_none_or(|step| step.ticket(&slot.worker, slot.incarnation, now).is_none());
        }
    }

    /// Asks for advice on workers that could run a step's waiting tasks, unless a call is in
    /// flight.
    pub(crate) fn ask_advice(
        &mut self,
        now: Time,
        pending: &PendingStep,
        step: &StepSpec,
        slots: &[Slot],
    ) {
        if self.advisor.call.is_some() || now < self.advisor.call_after {
            return;
        }
        let Some(job) = self.jobs.get(&pending.job) else { return };
        let step_state = &job.occurrences[pending.occurrence][pending.step];
        let service = self.policy.queue(job).map(|queue| queue.service.as_str());
        let Some(service) = service else { return };
        let mut asked: Vec<&Slot> = slots
            .iter()
            .filter(|slot| slot.suits_unbarred(step, service))
            .filter(|slot| !step_state.denied.contains(&(slot.worker.clone(), slot.incarnation)))
            .filter(|slot| step_state.ticket(&slot.worker, slot.incarnation, now).is_none())
            .collect();
        // Workers that fit the most tasks now come first, then those near the data.
        let far = |slot: &Slot| step.rack.as_ref().is_some_and(|rack| *rack != slot.info.rack);
        asked.sort_by_key(|slot| {
            (std::cmp::Reverse(slot.free.copies(&step.need)), far(slot), slot.suspect)
        });
        asked.truncate((2 * step.count as usize).clamp(MIN_CALL_WORKERS, MAX_CALL_WORKERS));
        if asked.is_empty() {
            return;
        }
        let workers: Vec<WorkerId> = asked.iter().map(|slot| slot.worker.clone()).collect();
        let (occurrence, number) = (pending.occurrence as u32, pending.step as u32);
        let key = StepKey { job: pending.job.clone(), occurrence, step: number };
        self.advisor.call = Some((key.clone(), workers.clone()));
        self.out.push(Action::Advise { step: key, workers });
    }

    /// Processes the answer of the advice service; `None` if the call failed.
    pub(crate) fn advised(&mut self, now: Time, advice: Option<&Advice>) {
        let Some((key, workers)) = self.advisor.call.take() else { return };
        self.replan = true;
        let Some(advice) = advice else {
            self.advisor.call_after = now + ADVICE_RETRY_PAUSE;
            self.replan_at = self.replan_at.min(self.advisor.call_after);
            return;
        };
        let incarnation = |id: &WorkerId| self.workers.get(id).map(|worker| worker.incarnation);
        let named: BTreeSet<&WorkerId> = advice.tickets.iter().map(|(id, _)| id).collect();
        let denied: Vec<(WorkerId, u64)> = workers
            .iter()
            .filter(|id| !named.contains(id))
            .filter_map(|id| Some((id.clone(), incarnation(id)?)))
            .collect();
        let tickets: Vec<(WorkerId, Ticket)> = advice
            .tickets
            .iter()
            .filter_map(|(id, text)| {
                let expires = advice.sent + advice.valid;
                Some((
                    id.clone(),
                    Ticket { text: text.clone(), expires, incarnation: incarnation(id)? },
                ))
            })
            .collect();
        let Some(step) = self.step_state_mut(&key) else { return };
        step.denied.extend(denied);
        step.tickets.extend(tickets);
    }

    /// Discards a ticket that a worker did not accept.
    pub(crate) fn drop_ticket(
        &mut self,
        id: &JobId,
        occurrence: u32,
        step: u32,
        worker: &WorkerId,
    ) {
        let key = StepKey { job: id.clone(), occurrence, step };
        if let Some(step) = self.step_state_mut(&key) {
            step.tickets.remove(worker);
        }
    }

    fn step_state_mut(&mut self, key: &StepKey) -> Option<&mut Step> {
        let steps = self.jobs.get_mut(&key.job)?.occurrences.get_mut(key.occurrence as usize)?;
        steps.get_mut(key.step as usize)
    }
}
