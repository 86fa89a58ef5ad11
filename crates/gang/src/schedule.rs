//! Scheduling passes: placement, preemption and reservation for queued jobs.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Action;
use crate::Discipline;
use crate::JobEvent;
use crate::JobSpec;
use crate::Shard;
use crate::calls::infeasible_reason;
use crate::page::Stage;
use crate::place::preemption::Block;
use crate::place::preemption::PreemptionSearch;
use crate::place::preemption::Region;
use crate::place::resources::Extent;
use crate::place::resources::Slot;
use crate::place::search::Query;
use crate::place::search::find;
use crate::preempt::Plan;
use crate::preempt::Preemptor;
use crate::preempt::Rank;
use crate::preempt::min_run;
use crate::queue::Waiting;
use crate::run_time::RunEstimate;
use crate::shard::Timer;
use model::JobId;
use model::Priority;
use model::Time;

/// Shortest time between two scheduling passes.
const PASS_INTERVAL: Duration = Duration::from_millis(10);
/// Lower bound of the expected run time in a response ratio.
const MIN_RUN_TIME: Duration = Duration::from_secs(5);

/// Maximum number of gangs that have a reservation at the same time.
const MAX_RESERVATIONS: usize = 4;

/// Maximum number of searches for jobs to preempt in one pass; urgent jobs are not limited.
const MAX_PLAN_SEARCHES: u32 = 8;

/// A job that is not urgent may cost other jobs at most its own expected work divided by this.
const MAX_LOSS_DIVISOR: u64 = 8;

/// Result of trying to place a job.
enum PlaceResult {
    /// Its leases are being acquired.
    Placed,
    /// It needs no placement now: preempted jobs are leaving for it, or it has ended.
    Planned,
    /// It stays blocked, for this reason.
    Blocked(String),
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    waiting: Waiting,
    urgent: bool,
    score: f64,
}

impl Shard {
    /// Runs a scheduling pass if a change may allow a job to be placed.
    pub(crate) fn schedule(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.pass_needed || !self.pages_loaded || !self.workers_listed || self.fenced {
            return;
        }
        if now < self.last_pass + PASS_INTERVAL && self.last_pass != Time::ZERO {
            self.set_timer(self.last_pass + PASS_INTERVAL, Timer::Pass);
            return;
        }
        self.pass_needed = false;
        self.last_pass = now;
        let heads: Vec<Waiting> = self.queue.heads().collect();
        let mut candidates: Vec<Candidate> =
            heads.iter().map(|w| self.candidate(now, *w)).collect();
        self.clear_reservations();
        self.plan_searches = 0;
        for _ in 0..self.settings.pass_limit {
            let best = (0..candidates.len()).max_by(|a, b| candidates[*a].order(&candidates[*b]));
            let Some(best) = best else {
                return;
            };
            let candidate = candidates.swap_remove(best);
            let id = candidate.waiting.job;
            let class = self.jobs.get(&id).and_then(|job| job.class.clone());
            let next = class.and_then(|class| self.queue.after(&class, &candidate.waiting));
            let result = self.try_place(now, id, out);
            let is_unblocked = !matches!(result, PlaceResult::Blocked(_));
            if let (PlaceResult::Blocked(reason), Some(job)) = (result, self.jobs.get_mut(&id)) {
                job.reason = reason;
            }
            if !is_unblocked && self.settings.discipline == Discipline::Fifo {
                return;
            }
            if let Some(next) = next.filter(|_| is_unblocked) {
                candidates.push(self.candidate(now, next));
            }
        }
        self.pass_needed = true;
        self.set_timer(now + PASS_INTERVAL, Timer::Pass);
    }

