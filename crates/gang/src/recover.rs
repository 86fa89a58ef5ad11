//! Takeover of the jobs of an earlier owner.
//!
//! The pages tell what may be running. The new owner writes a page before it acts on the jobs in
//! it, which keeps the earlier owner from changing it. A gang that is reported complete by all its
//! workers continues under its attempt. Any other gang is stopped; once its leases have expired,
//! its job is queued again under a higher attempt, or ends as unknown if it may run only once.

use std::time::Duration;

use crate::Action;
use crate::JobEvent;
use crate::JobState;
use crate::Shard;
use crate::StoredPage;
use crate::effect::PageOutcome;
use crate::guarantee::BlockLocation;
use crate::job::AfterStop;
use crate::job::Gang;
use crate::job::GangPart;
use crate::job::Job;
use crate::lease::mask_of;
use crate::page::Record;
use crate::page::Stage;
use crate::place::resources::Slot;
use crate::shard::PURGE_INTERVAL;
use crate::shard::Timer;
use model::JobId;
use model::Stamp;
use model::Time;
use model::WorkerId;

impl Shard {
    /// Handles the shard's pages, read at the start of ownership.
    pub(crate) fn on_pages(
        &mut self,
        now: Time,
        pages: Vec<StoredPage>,
        at: Stamp,
        out: &mut Vec<Action>,
    ) {
        self.set_stamp(now, at);
        if self.pages_loaded {
            return;
        }
        match self.workers_listed {
            true => self.load_pages(now, pages, out),
            false => self.unread_pages = Some(pages),
        }
    }

    /// Loads the pages; the workers must be known.
    pub(crate) fn load_pages(
        &mut self,
        now: Time,
        mut pages: Vec<StoredPage>,
        out: &mut Vec<Action>,
    ) {
        pages.sort_by(|a, b| a.key.cmp(&b.key));
        for page in pages {
            let outcome = self.pages.load(now, &page.key, page.version, &page.value);
            self.apply_page_outcome(now, outcome, out);
        }
        self.pages.add_page(now);
        self.pages_loaded = true;
        self.set_timer(now + PURGE_INTERVAL, Timer::Purge);
    }

    /// Acts on an answer of the store.
    pub(crate) fn apply_page_outcome(
        &mut self,
        now: Time,
        outcome: PageOutcome,
        out: &mut Vec<Action>,
    ) {
        if outcome.fenced {
            self.fenced = true;
            return;
        }
        for record in outcome.merged {
            self.adopt_record(now, record, outcome.page, out);
        }
        for effect in outcome.effects {
            self.on_effect_stored(now, effect, out);
        }
        for effect in outcome.rejected {
            self.on_effect_rejected(now, effect, out);
        }
        if outcome.claimed {
            self.on_claimed(now, outcome.page, out);
        }
    }

    /// Takes over a job as another owner stored it, replacing what is in memory.
    fn adopt_record(&mut self, now: Time, record: Record, page: usize, out: &mut Vec<Action>) {
        let id = record.spec.id;
        if let Some(old) = self.jobs.get(&id) {
            if old.record == record {
                return;
            }
            self.remove_job(id);
        }
        let at = self.stamp(now);
        let waited = at.since(record.submitted_at);
        let mut job = Job::new(record, page, now);
        job.queued_since = now - waited;
        job.durable = true;
        if let Some(state) = job.record.stage.end() {
            job.state = state;
        }
        job.record_step(at, "read from the store");
        let placed = job.record.stage == Stage::Placed;
        self.jobs.insert(id, job);
        if placed {
            self.recover_gang(now, id, out);
        }
    }

    /// Removes a job and its allocations before it is loaded again.
    fn remove_job(&mut self, id: JobId) {
        self.dequeue(id);
        self.drop_plan(id);
        self.set_deadline(id, Time::NEVER);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(gang) = job.gang.take() {
            self.release_gang(id, &gang.parts);
        }
        self.jobs.remove(&id);
    }

    /// Allocates a stored placement and requests reports from its workers.
    ///
    /// The pages may have been read at different times, so an accelerator can seem to be held by
    /// two jobs: by one that has left it, and by one that was placed there afterwards. The second
    /// part is allocated when its worker reports it.
    fn recover_gang(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let record = &job.record;
        let rank = job.rank();
        let attempt = record.attempt;
        let mut parts = Vec::new();
        let mut slots = Vec::new();
        for stored in &record.parts {
            let position = self.fleet.position(&stored.worker);
            let slot = Slot {
                position: position.unwrap_or(u32::MAX),
                mask: mask_of(&stored.accelerators),
                first: stored.first,
                tasks: stored.tasks,
            };
            let mut part = GangPart::new(stored.worker.clone(), slot, now, self.settings.lease_ttl);
            part.gone = position.is_none();
            if self.fleet.is_vacant(&slot) {
                slots.push(slot);
            }
            parts.push(part);
        }
        let lost = parts.iter().find(|part| part.gone).map(|part| part.worker.clone());
        let expires = now + self.settings.lease_ttl;
        job.gang =
            Some(Gang { attempt, parts, began_at: now, expires, checkpoint_asked: Time::NEVER });
        self.transition(now, id, JobEvent::Found, "its workers are being asked whether it runs");
        self.shortage_excused = true;
        self.book_gang(now, id, &slots, rank);
        match lost {
            Some(worker) => {
                let reason = format!("worker {worker} of its gang is gone");
                self.stop_gang(now, id, AfterStop::Requeue, &reason, out);
            }
            None => self.poll_recovering(now, id, out),
        }
    }

    /// Requests reports from the workers of a recovering gang that have not sent one, or stops the
    /// gang when its leases have expired.
    pub(crate) fn poll_recovering(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) {
        let Some(gang) = self.jobs.get(&id).and_then(|job| job.gang.as_ref()) else { return };
        if now >= gang.expires {
            self.stop_gang(
                now,
                id,
                AfterStop::Requeue,
                "not all its workers answered in time",
                out,
            );
            return;
        }
        let waiting = gang.parts.iter().filter(|part| part.confirmed_at < gang.began_at);
        let workers: Vec<WorkerId> = waiting.map(|part| part.worker.clone()).collect();
        for worker in workers {
            out.push(Action::Renew { worker, leases: Vec::new(), ttl: Duration::ZERO });
        }
        self.set_deadline(id, now + self.settings.retry_interval);
    }

    /// Acts on the jobs of a page that this owner has now claimed.
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

    /// Allocates all gangs again after the positions of the workers changed.
    pub(crate) fn rebook_all(&mut self, now: Time, locations: &[BlockLocation]) {
        for id in self.planned.clone() {
            self.drop_plan(id);
        }
        self.reservations.clear();
        let lost = self.guarantees.rebind(&mut self.fleet, locations);
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if lost.contains(&id) {
                job.guaranteed = false;
            }
            let rank = job.rank();
            let Some(gang) = job.gang.as_mut() else { continue };
            let mut slots = Vec::new();
            for part in gang.parts.iter_mut().filter(|part| !part.gone) {
                if let Some(position) = self.fleet.position(&part.worker) {
                    part.slot.position = position;
                    if self.fleet.is_vacant(&part.slot) {
                        slots.push(part.slot);
                    }
                }
            }
            let account = job.record.spec.account.clone();
            let total = job.record.spec.shape.total_accelerators();
            self.book_gang(now, id, &slots, rank);
            if let Some(used) = self.usage.get_mut(&account) {
                *used -= total;
            }
        }
    }
}
