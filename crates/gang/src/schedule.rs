//! Scheduling passes: places waiting jobs, makes room, keeps room.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Action;
use crate::Discipline;
use crate::JobEvent;
use crate::JobSpec;
use crate::Shard;
use crate::accept::obstacle;
use crate::learn::Expected;
use crate::page::Stage;
use crate::place::need::Extent;
use crate::place::need::Slot;
use crate::place::search::Query;
use crate::place::search::find;
use crate::place::take::Block;
use crate::place::take::Region;
use crate::place::take::Taker;
use crate::preempt::Asker;
use crate::preempt::Plan;
use crate::preempt::Rank;
use crate::preempt::turn;
use crate::queue::Waiting;
use crate::shard::Timer;
use model::JobId;
use model::Priority;
use model::Time;

/// Shortest time between two passes.
const PASS: Duration = Duration::from_millis(10);
/// Shortest expected run time in a response ratio.
const SHORTEST: Duration = Duration::from_secs(5);

/// Gangs that have a block reserved at a time.
const RESERVATIONS: usize = 4;

/// Blocked jobs without urgency for which room is sought in one pass.
const PLANS: u32 = 8;

/// Share of its own work that a job of normal rank may cost others: one in this many.
const WORTH: u64 = 8;

/// What a try to place a job came to.
enum Tried {
    /// It acquires leases.
    Placed,
    /// Others make room for it.
    Planned,
    /// It waits, for this reason.
    Blocked(String),
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    waiting: Waiting,
    urgent: bool,
    score: f64,
}

impl Shard {
    /// Places what can be placed, if anything changed.
    pub(crate) fn schedule(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.stirred || !self.loaded || !self.listed || self.fenced {
            return;
        }
        if now < self.passed + PASS && self.passed != Time::ZERO {
            self.alarm(self.passed + PASS, Timer::Pass);
            return;
        }
        self.stirred = false;
        self.passed = now;
        let heads: Vec<Waiting> = self.queue.heads().collect();
        let mut open: Vec<Candidate> = heads.iter().map(|w| self.candidate(now, *w)).collect();
        self.lift_reservations();
        self.sought = 0;
        for _ in 0..self.settings.pass_limit {
            let best = (0..open.len()).max_by(|a, b| open[*a].order(&open[*b]));
            let Some(best) = best else {
                return;
            };
            let candidate = open.swap_remove(best);
            let id = candidate.waiting.job;
            let class = self.jobs.get(&id).and_then(|job| job.class.clone());
            let next = class.and_then(|class| self.queue.after(&class, &candidate.waiting));
            let tried = self.try_place(now, id, out);
            let go_on = !matches!(tried, Tried::Blocked(_));
            if let (Tried::Blocked(reason), Some(job)) = (tried, self.jobs.get_mut(&id)) {
                job.reason = reason;
            }
            if !go_on && self.settings.discipline == Discipline::Fifo {
                return;
            }
            if let Some(next) = next.filter(|_| go_on) {
                open.push(self.candidate(now, next));
            }
        }
        self.stirred = true;
        self.alarm(now + PASS, Timer::Pass);
    }

    /// How long a job is expected to run.
    pub(crate) fn expected(&self, spec: &JobSpec) -> Expected {
        match self.settings.discipline {
            Discipline::Basilrack => self.learned.expect(spec, &self.policy),
            _ => Expected { median: spec.declared, high: spec.declared },
        }
    }

    fn candidate(&self, now: Time, waiting: Waiting) -> Candidate {
        let Some(job) = self.jobs.get(&waiting.job) else {
            return Candidate { waiting, urgent: false, score: 0.0 };
        };
        let spec = &job.record.spec;
        if self.settings.discipline != Discipline::Basilrack {
            let score = now.since(waiting.since).as_secs_f64();
            return Candidate { waiting, urgent: false, score };
        }
        let expected = self.learned.expect(spec, &self.policy).median.max(SHORTEST);
        let ratio = 1.0 + now.since(waiting.since).as_secs_f64() / expected.as_secs_f64();
        let urgent = spec.priority == Priority::Urgent;
        let spare = if spec.priority == Priority::Spare { 0.1 } else { 1.0 };
        Candidate { waiting, urgent, score: spare * ratio / self.excess(&spec.account) }
    }

    /// How far an account is above its share, at least one.
    fn excess(&self, account: &model::AccountId) -> f64 {
        let weight = |w: u32| f64::from(w.max(1));
        let weights: f64 = self.policy.accounts.values().map(|a| weight(a.weight)).sum();
        let own = self.policy.accounts.get(account).map_or(1.0, |a| weight(a.weight));
        let used = f64::from(self.usage.get(account).copied().unwrap_or(0));
        let total: u32 = self.usage.values().sum();
        let share = own / weights.max(1.0) * f64::from(total.max(1));
        (used / share.max(1.0)).max(1.0)
    }

