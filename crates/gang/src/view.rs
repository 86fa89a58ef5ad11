//! Builds snapshots of a shard's state.

use crate::GuaranteeView;
use crate::JobState;
use crate::Shard;
use crate::Snapshot;
use crate::WorkerState;
use crate::guarantee::shortage;
use model::JobId;
use model::WorkerId;

impl Shard {
    /// Current state of the shard.
    pub fn snapshot(&self) -> Snapshot {
        let mut view = Snapshot {
            store_down: self.pages.down,
            fenced: self.fenced,
            unreadable: self.pages.unreadable.iter().cloned().collect(),
            guarantees: self.guarantee_views(),
            ..Snapshot::default()
        };
        for (id, job) in &self.jobs {
            *view.jobs.entry(job.state).or_default() += 1;
            if job.state == JobState::Unknown {
                view.unknown.push(*id);
            }
        }
        let mut whole = 0;
        for entry in self.fleet.iter() {
            let worker = entry.worker;
            let id = || worker.info.id.clone();
            match worker.state {
                WorkerState::Ready => view.ready += 1,
                WorkerState::Silent | WorkerState::Gone => view.lost.push(id()),
                WorkerState::Quarantined | WorkerState::Probing => view.quarantined.push(id()),
                WorkerState::Leaving => {}
            }
            if worker.backs_guarantees() {
                let free = worker.all_accelerators() & !worker.allocated;
                view.accelerators += worker.info.accelerators;
                view.free += free.count_ones();
                whole += if free == worker.all_accelerators() { free.count_ones() } else { 0 };
            }
        }
        if view.free > 0 {
            view.fragmentation = f64::from(view.free - whole) / f64::from(view.free);
        }
        view
    }

    fn guarantee_views(&self) -> Vec<GuaranteeView> {
        let wanted = self.guarantees.wanted();
        let mut short = shortage(&self.fleet.reclaimable.block_counts(), &wanted);
        let mut views = Vec::new();
        for (account, guarantees) in &self.guarantees.accounts {
            let mut view = GuaranteeView {
                account: account.clone(),
                used: guarantees.bound_blocks.len() as u32,
                reclaimable: 0,
                at_risk: 0,
            };
            for (&level, &count) in &guarantees.promised {
                let used = guarantees.bound_blocks.iter().filter(|c| c.block.level == level).count()
                    as u32;
                let left = count.saturating_sub(used);
                let risk = short.get(level as usize).copied().unwrap_or(left).min(left);
                if let Some(short) = short.get_mut(level as usize) {
                    *short -= risk;
                }
                view.at_risk += risk;
                view.reclaimable += left - risk;
            }
            views.push(view);
        }
        views
    }

    /// Workers of a job's current attempt; empty if it is not placed.
    pub fn workers_of(&self, job: JobId) -> Vec<WorkerId> {
        let gang = self.jobs.get(&job).and_then(|job| job.gang.as_ref());
        gang.map(|gang| gang.parts.iter().map(|part| part.worker.clone()).collect())
            .unwrap_or_default()
    }
}
