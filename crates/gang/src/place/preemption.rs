//! Search for the placement whose preemptions lose the least work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::WorkerState;
use crate::place::fleet::Allocation;
use crate::place::fleet::Fleet;
use crate::place::fleet::Worker;
use crate::place::resources::Extent;
use crate::place::resources::Slot;
use crate::place::search::Query;
use crate::place::search::TaskAssigner;
use crate::place::search::count_runs;
use crate::place::tree::level_of;
use crate::place::tree::low_bits;
use crate::preempt::Plan;
use crate::preempt::Preemptor;
use model::JobId;

/// Number of candidates that are compared exactly, after a rough comparison of all.
const MAX_EXACT_CHOICES: usize = 8;

/// Cost of a worker that cannot be vacated completely.
const UNAVAILABLE: u64 = u64::MAX;

/// An aligned block of accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Block {
    /// Address of the first accelerator.
    pub(crate) first: u32,
    /// The block has `2^level` accelerators.
    pub(crate) level: u32,
}

impl Block {
    /// Positions of the block's workers.
    pub(crate) fn positions(&self, width: u32) -> std::ops::Range<u32> {
        let start = self.first >> width;
        start..start + (1 << self.level.saturating_sub(width))
    }

    /// Mask of the block's accelerators on each of its workers.
    pub(crate) fn mask(&self, width: u32) -> u64 {
        let offset = self.first & ((1 << width) - 1);
        low_bits(1 << self.level.min(width)) << offset
    }
}

/// Where jobs may be preempted.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Region {
    /// Anywhere outside bound guarantees.
    OutsideGuarantees,
    /// Within the block of a guarantee.
    Guarantee(Block),
}

/// Search for a placement that may preempt jobs.
pub(crate) struct PreemptionSearch<'a> {
    /// Workers to search.
    pub(crate) fleet: &'a Fleet,
    /// Gang to place.
    pub(crate) query: &'a Query<'a>,
    /// Region to search.
    pub(crate) region: Region,
    /// Parameters of the preempting job.
    pub(crate) preemptor: Preemptor,
}

struct Choice {
    loss: u64,
    positions: Vec<u32>,
}

