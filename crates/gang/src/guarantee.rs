//! Guaranteed blocks of client accounts.
//!
//! A guarantee is an aligned block of some level. While its account does not use it, it is not
//! bound to a place: it only has to fit, together with all other guarantees, into the capacity that
//! can be reclaimed, and jobs of other accounts that run there can be preempted. The account's
//! first job binds it to a block; the last one to leave unbinds it. Buddy blocks fit exactly if,
//! from the largest level down, each level finds enough blocks among its own and the halves of
//! larger ones, as in HiveD (OSDI 2020).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Policy;
use crate::place::fleet::Fleet;
use crate::place::preemption::Block;
use crate::place::resources::Extent;
use crate::preempt::Preemptor;
use model::AccountId;
use model::JobId;
use model::WorkerId;

/// A guarantee that is bound to a block because its account uses it.
#[derive(Clone, Debug)]
pub(crate) struct BoundBlock {
    /// The block.
    pub(crate) block: Block,
    /// Jobs of the account in the block.
    pub(crate) jobs: BTreeSet<JobId>,
}

/// Guaranteed blocks of one account.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountGuarantees {
    /// Number of guaranteed blocks by level.
    pub(crate) promised: BTreeMap<u32, u32>,
    /// Guarantees in use.
    pub(crate) bound_blocks: Vec<BoundBlock>,
}

impl AccountGuarantees {
    fn used(&self, level: u32) -> u32 {
        self.bound_blocks.iter().filter(|bound| bound.block.level == level).count() as u32
    }

    /// Levels with at least one guarantee not in use, smallest first.
    pub(crate) fn unbound_levels(&self) -> impl Iterator<Item = u32> {
        let left = self.promised.iter().filter(|(level, count)| **count > self.used(**level));
        left.map(|(level, _)| *level)
    }
}

/// Guarantees of all accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Guarantees {
    /// Guarantees by account.
    pub(crate) accounts: BTreeMap<AccountId, AccountGuarantees>,
}

/// For each level, how many of the `wanted` blocks do not fit into the `available` maximal blocks.
/// Both are counts by level.
pub(crate) fn shortage(available: &[u32], wanted: &[u32]) -> Vec<u32> {
    let levels = available.len().max(wanted.len());
    let at = |list: &[u32], level: usize| list.get(level).copied().unwrap_or(0);
    let mut short = vec![0; levels];
    let mut carry: u64 = 0;
    for level in (0..levels).rev() {
        let have = 2 * carry + u64::from(at(available, level));
        let want = u64::from(at(wanted, level));
        short[level] = want.saturating_sub(have) as u32;
        carry = have.saturating_sub(want);
    }
    short
}

impl Guarantees {
    /// Takes over the guarantees of a policy. Bound blocks stay where they are.
    pub(crate) fn apply_policy(&mut self, policy: &Policy, fleet: &Fleet) {
        for guarantees in self.accounts.values_mut() {
            guarantees.promised.clear();
        }
        for (account, terms) in &policy.accounts {
            for item in &terms.guaranteed {
                let extent = Extent::of(&item.shape, &fleet.largest, fleet.rack_size());
                let level = extent.and_then(|extent| extent.level(fleet.layout.width));
                // A shape that fits nowhere is counted at a level above all existing ones, so that
                // it shows as a shortage.
                let level = level.unwrap_or(fleet.reclaimable.top() + 1);
                let guarantees = self.accounts.entry(account.clone()).or_default();
                *guarantees.promised.entry(level).or_default() += item.count;
            }
        }
        self.accounts.retain(|_, guarantees| {
            !guarantees.promised.is_empty() || !guarantees.bound_blocks.is_empty()
        });
    }

    /// Number of guaranteed blocks not in use, by level.
    pub(crate) fn wanted(&self) -> Vec<u32> {
        let mut wanted = Vec::new();
        for guarantees in self.accounts.values() {
            for (&level, &count) in &guarantees.promised {
                let level = level as usize;
                if wanted.len() <= level {
                    wanted.resize(level + 1, 0);
                }
                wanted[level] += count.saturating_sub(guarantees.used(level as u32));
            }
        }
        wanted
    }

    /// Number of unused guaranteed blocks that cannot be reclaimed.
    pub(crate) fn unreclaimable(&self, fleet: &Fleet) -> u32 {
        shortage(&fleet.reclaimable.block_counts(), &self.wanted()).iter().sum()
    }

    /// The block of `level` whose preemption loses the least work and that leaves room for all
    /// other guarantees.
    pub(crate) fn choose_block(
        &self,
        fleet: &Fleet,
        level: u32,
        preemptor: &Preemptor,
    ) -> Option<Block> {
        let counts = fleet.reclaimable.block_counts();
        let mut wanted = self.wanted();
        let before: u32 = shortage(&counts, &wanted).iter().sum();
        *wanted.get_mut(level as usize)? -= 1;
        let mut best: Option<(u64, Block)> = None;
        for from in level..=fleet.reclaimable.top() {
            if fleet.reclaimable.blocks(from).is_empty()
                || !fits_after_split(&counts, &wanted, level, from, before)
            {
                continue;
            }
            for &first in fleet.reclaimable.blocks(from) {
                for index in 0..1_u32 << (from - level) {
                    let block = Block { first: first + (index << level), level };
                    let Some(loss) = vacate_loss(fleet, &block, preemptor) else { continue };
                    if best.is_none_or(|(least, _)| loss < least) {
                        best = Some((loss, block));
                    }
                    if loss == 0 {
                        return Some(block);
                    }
                }
            }
        }
        best.map(|(_, block)| block)
    }

