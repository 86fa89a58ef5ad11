//! State machine of one placement shard.
//!
//! The shard that owns the jobs renews the leases of every complete gang, one message per worker,
//! whether or not the store answers. A gang of which one part has not been confirmed for
//! [`Settings::lost_after`] is no longer renewed and is stopped. A renewal names the attempt, and a
//! worker renews only a lease that it still holds for that attempt. So nothing that an owner sends
//! after a pause can do harm: its leases have expired or belong to a higher attempt, its page
//! writes expect an outdated version, and its leases for new attempts carry its lower epoch.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Action;
use crate::Event;
use crate::Explanation;
use crate::JobEvent;
use crate::JobSpec;
use crate::Policy;
use crate::Settings;
use crate::StoredPage;
use crate::commit::Pages;
use crate::effect::Effect;
use crate::guarantee::Guarantees;
use crate::job::Job;
use crate::place::fleet::Fleet;
use crate::queue::Class;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::reserve::Reservation;
use crate::run_time::RunTimes;
use model::AccountId;
use model::Epoch;
use model::Incarnation;
use model::JobId;
use model::ShardId;
use model::Stamp;
use model::Time;
use model::WorkerId;

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Deadline of a job.
    Job(JobId),
    /// Renewal, probe or end of avoidance of a worker.
    Worker(WorkerId),
    /// A scheduling pass.
    Pass,
    /// Removal of jobs whose retention is over.
    Purge,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    at: Time,
    timer: Timer,
}

/// Scheduler of one placement shard, as a deterministic state machine.
#[derive(Debug)]
pub struct Shard {
    pub(crate) settings: Settings,
    pub(crate) epoch: Epoch,
    pub(crate) rng: SmallRng,
    pub(crate) policy: Arc<Policy>,
    pub(crate) grants: BTreeMap<AccountId, u32>,
    pub(crate) pages: Pages,
    pub(crate) fleet: Fleet,
    pub(crate) guarantees: Guarantees,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) queue: Queue,
    pub(crate) usage: BTreeMap<AccountId, u32>,
    pub(crate) run_times: RunTimes,
    pub(crate) reservations: Vec<Reservation>,
    /// Jobs whose plan waits for preempted jobs to leave.
    pub(crate) planned: BTreeSet<JobId>,
    /// Pages that were read before the first list of workers arrived.
    pub(crate) unread_pages: Option<Vec<StoredPage>>,
    pub(crate) pages_loaded: bool,
    pub(crate) workers_listed: bool,
    /// Version of the latest list of workers.
    pub(crate) list_version: u64,
    pub(crate) fenced: bool,
    /// Whether a change since the last scheduling pass may allow a job to be placed.
    pub(crate) pass_needed: bool,
    pub(crate) last_pass: Time,
    /// Number of searches for jobs to preempt in this pass.
    pub(crate) plan_searches: u32,
    /// Number of guarantees that could not be reclaimed at the last check.
    pub(crate) unreclaimable: u32,
    /// Whether a fault, a new policy or a new list of workers since the last check may have made
    /// guarantees unreclaimable.
    pub(crate) shortage_excused: bool,
    timers: BTreeSet<TimerEntry>,
    stamp: Stamp,
    stamp_taken: Time,
}