    fn try_place(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) -> Tried {
        let Some(job) = self.jobs.get(&id) else { return Tried::Planned };
        if job.plan.is_some() {
            return Tried::Planned;
        }
        if job.after > now {
            return Tried::Blocked(job.reason.clone());
        }
        let spec = job.record.spec.clone();
        let wary = job.failed.iter().filter(|_| now < job.wary);
        let failed: BTreeSet<u32> = wary.filter_map(|w| self.fleet.position(w)).collect();
        if job.listing != self.listing
            && let Some(reason) = obstacle(&self.fleet, &spec.shape)
        {
            return self.rule_out(now, id, reason);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ruled = Time::NEVER;
            job.listing = self.listing;
        }
        if let Some(reason) = self.over_quota(&spec.account, spec.shape.total()) {
            return Tried::Blocked(reason);
        }
        let Some(extent) = Extent::of(&spec.shape, &self.fleet.largest, self.fleet.rack_size())
        else {
            return Tried::Blocked("no worker can hold a task".to_owned());
        };
        let probe = spec.rerunnable();
        let query = Query { shape: &spec.shape, extent, avoid: &failed, probe };
        self.place_by(now, id, &spec, &query, out)
    }

    fn place_by(
        &mut self,
        now: Time,
        id: JobId,
        spec: &JobSpec,
        query: &Query,
        out: &mut Vec<Action>,
    ) -> Tried {
        if self.settings.discipline != Discipline::Basilrack {
            return self.place_plainly(now, id, spec, query, out);
        }
        let entitled = spec.priority != Priority::Spare;
        let cell = if entitled { self.cell_plan(now, &spec.account, query) } else { None };
        if let Some(cell) = cell.as_ref().filter(|cell| cell.plan.victims.is_empty()) {
            let slots = cell.plan.slots.clone();
            self.enter(id, &spec.account, cell);
            self.place(now, id, slots, Rank::Guaranteed, out);
            return Tried::Placed;
        }
        let rank = Rank::borrowed(spec.priority, spec.rerunnable());
        if let Some(slots) = find(&self.fleet, query)
            && self.keeps_guarantees(&slots, rank)
        {
            self.place(now, id, slots, rank, out);
            return Tried::Placed;
        }
        if let Some(cell) = cell {
            self.enter(id, &spec.account, &cell);
            self.make_room(now, id, cell.plan, out);
            return Tried::Planned;
        }
        let waited = self.jobs.get(&id).map_or(Duration::ZERO, |job| now.since(job.since));
        let turn = turn(self.expected(spec).median, waited);
        let asker = Asker { rank: Rank::borrowed(spec.priority, true), now, turn };
        let taker = Taker { fleet: &self.fleet, query, region: Region::Open, asker };
        let urgent = spec.priority == Priority::Urgent;
        let tries = asker.rank > Rank::Spare && (urgent || self.sought < PLANS);
        let plan = if tries { taker.find() } else { None };
        self.sought += 1;
        match plan {
            Some(plan)
                if self.is_worth(spec, &plan) && self.keeps_guarantees(&plan.slots, rank) =>
            {
                self.make_room(now, id, plan, out);
                Tried::Planned
            }
            _ => self.backfill_or_wait(now, id, spec, query, out),
        }
    }

    /// Uses reserved room that will not be needed before the job ends, or waits.
    fn backfill_or_wait(
        &mut self,
        now: Time,
        id: JobId,
        spec: &JobSpec,
        query: &Query,
        out: &mut Vec<Action>,
    ) -> Tried {
        let rank = Rank::borrowed(spec.priority, spec.rerunnable());
        let ends = now + self.expected(spec).high;
        if let Some(slots) = self.backfill(ends, query)
            && self.keeps_guarantees(&slots, rank)
        {
            self.place(now, id, slots, rank, out);
            return Tried::Placed;
        }
        let mut reason = self.waits_for(spec);
        if self.deserves_reservation(now, id, query)
            && let Some(at) = self.reserve(now, query)
        {
            let seconds = at.since(now).as_secs();
            reason = format!("{reason}; a block is reserved, expected free in {seconds} s");
        }
        Tried::Blocked(reason)
    }

    fn deserves_reservation(&self, now: Time, id: JobId, query: &Query) -> bool {
        let waited = self.jobs.get(&id).map_or(Duration::ZERO, |job| now.since(job.since));
        match self.settings.discipline {
            Discipline::Fifo => false,
            Discipline::Backfill => self.reservations.is_empty(),
            Discipline::Basilrack => {
                let wide = !matches!(query.extent, Extent::Worker { .. });
                wide && waited >= self.settings.reserve_after
                    && self.reservations.len() < RESERVATIONS
            }
        }
    }

    /// Places a job on free accelerators without regard to guarantees, for comparison.
    fn place_plainly(
        &mut self,
        now: Time,
        id: JobId,
        spec: &JobSpec,
        query: &Query,
        out: &mut Vec<Action>,
    ) -> Tried {
        match find(&self.fleet, query) {
            Some(slots) => {
                self.place(now, id, slots, Rank::Normal, out);
                Tried::Placed
            }
            None => self.backfill_or_wait(now, id, spec, query, out),
        }
    }