    /// Binds a guarantee to a block, used by `jobs`.
    pub(crate) fn bind(
        &mut self,
        fleet: &mut Fleet,
        account: &AccountId,
        block: Block,
        jobs: BTreeSet<JobId>,
    ) {
        let width = fleet.layout.width;
        for position in block.positions(width) {
            fleet.update(position, |worker| {
                assert!(worker.bound & block.mask(width) == 0, "a guarantee is bound twice");
                worker.bound |= block.mask(width);
            });
        }
        let guarantees = self.accounts.entry(account.clone()).or_default();
        guarantees.bound_blocks.push(BoundBlock { block, jobs });
    }

    /// Removes a job from its bound block, and unbinds the block if it was the last one there.
    ///
    /// Returns whether a block was unbound of which some part cannot back a guarantee now, because
    /// its worker is lost, or because it is held by a job that cannot be preempted and that a new
    /// owner found in the store.
    pub(crate) fn remove_job(
        &mut self,
        fleet: &mut Fleet,
        account: &AccountId,
        job: JobId,
    ) -> bool {
        let Some(guarantees) = self.accounts.get_mut(account) else { return false };
        let mut unbacked = false;
        let width = fleet.layout.width;
        for bound in &mut guarantees.bound_blocks {
            if bound.jobs.remove(&job) && bound.jobs.is_empty() {
                for position in bound.block.positions(width) {
                    let mask = bound.block.mask(width);
                    fleet.update(position, |worker| worker.bound &= !mask);
                    unbacked |= fleet.reclaimable.mask(position) & mask != mask;
                }
            }
        }
        guarantees.bound_blocks.retain(|bound| !bound.jobs.is_empty());
        unbacked
    }
}

/// A bound block, identified by the workers that it spans.
#[derive(Clone, Debug)]
pub(crate) struct BlockLocation {
    account: AccountId,
    workers: Vec<WorkerId>,
    block: Block,
    width: u32,
    jobs: BTreeSet<JobId>,
}

impl Guarantees {
    /// All bound blocks, identified by the workers that they span.
    pub(crate) fn locate_blocks(&self, fleet: &Fleet) -> Vec<BlockLocation> {
        let width = fleet.layout.width;
        let mut locations = Vec::new();
        for (account, guarantees) in &self.accounts {
            for bound in &guarantees.bound_blocks {
                let workers = bound.block.positions(width).filter_map(|p| fleet.at(p));
                locations.push(BlockLocation {
                    account: account.clone(),
                    workers: workers.map(|worker| worker.info.id.clone()).collect(),
                    block: bound.block,
                    width,
                    jobs: bound.jobs.clone(),
                });
            }
        }
        locations
    }

    /// Binds guarantees again after the positions of the workers changed.
    ///
    /// Returns the jobs whose workers no longer form an aligned block; they continue outside the
    /// guarantee.
    pub(crate) fn rebind(
        &mut self,
        fleet: &mut Fleet,
        locations: &[BlockLocation],
    ) -> BTreeSet<JobId> {
        for guarantees in self.accounts.values_mut() {
            guarantees.bound_blocks.clear();
        }
        let mut lost = BTreeSet::new();
        for location in locations {
            match location.relocated_block(fleet) {
                Some(block) => {
                    self.bind(fleet, &location.account, block, location.jobs.clone());
                }
                None => lost.extend(location.jobs.iter().copied()),
            }
        }
        lost
    }
}

impl BlockLocation {
    fn relocated_block(&self, fleet: &Fleet) -> Option<Block> {
        let width = fleet.layout.width;
        let start = fleet.position(self.workers.first()?)?;
        let kept = (start..).zip(&self.workers).all(|(p, w)| fleet.position(w) == Some(p));
        let first = (start << width) + (self.block.first & ((1 << width) - 1));
        let aligned = first.is_multiple_of(1 << self.block.level);
        let size = self.block.positions(width).len();
        let intact = kept && aligned && width == self.width && size == self.workers.len();
        intact.then_some(Block { first, level: self.block.level })
    }
}

fn fits_after_split(counts: &[u32], wanted: &[u32], level: u32, from: u32, before: u32) -> bool {
    let mut counts = counts.to_vec();
    counts[from as usize] -= 1;
    for halved in level..from {
        counts[halved as usize] += 1;
    }
    shortage(&counts, wanted).iter().sum::<u32>() <= before
}

/// Work lost by preempting all jobs in a block; `None` if the block cannot be vacated.
fn vacate_loss(fleet: &Fleet, block: &Block, preemptor: &Preemptor) -> Option<u64> {
    let width = fleet.layout.width;
    let mask = block.mask(width);
    let mut loss = 0;
    for position in block.positions(width) {
        let worker = fleet.at(position)?;
        if worker.claimed & mask != 0 || !worker.accepts_work() {
            return None;
        }
        for allocation in worker.allocations.iter().filter(|allocation| allocation.mask & mask != 0)
        {
            if !preemptor.may_preempt(allocation) {
                return None;
            }
            loss += preemptor.loss(allocation);
        }
    }
    Some(loss)
}