impl Shard {
    /// Creates the shard of `owner` under the ownership epoch `epoch`. Equal seeds and
    /// events give equal decisions.
    pub fn new(
        settings: Settings,
        shard: ShardId,
        owner: Incarnation,
        epoch: Epoch,
        seed: u64,
    ) -> Shard {
        let pages = Pages::new(&settings, shard, owner, epoch, seed);
        Shard {
            settings,
            epoch,
            rng: SmallRng::seed_from_u64(seed),
            policy: Arc::new(Policy::default()),
            grants: BTreeMap::new(),
            pages,
            fleet: Fleet::new(),
            guarantees: Guarantees::default(),
            jobs: BTreeMap::new(),
            queue: Queue::default(),
            usage: BTreeMap::new(),
            run_times: RunTimes::default(),
            reservations: Vec::new(),
            planned: BTreeSet::new(),
            unread_pages: None,
            pages_loaded: false,
            workers_listed: false,
            list_version: 0,
            fenced: false,
            pass_needed: false,
            last_pass: Time::ZERO,
            plan_searches: 0,
            unreclaimable: 0,
            shortage_excused: false,
            timers: BTreeSet::new(),
            stamp: Stamp::default(),
            stamp_taken: Time::ZERO,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.fenced {
            self.refuse_fenced(&event, out);
            return;
        }
        self.apply(now, event, out);
        self.fire_timers(now, out);
        self.start_ready_plans(now, out);
        self.schedule(now, out);
        if self.fenced {
            return;
        }
        let jobs = &self.jobs;
        self.pages.flush(now, |job| jobs.get(job).map(|job| &job.record), out);
        self.check_invariants();
    }

    /// When the shard next needs an [`Event::Tick`]; `None` if no timer is set or the shard is
    /// fenced.
    pub fn next_wake(&self) -> Option<Time> {
        if self.fenced {
            return None;
        }
        let timer = self.timers.first().map(|entry| entry.at);
        [timer, self.pages.next_wake()].into_iter().flatten().min()
    }

    /// State of a job and how it came to be; `None` if the job is not known.
    pub fn explain(&self, job: JobId) -> Option<Explanation> {
        self.jobs.get(&job).map(Job::explain)
    }

    /// The specification of a job; `None` if the job is not known.
    pub fn spec(&self, job: JobId) -> Option<&JobSpec> {
        self.jobs.get(&job).map(|job| &job.record.spec)
    }

    fn apply(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Pages { pages, at } => self.on_pages(now, pages, at, out),
            Event::Submit { ticket, job, at, durable } => {
                self.set_stamp(now, at);
                self.submit(now, ticket, job, durable, out);
            }
            Event::Cancel { ticket, job } => self.cancel(now, ticket, job, out),
            Event::Query { ticket, job } => self.query(ticket, job, out),
            Event::Written { write, result } => {
                let outcome = self.pages.written(now, write, result);
                self.apply_page_outcome(now, outcome, out);
            }
            Event::PageRead { key, result } => {
                let outcome = self.pages.page_read(now, &key, result);
                self.apply_page_outcome(now, outcome, out);
            }
            Event::Leased { worker, job, attempt, result } => {
                self.on_lease_answer(now, &worker, job, attempt, result, out);
            }
            Event::Started { worker, job, attempt, result } => {
                self.on_start_answer(now, &worker, job, attempt, result, out);
            }
            Event::Report { worker, report } => self.on_report(now, &worker, &report, out),
            Event::WorkerSilent { worker } => self.on_worker_silent(now, &worker),
            Event::Workers { list } => self.on_worker_list(now, &list, out),
            Event::Policy { policy } => self.on_policy(policy),
            Event::Grants { grants } => {
                self.grants = grants.into_iter().map(|g| (g.account, g.accelerators)).collect();
                self.pass_needed = true;
            }
            Event::Fenced => self.fenced = true,
            Event::Tick => {}
        }
    }

    fn on_policy(&mut self, policy: Arc<Policy>) {
        self.policy = policy;
        self.guarantees.apply_policy(&self.policy, &self.fleet);
        self.shortage_excused = true;
        self.pass_needed = true;
    }

    fn fire_timers(&mut self, now: Time, out: &mut Vec<Action>) {
        while self.timers.first().is_some_and(|entry| entry.at <= now) {
            let Some(entry) = self.timers.pop_first() else { return };
            match entry.timer {
                Timer::Job(job) => self.on_deadline(now, job, out),
                Timer::Worker(worker) => self.on_worker_timer(now, &worker, out),
                Timer::Pass => self.pass_needed = true,
                Timer::Purge => self.purge(now),
            }
        }
    }

    /// Sets a timer; `NEVER` sets none.
    pub(crate) fn set_timer(&mut self, at: Time, timer: Timer) {
        if at != Time::NEVER {
            self.timers.insert(TimerEntry { at, timer });
        }
    }

