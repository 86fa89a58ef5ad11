//! Execution of preemption plans: the victims write a checkpoint and are stopped while the
//! accelerators are claimed for the waiting job.

use crate::Action;
use crate::JobEvent;
use crate::JobState;
use crate::Shard;
use crate::job::AfterStop;
use crate::preempt::Plan;
use model::JobId;
use model::Time;

impl Shard {
    /// Claims the accelerators of a plan for a job and preempts the jobs on them.
    pub(crate) fn make_room(&mut self, now: Time, id: JobId, plan: Plan, out: &mut Vec<Action>) {
        let is_pinned =
            self.jobs.get(&id).is_some_and(|job| !job.guaranteed && !job.record.spec.rerunnable());
        for slot in &plan.slots {
            self.fleet.update(slot.position, |worker| {
                assert!(worker.claimed & slot.mask == 0, "{} is claimed twice", worker.info.id);
                worker.claimed |= slot.mask;
                if is_pinned {
                    worker.pinned |= slot.mask;
                }
            });
        }
        let victims = plan.victims.clone();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.reason = format!("waits for {} preempted jobs to stop", victims.len());
            job.plan = Some(plan);
        }
        self.planned.insert(id);
        for victim in victims {
            self.preempt(now, victim, id, out);
        }
    }

    fn preempt(&mut self, now: Time, victim: JobId, by: JobId, out: &mut Vec<Action>) {
        let reason = format!("makes room for job {by}");
        let Some(job) = self.jobs.get_mut(&victim) else { return };
        match job.state {
            JobState::Leasing => self.abandon_attempt(now, victim, &reason, out),
            JobState::Committing => {
                self.stop_gang(now, victim, AfterStop::RequeueUnstarted, &reason, out)
            }
            JobState::Starting | JobState::Recovering => {
                self.stop_gang(now, victim, AfterStop::Requeue, &reason, out);
            }
            JobState::Running if job.record.spec.checkpoint => {
                self.request_checkpoint(now, victim, &reason, out);
            }
            JobState::Running => self.stop_gang(now, victim, AfterStop::Requeue, &reason, out),
            _ => {}
        }
    }

    fn request_checkpoint(
        &mut self,
        now: Time,
        victim: JobId,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        self.transition(now, victim, JobEvent::Preempted, reason);
        let grace = self.settings.checkpoint_grace;
        let Some(gang) = self.jobs.get_mut(&victim).and_then(|job| job.gang.as_mut()) else {
            return;
        };
        gang.checkpoint_asked = now;
        let attempt = gang.attempt;
        for part in &gang.parts {
            let worker = part.worker.clone();
            out.push(Action::Checkpoint { worker, job: victim, attempt });
        }
        self.set_deadline(victim, now + grace);
    }

    /// Stops a preempted gang, with or without a checkpoint.
    pub(crate) fn stop_preempted(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let reason = self.jobs.get(&id).map(|job| job.reason.clone()).unwrap_or_default();
        self.stop_gang(now, id, AfterStop::Requeue, &reason, out);
    }

    /// Stops a preempted gang early once its checkpoint is complete.
    pub(crate) fn stop_if_checkpointed(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(gang) = &job.gang else { return };
        let checkpointed =
            gang.parts.iter().all(|part| part.checkpoint_at >= gang.checkpoint_asked);
        if job.state == JobState::Preempting && checkpointed {
            self.stop_preempted(now, id, out);
        }
    }

    /// Places jobs whose plan has become free of other jobs.
    pub(crate) fn start_ready_plans(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.planned.is_empty() {
            return;
        }
        for id in self.planned.clone() {
            let Some(plan) = self.jobs.get(&id).and_then(|job| job.plan.clone()) else { continue };
            if !self.is_plan_ready(id, &plan) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let rank = job.rank();
            let guaranteed = job.guaranteed;
            self.release_claims(id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.guaranteed = guaranteed;
            }
            self.start_attempt(now, id, plan.slots, rank, out);
        }
    }

    fn is_plan_ready(&self, id: JobId, plan: &Plan) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let shape = job.record.spec.shape;
        plan.slots.iter().all(|slot| {
            self.fleet.at(slot.position).is_some_and(|worker| {
                let available = worker.available(u32::MAX);
                worker.allocated & slot.mask == 0 && available.task_capacity(&shape) >= slot.tasks
            })
        })
    }

    /// Releases the accelerators that are claimed for a job's plan.
    fn release_claims(&mut self, id: JobId) {
        self.planned.remove(&id);
        let Some(plan) = self.jobs.get_mut(&id).and_then(|job| job.plan.take()) else { return };
        for slot in &plan.slots {
            self.fleet.update(slot.position, |worker| {
                worker.claimed &= !slot.mask;
                worker.pinned &= !slot.mask;
            });
        }
        self.pass_needed = true;
    }

    /// Drops the plan of a job.
    pub(crate) fn drop_plan(&mut self, id: JobId) {
        if !self.planned.contains(&id) {
            return;
        }
        self.release_claims(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if std::mem::take(&mut job.guaranteed) {
            let account = job.record.spec.account.clone();
            self.shortage_excused |= self.guarantees.remove_job(&mut self.fleet, &account, id);
        }
    }

    /// Drops the plans that use a worker.
    pub(crate) fn drop_plans_on(&mut self, position: u32) {
        for id in self.planned.clone() {
            let plan = self.jobs.get(&id).and_then(|job| job.plan.as_ref());
            if plan.is_some_and(|plan| plan.slots.iter().any(|slot| slot.position == position)) {
                self.drop_plan(id);
            }
        }
    }

    /// Drops the plans that use workers which take no new work.
    pub(crate) fn drop_unusable_plans(&mut self) {
        let unusable: Vec<u32> = self
            .fleet
            .iter()
            .filter(|entry| entry.worker.claimed != 0 && !entry.worker.backs_guarantees())
            .map(|entry| entry.position)
            .collect();
        for position in unusable {
            self.drop_plans_on(position);
        }
    }
}