impl PreemptionSearch<'_> {
    /// Finds the plan that loses the least work; it has no victims if there is enough free
    /// capacity.
    pub(crate) fn find(&self) -> Option<Plan> {
        match self.query.extent {
            Extent::Worker { accelerators } => self.find_block(accelerators),
            Extent::Workers { count } => self.find_workers(count),
            Extent::Racks { count } => self.find_racks(count),
            Extent::Spread => self.find_spread(),
        }
    }

    fn positions(&self) -> std::ops::Range<u32> {
        match self.region {
            Region::OutsideGuarantees => 0..1 << self.fleet.layout.height,
            Region::Guarantee(block) => block.positions(self.fleet.layout.width),
        }
    }

    /// Mask of the accelerators that are free or can be vacated by preemption.
    fn obtainable(&self, position: u32, worker: &Worker) -> u64 {
        if worker.state != WorkerState::Ready || !worker.accepts_work() {
            return 0;
        }
        let region = match self.region {
            Region::OutsideGuarantees => !worker.bound,
            Region::Guarantee(block) => block.mask(self.fleet.layout.width),
        };
        let not_preemptible = worker.allocations.iter().filter(|h| !self.preemptor.may_preempt(h));
        let not_preemptible = not_preemptible.fold(0, |mask, allocation| mask | allocation.mask);
        if !self.query.admits(position, worker) {
            return 0;
        }
        worker.all_accelerators() & region & !worker.claimed & !not_preemptible
    }

    fn loss_on(&self, worker: &Worker, mask: u64) -> u64 {
        let allocations = worker.allocations.iter().filter(|h| h.mask & mask != 0);
        allocations.map(|h| self.preemptor.loss(h)).sum()
    }

    fn find_block(&self, accelerators: u32) -> Option<Plan> {
        let size = 1_u32 << level_of(accelerators);
        let wanted = low_bits(accelerators);
        let mut best: Option<(u64, Slot)> = None;
        for position in self.positions() {
            let Some(worker) = self.fleet.at(position) else { continue };
            let obtainable = self.obtainable(position, worker);
            let starts = (0..worker.info.accelerators.max(1)).step_by(size as usize);
            for mask in starts.map(|at| wanted << at) {
                if obtainable & mask != mask {
                    continue;
                }
                let loss = self.loss_on(worker, mask);
                if best.is_some_and(|(least, _)| loss >= least) {
                    continue;
                }
                let slot = Slot { position, mask, first: 0, tasks: self.query.shape.tasks };
                if self.victims(&slot).is_some() {
                    best = Some((loss, slot));
                }
            }
            if best.is_some_and(|(least, _)| least == 0) {
                break;
            }
        }
        self.plan(vec![best?.1])
    }

    fn find_workers(&self, count: u32) -> Option<Plan> {
        let costs = self.worker_costs();
        let size = self.fleet.rack_size();
        let mut choices = Vec::new();
        for rack in self.racks() {
            for start in rack * size..=(rack + 1) * size - count.min(size) {
                let window = &costs[start as usize..(start + count) as usize];
                if window.iter().all(|cost| *cost != UNAVAILABLE) {
                    let positions = (start..start + count).collect();
                    choices.push(Choice { loss: window.iter().sum(), positions });
                }
            }
        }
        self.best_plan(choices)
    }

    fn find_racks(&self, count: u32) -> Option<Plan> {
        let costs = self.worker_costs();
        let least = count.div_ceil(self.fleet.rack_size());
        for racks in least..=least + 1 {
            let mut choices = Vec::new();
            for zone in &self.fleet.layout.zones {
                let last = (zone.first + zone.racks + 1).saturating_sub(racks);
                for rack in zone.first..last {
                    choices.extend(self.cheapest_workers(&costs, rack, racks, count as usize));
                }
            }
            let best = self.best_plan(choices);
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// The `count` workers in a range of racks whose preemption loses the least work.
    fn cheapest_workers(
        &self,
        costs: &[u64],
        rack: u32,
        racks: u32,
        count: usize,
    ) -> Option<Choice> {
        let size = self.fleet.rack_size();
        let positions = rack * size..(rack + racks) * size;
        let found = positions.map(|position| (costs[position as usize], position));
        let mut found: Vec<(u64, u32)> = found.filter(|(cost, _)| *cost != UNAVAILABLE).collect();
        if found.len() < count {
            return None;
        }
        if found.len() > count {
            found.select_nth_unstable(count - 1);
            found.truncate(count);
            found.sort_unstable_by_key(|(_, position)| *position);
        }
        let loss = found.iter().map(|(cost, _)| cost).sum();
        Some(Choice { loss, positions: found.into_iter().map(|(_, position)| position).collect() })
    }

    fn find_spread(&self) -> Option<Plan> {
        let size = self.fleet.rack_size();
        for zone in &self.fleet.layout.zones {
            let inside = zone.first * size..(zone.first + zone.racks) * size;
            let mut order: Vec<(u64, u32)> = Vec::new();
            for position in self.positions().filter(|position| inside.contains(position)) {
                let Some(worker) = self.fleet.at(position) else { continue };
                let obtainable = self.obtainable(position, worker);
                order.push((self.loss_on(worker, obtainable), position));
            }
            order.sort_unstable();
            let mut assigner = TaskAssigner::new(self.query);
            for (_, position) in order {
                let Some(worker) = self.fleet.at(position) else { continue };
                let obtainable = self.obtainable(position, worker);
                assigner.add(position, obtainable, self.task_capacity(worker, obtainable));
                if assigner.done() {
                    break;
                }
            }
            let plan = assigner.finish().and_then(|slots| self.plan(slots));
            if plan.is_some() {
                return plan;
            }
        }
        None
    }

    fn task_capacity(&self, worker: &Worker, obtainable: u64) -> u32 {
        let runs = match self.query.shape.accelerators {
            0 => u32::MAX,
            each => count_runs(obtainable, each),
        };
        runs.min(worker.capacity().task_capacity(self.query.shape))
    }

    fn racks(&self) -> Vec<u32> {
        let zones = self.fleet.layout.zones.iter();
        let all = zones.flat_map(|zone| zone.first..zone.first + zone.racks);
        let positions = self.positions();
        let size = self.fleet.rack_size();
        all.filter(|rack| rack * size < positions.end && (rack + 1) * size > positions.start)
            .collect()
    }

    /// Work lost by vacating each worker, by position; [`UNAVAILABLE`] for those that cannot be
    /// vacated completely.
    fn worker_costs(&self) -> Vec<u64> {
        let mut costs = vec![UNAVAILABLE; 1 << self.fleet.layout.height];
        for position in self.positions() {
            let Some(worker) = self.fleet.at(position) else { continue };
            let all = worker.all_accelerators();
            if all != 0 && self.obtainable(position, worker) == all {
                costs[position as usize] = self.loss_on(worker, all);
            }
        }
        costs
    }

    fn best_plan(&self, mut choices: Vec<Choice>) -> Option<Plan> {
        choices.sort_by_key(|choice| choice.loss);
        let plans = choices.iter().take(MAX_EXACT_CHOICES).filter_map(|choice| {
            let mut assigner = TaskAssigner::new(self.query);
            for &position in &choice.positions {
                let worker = self.fleet.at(position)?;
                assigner.add(
                    position,
                    worker.all_accelerators(),
                    worker.capacity().task_capacity(self.query.shape),
                );
            }
            assigner.finish().and_then(|slots| self.plan(slots))
        });
        plans.min_by_key(|plan| plan.loss)
    }

    fn plan(&self, slots: Vec<Slot>) -> Option<Plan> {
        let mut losses: BTreeMap<JobId, u64> = BTreeMap::new();
        for slot in &slots {
            for victim in self.victims(slot)? {
                losses.insert(victim.job, self.preemptor.loss(&victim));
            }
        }
        let loss = losses.values().sum();
        Some(Plan { slots, victims: losses.into_keys().collect::<BTreeSet<_>>(), loss })
    }

    /// Jobs to preempt on a worker so that the slot's accelerators, cores and memory become free;
    /// `None` if they cannot.
    fn victims(&self, slot: &Slot) -> Option<Vec<Allocation>> {
        let worker = self.fleet.at(slot.position)?;
        let mut rest: Vec<&Allocation> = worker.allocations.iter().collect();
        rest.sort_by_key(|h| (h.mask & slot.mask == 0, self.preemptor.loss(h)));
        let wanted = self.query.resources_for(slot.tasks);
        let mut millicores = worker.millicores;
        let mut memory = worker.memory;
        let mut victims = Vec::new();
        for allocation in rest {
            let short = millicores < wanted.millicores || memory < wanted.memory;
            if allocation.mask & slot.mask == 0 && !short {
                break;
            }
            if !self.preemptor.may_preempt(allocation) {
                if allocation.mask & slot.mask != 0 {
                    return None;
                }
                continue;
            }
            millicores += allocation.resources.millicores;
            memory += allocation.resources.memory;
            victims.push(*allocation);
        }
        let enough = millicores >= wanted.millicores && memory >= wanted.memory;
        enough.then_some(victims)
    }
}