    /// Replaces the deadline of a job.
    pub(crate) fn set_deadline(&mut self, job: JobId, at: Time) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        let old = std::mem::replace(&mut entry.deadline, at);
        self.timers.remove(&TimerEntry { at: old, timer: Timer::Job(job) });
        self.set_timer(at, Timer::Job(job));
    }

    /// Wall-clock time at `now`.
    pub(crate) fn stamp(&self, now: Time) -> Stamp {
        Stamp(self.stamp.0 + now.since(self.stamp_taken).as_millis() as u64)
    }

    /// Sets the wall clock to `at` at the time `now`.
    pub(crate) fn set_stamp(&mut self, now: Time, at: Stamp) {
        self.stamp = at;
        self.stamp_taken = now;
    }

    /// Applies an event to a job's state machine.
    pub(crate) fn transition(&mut self, now: Time, job: JobId, event: JobEvent, reason: &str) {
        let at = self.stamp(now);
        if let Some(job) = self.jobs.get_mut(&job) {
            job.transition(event, at, reason);
        }
    }

    /// Schedules a write of the page that holds a job; `effect` follows once it is stored.
    pub(crate) fn store_job(
        &mut self,
        now: Time,
        job: JobId,
        urgent: bool,
        effect: Option<Effect>,
    ) {
        if let Some(entry) = self.jobs.get(&job) {
            self.pages.mark_dirty(now, entry.page, urgent, effect);
        }
    }

    /// Puts a job into the queue.
    pub(crate) fn enqueue(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        let class = Class::new(&entry.record.spec, !entry.failed_on.is_empty());
        entry.class = Some(class.clone());
        self.queue.insert(class, Waiting { since: entry.queued_since, job });
        self.pass_needed = true;
    }

    /// Takes a job out of the queue.
    pub(crate) fn dequeue(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        if let Some(class) = entry.class.take() {
            self.queue.remove(&class, &Waiting { since: entry.queued_since, job });
        }
    }

    fn purge(&mut self, now: Time) {
        let at = self.stamp(now);
        let keep = self.settings.retention;
        let stale = self.jobs.iter().filter(|(_, job)| job.record.is_stale(at, keep));
        let stale: Vec<JobId> = stale.map(|(id, _)| *id).collect();
        for id in stale {
            let Some(job) = self.jobs.get(&id) else { continue };
            if self.pages.claimed(job.page) {
                self.pages.remove(now, job.page, &job.record);
                self.jobs.remove(&id);
            }
        }
        self.check_bookkeeping();
        self.set_timer(now + PURGE_INTERVAL, Timer::Purge);
    }

    /// Asserts that allocations on workers and usage of accounts match the jobs.
    fn check_bookkeeping(&self) {
        for entry in self.fleet.iter() {
            for allocation in &entry.worker.allocations {
                let placed = self.jobs.get(&allocation.job).is_some_and(|job| job.gang.is_some());
                assert!(
                    placed,
                    "{} is allocated to job {}, which is not placed",
                    entry.worker.info.id, allocation.job
                );
            }
        }
        let mut usage: BTreeMap<&AccountId, u32> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.gang.is_some()) {
            let spec = &job.record.spec;
            *usage.entry(&spec.account).or_default() += spec.shape.total_accelerators();
        }
        for (account, used) in &self.usage {
            let placed = usage.get(account).copied().unwrap_or(0);
            assert!(placed == *used, "account {account} is charged {used} and uses {placed}");
        }
    }

    /// Asserts the invariants that hold after every event.
    fn check_invariants(&mut self) {
        let missing = self.guarantees.unreclaimable(&self.fleet);
        // While faults leave too little capacity, a large guarantee that fits again may displace
        // several smaller ones, so the number may grow without any decision. Each binding is
        // checked separately.
        assert!(
            self.shortage_excused || self.unreclaimable > 0 || missing == 0,
            "a decision made {missing} guarantees unreclaimable",
        );
        self.unreclaimable = missing;
        self.shortage_excused = false;
        for job in &self.planned {
            let planned = self.jobs.get(job).is_some_and(|job| job.plan.is_some());
            assert!(planned, "job {job} has no plan");
        }
    }
}

/// Time between removals of jobs whose retention is over.
pub(crate) const PURGE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(60);
