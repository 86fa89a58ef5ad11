//! Takes over what an earlier owner left.
//!
//! The pages say what may run. A page is written by the new owner before it acts on the jobs in
//! it, which shuts the earlier owner out. A gang that all its workers report whole runs on under
//! its attempt. Of any other, the rest is stopped; when its leases have lapsed, it waits again
//! under a higher attempt, or is unknown if it may not run twice.

use std::time::Duration;

use crate::Action;
use crate::JobEvent;
use crate::JobState;
use crate::Shard;
use crate::StoredPage;
use crate::guarantee::Site;
use crate::job::Aim;
use crate::job::Gang;
use crate::job::Hold;
use crate::job::Job;
use crate::lease::mask_of;
use crate::mark::Outcome;
use crate::page::Record;
use crate::page::Stage;
use crate::place::need::Slot;
use crate::shard::PURGE;
use crate::shard::Timer;
use model::JobId;
use model::Stamp;
use model::Time;
use model::WorkerId;

impl Shard {
    /// Takes the shard's pages.
    pub(crate) fn read_pages(
        &mut self,
        now: Time,
        pages: Vec<StoredPage>,
        at: Stamp,
        out: &mut Vec<Action>,
    ) {
        self.set_stamp(now, at);
        if self.loaded {
            return;
        }
        match self.listed {
            true => self.load_pages(now, pages, out),
            false => self.unread = Some(pages),
        }
    }

    /// Loads the pages once the workers are known.
    pub(crate) fn load_pages(
        &mut self,
        now: Time,
        mut pages: Vec<StoredPage>,
        out: &mut Vec<Action>,
    ) {
        pages.sort_by(|a, b| a.key.cmp(&b.key));
        for page in pages {
            let outcome = self.pages.load(now, &page.key, page.version, &page.value);
            self.settle_pages(now, outcome, out);
        }
        self.pages.extend(now);
        self.loaded = true;
        self.alarm(now + PURGE, Timer::Purge);
    }

    /// Acts on what the store answered.
    pub(crate) fn settle_pages(&mut self, now: Time, outcome: Outcome, out: &mut Vec<Action>) {
        if outcome.fenced {
            self.fenced = true;
            return;
        }
        for record in outcome.merged {
            self.adopt(now, record, outcome.page, out);
        }
        for mark in outcome.marks {
            self.on_mark(now, mark, out);
        }
        for mark in outcome.failed {
            self.on_refused(now, mark, out);
        }
        if outcome.claimed {
            self.on_claimed(now, outcome.page, out);
        }
    }

    /// Takes over a job as another owner stored it.
    fn adopt(&mut self, now: Time, record: Record, page: usize, out: &mut Vec<Action>) {
        let id = record.spec.id;
        if let Some(old) = self.jobs.get(&id) {
            if old.record == record {
                return;
            }
            self.forget(id);
        }
        let at = self.stamp(now);
        let waited = at.since(record.submitted_at);
        let mut job = Job::new(record, page, now);
        job.since = now - waited;
        job.durable = true;
        if let Some(state) = job.record.stage.end() {
            job.state = state;
        }
        job.note(at, "read from the store");
        let placed = job.record.stage == Stage::Placed;
        self.jobs.insert(id, job);
        if placed {
            self.recover(now, id, out);
        }
    }

    /// Forgets a job before it is read again.
    fn forget(&mut self, id: JobId) {
        self.dequeue(id);
        self.drop_plan(id);
        self.set_deadline(id, Time::NEVER);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(gang) = job.gang.take() {
            self.vacate(id, &gang.holds);
        }
        self.jobs.remove(&id);
    }

    /// Books a stored placement and asks its workers about it.
    ///
    /// The pages may have been read at different times, so a job that had left by the time the
    /// other was placed may still seem to be there; the second is booked when its worker shows it.
    fn recover(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let record = &job.record;
        let rank = job.rank();
        let attempt = record.attempt;
        let mut holds = Vec::new();
        let mut slots = Vec::new();
        for part in &record.parts {
            let position = self.fleet.position(&part.worker);
            let slot = Slot {
                position: position.unwrap_or(u32::MAX),
                mask: mask_of(&part.accelerators),
                first: part.first,
                tasks: part.tasks,
            };
            let mut hold = Hold::new(part.worker.clone(), slot, now, self.settings.lease_ttl);
            hold.gone = position.is_none();
            if self.fleet.is_vacant(&slot) {
                slots.push(slot);
            }
            holds.push(hold);
        }
        let lost = holds.iter().find(|hold| hold.gone).map(|hold| hold.worker.clone());
        let expires = now + self.settings.lease_ttl;
        job.gang = Some(Gang { attempt, holds, began: now, expires, asked: Time::NEVER });
        self.step(now, id, JobEvent::Found, "the workers are asked whether it runs");
        self.excused = true;
        self.hold_all(now, id, &slots, rank);
        match lost {
            Some(worker) => {
                let reason = format!("worker {worker} of its gang is gone");
                self.break_gang(now, id, Aim::Again, &reason, out);
            }
            None => self.ask_again(now, id, out),
        }
    }

    /// Asks the workers of a recovering gang what they hold, until it is too late.
    pub(crate) fn ask_again(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(gang) = self.jobs.get(&id).and_then(|job| job.gang.as_ref()) else { return };
        if now >= gang.expires {
            self.break_gang(now, id, Aim::Again, "not all its workers answered in time", out);
            return;
        }
        let waiting = gang.holds.iter().filter(|hold| hold.confirmed < gang.began);
        let workers: Vec<WorkerId> = waiting.map(|hold| hold.worker.clone()).collect();
        for worker in workers {
            out.push(Action::Renew { worker, leases: Vec::new(), ttl: Duration::ZERO });
        }
        self.set_deadline(id, now + self.settings.retry_interval);
    }

    /// A page is ours now: acts on its jobs.
    fn on_claimed(&mut self, now: Time, page: usize, out: &mut Vec<Action>) {
        let jobs = self.jobs.iter().filter(|(_, job)| job.page == page && job.durable);
        let jobs: Vec<JobId> = jobs.map(|(id, _)| *id).collect();
        for id in jobs {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.record.cancel && !job.state.is_final() {
                self.stop_for_cancel(now, id, out);
                continue;
            }
            let fresh = !std::mem::replace(&mut job.accepted, true);
            if fresh && job.state == JobState::Queued {
                self.enqueue(id);
            }
        }
    }

    /// Books all holds again after the workers were laid out anew.
    pub(crate) fn move_all(&mut self, now: Time, sites: &[Site]) {
        for id in self.planned.clone() {
            self.drop_plan(id);
        }
        self.reservations.clear();
        let lost = self.guarantees.settle(&mut self.fleet, sites);
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if lost.contains(&id) {
                job.guaranteed = false;
            }
            let rank = job.rank();
            let Some(gang) = job.gang.as_mut() else { continue };
            let mut slots = Vec::new();
            for hold in gang.holds.iter_mut().filter(|hold| !hold.gone) {
                if let Some(position) = self.fleet.position(&hold.worker) {
                    hold.slot.position = position;
                    if self.fleet.is_vacant(&hold.slot) {
                        slots.push(hold.slot);
                    }
                }
            }
            let account = job.record.spec.account.clone();
            let total = job.record.spec.shape.total();
            self.hold_all(now, id, &slots, rank);
            if let Some(used) = self.usage.get_mut(&account) {
                *used -= total;
            }
        }
    }
}
