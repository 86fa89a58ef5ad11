//! Calls from clients: submission, cancellation and status queries.

use crate::Action;
use crate::Event;
use crate::JobEvent;
use crate::JobSpec;
use crate::JobState;
use crate::Reply;
use crate::Shard;
use crate::Ticket;
use crate::effect::Effect;
use crate::job::AfterStop;
use crate::job::Job;
use crate::page::Record;
use crate::page::Stage;
use crate::place::fleet::Fleet;
use crate::place::resources::Extent;
use model::GangShape;
use model::JobId;
use model::Time;
use model::Verdict;

fn refuse(ticket: Ticket, verdict: Verdict, reason: &str, out: &mut Vec<Action>) {
    let reply = Reply::Refused { verdict, reason: reason.to_owned() };
    out.push(Action::Reply { ticket, reply });
}

fn accept(ticket: Ticket, durable: bool, out: &mut Vec<Action>) {
    out.push(Action::Reply { ticket, reply: Reply::Accepted { durable } });
}

/// Why a shape does not fit on the listed workers even if all were idle; `None` if it fits.
pub(crate) fn infeasible_reason(fleet: &Fleet, shape: &GangShape) -> Option<String> {
    let best = fleet.largest;
    if shape.tasks == 0 {
        return Some("the gang has no tasks".to_owned());
    }
    if best.task_capacity(shape) == 0 {
        return Some("no worker is large enough for one task".to_owned());
    }
    let Some(extent) = Extent::of(shape, &best, fleet.rack_size()) else {
        return Some(format!("no {} is large enough for the gang", shape.adjacency));
    };
    let zones = fleet.layout.zones.iter();
    let capacity = zones.map(|zone| zone_capacity(fleet, shape, zone.first, zone.racks)).max();
    let capacity = capacity.unwrap_or_default();
    match extent {
        Extent::Workers { .. } if capacity.rack < shape.tasks => {
            Some(format!("no rack holds more than {} of its {} tasks", capacity.rack, shape.tasks))
        }
        _ if capacity.zone < shape.tasks => {
            let zone = capacity.zone;
            Some(format!(
                "no availability zone holds more than {zone} of its {} tasks",
                shape.tasks
            ))
        }
        _ => None,
    }
}

/// Number of tasks that fit on idle workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct TaskCapacity {
    zone: u32,
    rack: u32,
}

fn zone_capacity(fleet: &Fleet, shape: &GangShape, first: u32, racks: u32) -> TaskCapacity {
    let mut capacity = TaskCapacity::default();
    for rack in first..first + racks {
        let positions = rack * fleet.rack_size()..(rack + 1) * fleet.rack_size();
        let workers = positions.filter_map(|position| fleet.at(position));
        let workers = workers.filter(|worker| worker.state != crate::WorkerState::Gone);
        let tasks = workers.map(|worker| worker.capacity().task_capacity(shape)).sum();
        capacity.rack = capacity.rack.max(tasks);
        capacity.zone += tasks;
    }
    capacity
}

impl Shard {
    /// Refuses calls after ownership was lost.
    pub(crate) fn refuse_fenced(&self, event: &Event, out: &mut Vec<Action>) {
        let reason = "another entry VM owns the placement shard; repeat the call";
        if let Event::Submit { ticket, .. }
        | Event::Cancel { ticket, .. }
        | Event::Query { ticket, .. } = event
        {
            refuse(*ticket, Verdict::NotRun, reason, out);
        }
    }