    /// Estimates the run time of a job.
    pub(crate) fn estimate_run_time(&self, spec: &JobSpec) -> RunEstimate {
        match self.settings.discipline {
            Discipline::Basilrack => self.run_times.estimate(spec, &self.policy),
            _ => RunEstimate { median: spec.declared, p90: spec.declared },
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
        let expected = self.run_times.estimate(spec, &self.policy).median.max(MIN_RUN_TIME);
        let ratio = 1.0 + now.since(waiting.since).as_secs_f64() / expected.as_secs_f64();
        let urgent = spec.priority == Priority::Urgent;
        let factor = if spec.priority == Priority::Spare { 0.1 } else { 1.0 };
        Candidate { waiting, urgent, score: factor * ratio / self.share_excess(&spec.account) }
    }

    /// Ratio of an account's usage to its fair share, at least 1.
    fn share_excess(&self, account: &model::AccountId) -> f64 {
        let weight = |w: u32| f64::from(w.max(1));
        let weights: f64 = self.policy.accounts.values().map(|a| weight(a.weight)).sum();
        let own = self.policy.accounts.get(account).map_or(1.0, |a| weight(a.weight));
        let used = f64::from(self.usage.get(account).copied().unwrap_or(0));
        let total: u32 = self.usage.values().sum();
        let share = own / weights.max(1.0) * f64::from(total.max(1));
        (used / share.max(1.0)).max(1.0)
    }

    fn try_place(&mut self, now: Time, id: JobId, out: &mut Vec<Action>) -> PlaceResult {
        let Some(job) = self.jobs.get(&id) else { return PlaceResult::Planned };
        if job.plan.is_some() {
            return PlaceResult::Planned;
        }
        if job.not_before > now {
            return PlaceResult::Blocked(job.reason.clone());
        }
        let spec = job.record.spec.clone();
        let avoided = job.failed_on.iter().filter(|_| now < job.avoid_until);
        let failed: BTreeSet<u32> = avoided.filter_map(|w| self.fleet.position(w)).collect();
        if job.feasible_list != self.list_version
            && let Some(reason) = infeasible_reason(&self.fleet, &spec.shape)
        {
            return self.wait_or_end_infeasible(now, id, reason);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.infeasible_since = Time::NEVER;
            job.feasible_list = self.list_version;
        }
        if let Some(reason) = self.over_quota(&spec.account, spec.shape.total_accelerators()) {
            return PlaceResult::Blocked(reason);
        }
        let Some(extent) = Extent::of(&spec.shape, &self.fleet.largest, self.fleet.rack_size())
        else {
            return PlaceResult::Blocked("no worker can hold a task".to_owned());
        };
        let may_probe = spec.rerunnable();
        let query = Query { shape: &spec.shape, extent, avoid: &failed, may_probe };
        self.place_by_discipline(now, id, &spec, &query, out)
    }

    fn place_by_discipline(
        &mut self,
        now: Time,
        id: JobId,
        spec: &JobSpec,
        query: &Query,
        out: &mut Vec<Action>,
    ) -> PlaceResult {
        if self.settings.discipline != Discipline::Basilrack {
            return self.place_without_guarantees(now, id, spec, query, out);
        }
        let may_use_guarantee = spec.priority != Priority::Spare;
        let target =
            if may_use_guarantee { self.guarantee_plan(now, &spec.account, query) } else { None };
        if let Some(target) = target.as_ref().filter(|target| target.plan.victims.is_empty()) {
            let slots = target.plan.slots.clone();
            self.join_guarantee(id, &spec.account, target);
            self.start_attempt(now, id, slots, Rank::Guaranteed, out);
            return PlaceResult::Placed;
        }
        let rank = Rank::borrowed(spec.priority, spec.rerunnable());
        if let Some(slots) = find(&self.fleet, query)
            && self.keeps_guarantees(&slots, rank)
        {
            self.start_attempt(now, id, slots, rank, out);
            return PlaceResult::Placed;
        }
        if let Some(target) = target {
            self.join_guarantee(id, &spec.account, &target);
            self.make_room(now, id, target.plan, out);
            return PlaceResult::Planned;
        }
        let waited = self.jobs.get(&id).map_or(Duration::ZERO, |job| now.since(job.queued_since));
        let min_run = min_run(self.estimate_run_time(spec).median, waited);
        let preemptor = Preemptor { rank: Rank::borrowed(spec.priority, true), now, min_run };
        let search = PreemptionSearch {
            fleet: &self.fleet,
            query,
            region: Region::OutsideGuarantees,
            preemptor,
        };
        let urgent = spec.priority == Priority::Urgent;
        let may_search =
            preemptor.rank > Rank::Spare && (urgent || self.plan_searches < MAX_PLAN_SEARCHES);
        let plan = if may_search { search.find() } else { None };
        self.plan_searches += 1;
        match plan {
            Some(plan)
                if self.is_loss_acceptable(spec, &plan)
                    && self.keeps_guarantees(&plan.slots, rank) =>
            {
                self.make_room(now, id, plan, out);
                PlaceResult::Planned
            }
            _ => self.backfill_or_wait(now, id, spec, query, out),
        }
    }

    /// Places the job in a reserved block if it is expected to end before the block is needed;
    /// otherwise leaves it blocked, with a reservation if it is entitled to one.
    fn backfill_or_wait(
        &mut self,
        now: Time,
        id: JobId,
        spec: &JobSpec,
        query: &Query,
        out: &mut Vec<Action>,
    ) -> PlaceResult {
        let rank = Rank::borrowed(spec.priority, spec.rerunnable());
        let ends = now + self.estimate_run_time(spec).p90;
        if let Some(slots) = self.backfill(ends, query)
            && self.keeps_guarantees(&slots, rank)
        {
            self.start_attempt(now, id, slots, rank, out);
            return PlaceResult::Placed;
        }
        let mut reason = self.wait_reason(spec);
        if self.may_reserve(now, id, query)
            && let Some(at) = self.reserve(now, query)
        {
            let seconds = at.since(now).as_secs();
            reason = format!("{reason}; a block is reserved, expected free in {seconds} s");
        }
        PlaceResult::Blocked(reason)
    }

    fn may_reserve(&self, now: Time, id: JobId, query: &Query) -> bool {
        let waited = self.jobs.get(&id).map_or(Duration::ZERO, |job| now.since(job.queued_since));
        match self.settings.discipline {
            Discipline::Fifo => false,
            Discipline::Backfill => self.reservations.is_empty(),
            Discipline::Basilrack => {
                let wide = !matches!(query.extent, Extent::Worker { .. });
                wide && waited >= self.settings.reserve_after
                    && self.reservations.len() < MAX_RESERVATIONS
            }
        }
    }

    /// Places a job on free accelerators without regard to guarantees. For comparison only.
    fn place_without_guarantees(
        &mut self,
        now: Time,
        id: JobId,
        spec: &JobSpec,
        query: &Query,
        out: &mut Vec<Action>,
    ) -> PlaceResult {
        match find(&self.fleet, query) {
            Some(slots) => {
                self.start_attempt(now, id, slots, Rank::Normal, out);
                PlaceResult::Placed
            }
            None => self.backfill_or_wait(now, id, spec, query, out),
        }
    }

    /// Whether the work that a plan loses is small compared with the expected work of the job.
    fn is_loss_acceptable(&self, spec: &JobSpec, plan: &Plan) -> bool {
        let work = self.estimate_run_time(spec).median.as_millis() as u64
            * u64::from(spec.shape.total_accelerators());
        spec.priority == Priority::Urgent || plan.loss <= work / MAX_LOSS_DIVISOR
    }

    fn wait_reason(&self, spec: &JobSpec) -> String {
        let free = self.fleet.free.available();
        let total = spec.shape.total_accelerators();
        match free >= total {
            true => format!("waits for a block: {free} accelerators are free, but not adjacent"),
            false => format!("waits for {total} accelerators; {free} are free"),
        }
    }

    /// Whether guarantees stay reclaimable if the slots go to a job of this rank. Only jobs that
    /// cannot be preempted take anything from guarantees.
    fn keeps_guarantees(&mut self, slots: &[Slot], rank: Rank) -> bool {
        if rank != Rank::Pinned {
            return true;
        }
        let before = self.guarantees.unreclaimable(&self.fleet);
        for slot in slots {
            self.fleet.update(slot.position, |worker| worker.pinned |= slot.mask);
        }
        let after = self.guarantees.unreclaimable(&self.fleet);
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

    fn wait_or_end_infeasible(&mut self, now: Time, id: JobId, reason: String) -> PlaceResult {
        let wait = self.settings.infeasible_after;
        let Some(job) = self.jobs.get_mut(&id) else { return PlaceResult::Planned };
        if job.infeasible_since == Time::NEVER {
            job.infeasible_since = now;
        }
        let until = job.infeasible_since + wait;
        if until <= now {
            self.end_job(now, id, JobEvent::Infeasible, Stage::Impossible, &reason);
            return PlaceResult::Planned;
        }
        self.set_timer(until, Timer::Pass);
        PlaceResult::Blocked(format!("impossible with the present workers: {reason}"))
    }

    /// Finds the placement in the account's guarantees, in bound blocks or a new one, that loses
    /// the least work.
    fn guarantee_plan(
        &self,
        now: Time,
        account: &model::AccountId,
        query: &Query,
    ) -> Option<GuaranteePlan> {
        let guarantees = self.guarantees.accounts.get(account)?;
        let level = query.extent.level(self.fleet.layout.width)?;
        let preemptor = Preemptor { rank: Rank::Guaranteed, now, min_run: Duration::MAX };
        let within = |block: Block, new: bool| {
            let region = Region::Guarantee(block);
            let plan = PreemptionSearch { fleet: &self.fleet, query, region, preemptor }.find()?;
            Some(GuaranteePlan { plan, block, new })
        };
        let bound = guarantees.bound_blocks.iter().filter(|bound| bound.block.level >= level);
        let best = bound.filter_map(|bound| within(bound.block, false));
        let best = best.min_by_key(|target| target.plan.loss);
        if best.as_ref().is_some_and(|target| target.plan.victims.is_empty()) {
            return best;
        }
        let fresh = guarantees.unbound_levels().filter(|unbound_level| *unbound_level >= level);
        let fresh = fresh.filter_map(|unbound_level| {
            let block = self.guarantees.choose_block(&self.fleet, unbound_level, &preemptor)?;
            within(block, true)
        });
        best.into_iter().chain(fresh).min_by_key(|target| target.plan.loss)
    }

    /// Adds a job to the bound block of its plan, and binds the block if it is new.
    fn join_guarantee(&mut self, id: JobId, account: &model::AccountId, target: &GuaranteePlan) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.guaranteed = true;
        }
        if target.new {
            let jobs = BTreeSet::from([id]);
            let before = self.guarantees.unreclaimable(&self.fleet);
            self.guarantees.bind(&mut self.fleet, account, target.block, jobs);
            let after = self.guarantees.unreclaimable(&self.fleet);
            assert!(after <= before, "binding a guarantee made {after} others unreclaimable");
            return;
        }
        let guarantees = self.guarantees.accounts.entry(account.clone()).or_default();
        for bound in guarantees.bound_blocks.iter_mut().filter(|bound| bound.block == target.block)
        {
            bound.jobs.insert(id);
        }
    }
}

#[derive(Clone, Debug)]
struct GuaranteePlan {
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