    /// Whether the work lost is small against the work that a job is expected to do.
    fn is_worth(&self, spec: &JobSpec, plan: &Plan) -> bool {
        let work = self.expected(spec).median.as_millis() as u64 * u64::from(spec.shape.total());
        spec.priority == Priority::Urgent || plan.loss <= work / WORTH
    }

    fn waits_for(&self, spec: &JobSpec) -> String {
        let free = self.fleet.free.available();
        let total = spec.shape.total();
        match free >= total {
            true => format!("waits for a block: {free} accelerators are free, but not adjacent"),
            false => format!("waits for {total} accelerators; {free} are free"),
        }
    }

    /// Whether a job that cannot be preempted leaves room for all guarantees.
    fn keeps_guarantees(&mut self, slots: &[Slot], rank: Rank) -> bool {
        if rank != Rank::Pinned {
            return true;
        }
        let before = self.guarantees.missing(&self.fleet);
        for slot in slots {
            self.fleet.update(slot.position, |worker| worker.pinned |= slot.mask);
        }
        let after = self.guarantees.missing(&self.fleet);
        for slot in slots {
            self.fleet.update(slot.position, |worker| worker.pinned &= !slot.mask);
        }
        let bound = |slot: &Slot| {
            self.fleet.at(slot.position).is_some_and(|worker| worker.bound & slot.mask != 0)
        };
        after <= before && !slots.iter().any(bound)
    }

    fn over_quota(&self, account: &model::AccountId, total: u32) -> Option<String> {
        let terms = self.policy.accounts.get(account);
        let whole = terms.map_or(0, |terms| terms.quota);
        let part = self.grants.get(account).copied().unwrap_or(whole).min(whole);
        let used = self.usage.get(account).copied().unwrap_or(0);
        (used + total > part)
            .then(|| format!("waits for quota: {used} of {part} accelerators are in use"))
    }

    fn rule_out(&mut self, now: Time, id: JobId, reason: String) -> Tried {
        let wait = self.settings.infeasible_after;
        let Some(job) = self.jobs.get_mut(&id) else { return Tried::Planned };
        if job.ruled == Time::NEVER {
            job.ruled = now;
        }
        let until = job.ruled + wait;
        if until <= now {
            self.end(now, id, JobEvent::Infeasible, Stage::Impossible, &reason);
            return Tried::Planned;
        }
        self.alarm(until, Timer::Pass);
        Tried::Blocked(format!("impossible with the present workers: {reason}"))
    }

    /// Where a job goes inside its account's guarantees.
    fn cell_plan(&self, now: Time, account: &model::AccountId, query: &Query) -> Option<CellPlan> {
        let share = self.guarantees.shares.get(account)?;
        let level = query.extent.level(self.fleet.layout.width)?;
        let asker = Asker { rank: Rank::Guaranteed, now, turn: Duration::MAX };
        let within = |block: Block, new: bool| {
            let region = Region::Cell(block);
            let plan = Taker { fleet: &self.fleet, query, region, asker }.find()?;
            Some(CellPlan { plan, block, new })
        };
        let bound = share.cells.iter().filter(|cell| cell.block.level >= level);
        let best = bound.filter_map(|cell| within(cell.block, false));
        let best = best.min_by_key(|cell| cell.plan.loss);
        if best.as_ref().is_some_and(|cell| cell.plan.victims.is_empty()) {
            return best;
        }
        let fresh = share.unbound().filter(|unbound| *unbound >= level);
        let fresh = fresh.filter_map(|unbound| {
            let block = self.guarantees.choose(&self.fleet, unbound, &asker)?;
            within(block, true)
        });
        best.into_iter().chain(fresh).min_by_key(|cell| cell.plan.loss)
    }

    /// Counts a job into a guarantee.
    fn enter(&mut self, id: JobId, account: &model::AccountId, cell: &CellPlan) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.guaranteed = true;
        }
        if cell.new {
            let jobs = BTreeSet::from([id]);
            let before = self.guarantees.missing(&self.fleet);
            self.guarantees.bind(&mut self.fleet, account, cell.block, jobs);
            let after = self.guarantees.missing(&self.fleet);
            assert!(after <= before, "binding a guarantee made {after} others unreclaimable");
            return;
        }
        let share = self.guarantees.shares.entry(account.clone()).or_default();
        for bound in share.cells.iter_mut().filter(|bound| bound.block == cell.block) {
            bound.jobs.insert(id);
        }
    }
}

#[derive(Clone, Debug)]
struct CellPlan {
    plan: Plan,
    block: Block,
    new: bool,
}

impl Candidate {
    fn order(&self, other: &Candidate) -> std::cmp::Ordering {
        let urgent = self.urgent.cmp(&other.urgent);
        urgent.then(self.score.total_cmp(&other.score)).then(other.waiting.cmp(&self.waiting))
    }
}