    /// Handles a submission.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        ticket: Ticket,
        spec: JobSpec,
        durable: bool,
        out: &mut Vec<Action>,
    ) {
        if let Some(job) = self.jobs.get_mut(&spec.id) {
            match job.durable || !durable {
                true => accept(ticket, job.durable, out),
                false => job.tickets.push(ticket),
            }
            return;
        }
        if let Some(reason) = self.refusal_reason(&spec) {
            refuse(ticket, Verdict::NotRun, &reason, out);
            return;
        }
        if durable && self.pages.down {
            refuse(ticket, Verdict::NotRun, "the store does not answer", out);
            return;
        }
        let id = spec.id;
        let record = Record::new(spec, self.stamp(now));
        let Some(page) = self.pages.assign(now, &record) else {
            refuse(ticket, Verdict::NotRun, "too many submissions wait for the store", out);
            return;
        };
        let urgent = record.spec.priority == model::Priority::Urgent;
        let mut job = Job::new(record, page, now);
        job.accepted = !durable;
        job.record_step(self.stamp(now), "submitted");
        if durable {
            job.tickets.push(ticket);
        } else {
            accept(ticket, false, out);
        }
        self.jobs.insert(id, job);
        self.store_job(now, id, urgent, Some(Effect::Accepted { ticket, job: id }));
        if !durable {
            self.enqueue(id);
        }
    }

    /// Why a job must be refused; `None` if it can be accepted.
    fn refusal_reason(&self, spec: &JobSpec) -> Option<String> {
        if !self.pages_loaded || !self.workers_listed {
            return Some("the placement shard is still being loaded; repeat the call".to_owned());
        }
        let Some(account) = self.policy.accounts.get(&spec.account) else {
            return Some(format!("client account {} is not configured", spec.account));
        };
        let total = spec.shape.total_accelerators();
        if total > account.quota {
            let quota = account.quota;
            return Some(format!("the gang takes {total} accelerators, the quota is {quota}"));
        }
        infeasible_reason(&self.fleet, &spec.shape)
    }

    /// Handles a cancellation.
    pub(crate) fn cancel(&mut self, now: Time, ticket: Ticket, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            refuse(ticket, Verdict::Unknown, &self.unknown_job_reason(id), out);
            return;
        };
        if !self.pages.claimed(job.page) && job.durable {
            refuse(
                ticket,
                Verdict::Unknown,
                "this entry VM has not yet taken over the job; repeat the call",
                out,
            );
            return;
        }
        if job.state.is_final() || job.state == JobState::Finishing {
            let verdict = job.verdict().unwrap_or(Verdict::Ran);
            let reason = format!("the job has ended: {}", job.state);
            refuse(ticket, verdict, &reason, out);
            return;
        }
        job.record.cancel = true;
        self.stop_for_cancel(now, id, out);
        self.store_job(now, id, false, Some(Effect::Cancel { ticket }));
    }

    /// Stops and ends a job that is cancelled.
    pub(crate) fn stop_for_cancel(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let reason = "cancelled by the caller";
        match job.state {
            JobState::Queued => {
                self.end_job(now, id, JobEvent::Cancelled, Stage::Cancelled, reason)
            }
            JobState::Leasing => {
                self.abandon_attempt(now, id, reason, out);
                self.end_job(now, id, JobEvent::Cancelled, Stage::Cancelled, reason);
            }
            JobState::Committing
            | JobState::Starting
            | JobState::Running
            | JobState::Preempting
            | JobState::Recovering => self.stop_gang(now, id, AfterStop::Cancel, reason, out),
            JobState::Stopping => job.after_stop = AfterStop::Cancel,
            _ => {}
        }
    }

    /// Handles a status query.
    pub(crate) fn query(&mut self, ticket: Ticket, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else {
            refuse(ticket, Verdict::Unknown, &self.unknown_job_reason(id), out);
            return;
        };
        let reply =
            Reply::Status { state: job.state, verdict: job.verdict(), reason: job.reason.clone() };
        out.push(Action::Reply { ticket, reply });
    }

    fn unknown_job_reason(&self, id: JobId) -> String {
        match self.pages_loaded {
            true => format!("job {id} is not known in this placement shard"),
            false => "the placement shard is still being loaded; repeat the call".to_owned(),
        }
    }

    /// Acts on an effect that is stored.
    pub(crate) fn on_effect_stored(&mut self, now: Time, effect: Effect, out: &mut Vec<Action>) {
        match effect {
            Effect::Accepted { job, .. } => self.on_accepted(job, out),
            Effect::Cancel { ticket } => accept(ticket, true, out),
            Effect::Placed { job, attempt } => self.on_placement_stored(now, job, attempt, out),
            Effect::Released { job, attempt } => self.on_release_stored(now, job, attempt),
            Effect::Ended { job } => self.on_end_stored(now, job, out),
        }
    }

    fn on_accepted(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.durable = true;
        for ticket in std::mem::take(&mut job.tickets) {
            accept(ticket, true, out);
        }
        if !std::mem::replace(&mut job.accepted, true) && job.state == JobState::Queued {
            self.enqueue(id);
        }
    }

    /// Acts on an effect that was certainly not stored.
    pub(crate) fn on_effect_rejected(&mut self, now: Time, effect: Effect, out: &mut Vec<Action>) {
        match effect {
            Effect::Accepted { job, .. } => self.on_acceptance_rejected(now, job, out),
            Effect::Cancel { ticket } => accept(ticket, false, out),
            Effect::Placed { .. } | Effect::Released { .. } | Effect::Ended { .. } => {}
        }
    }

    fn on_acceptance_rejected(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.accepted {
            // A volatile job stays accepted; its page is written when the store is back.
            let ticket = Ticket(0);
            self.store_job(now, id, false, Some(Effect::Accepted { ticket, job: id }));
            return;
        }
        let reason = "the store is not available, so the job was not accepted";
        for ticket in std::mem::take(&mut job.tickets) {
            refuse(ticket, Verdict::NotRun, reason, out);
        }
        let page = job.page;
        if let Some(job) = self.jobs.remove(&id) {
            self.pages.remove(now, page, &job.record);
        }
    }
}
