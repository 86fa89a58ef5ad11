//! Workers by position, their allocations, and indexes of free capacity.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::WorkerEvent;
use crate::WorkerInfo;
use crate::WorkerState;
use crate::health::Health;
use crate::place::layout::Layout;
use crate::place::resources::Resources;
use crate::place::resources::Slot;
use crate::place::tree::BuddyTree;
use crate::place::tree::low_bits;
use crate::preempt::Rank;
use crate::state::WORKER;
use model::JobId;
use model::Time;
use model::WorkerId;

/// Resources of one worker that are allocated to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Allocation {
    /// The job.
    pub(crate) job: JobId,
    /// Mask of the accelerators on this worker.
    pub(crate) mask: u64,
    /// Amounts of resources on this worker.
    pub(crate) resources: Resources,
    /// Preemption rank of the job.
    pub(crate) rank: Rank,
    /// Time since which the job's work would be lost: its placement or last checkpoint.
    pub(crate) unsaved_since: Time,
    /// Whether the job writes a checkpoint when it is preempted.
    pub(crate) can_checkpoint: bool,
    /// Number of accelerators of the whole gang.
    pub(crate) gang_size: u32,
    /// When the job was placed.
    pub(crate) placed_at: Time,
    /// When the job is expected to end.
    pub(crate) expected_end: Time,
}

/// A worker and its allocations.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// Description in the VM list.
    pub(crate) info: WorkerInfo,
    /// State of the worker.
    pub(crate) state: WorkerState,
    /// Failure history and probe schedule.
    pub(crate) health: Health,
    /// Mask of allocated accelerators.
    pub(crate) allocated: u64,
    /// Mask of accelerators claimed for a job that waits for preempted jobs to leave them.
    pub(crate) claimed: u64,
    /// Mask of accelerators reserved for blocked gangs.
    pub(crate) reserved: u64,
    /// Mask of accelerators in bound guarantees.
    pub(crate) bound: u64,
    /// Mask of accelerators that cannot back guarantees because a job that cannot be preempted
    /// holds or claims them.
    pub(crate) pinned: u64,
    /// Allocations of accelerators, cores and memory on this worker.
    pub(crate) allocations: Vec<Allocation>,
    /// Unallocated processor cores, in thousandths.
    pub(crate) millicores: u32,
    /// Unallocated memory, in mebibytes.
    pub(crate) memory: u32,
    /// When the leases are next renewed, or `NEVER`.
    pub(crate) next_renewal: Time,
    /// When the worker last answered.
    pub(crate) answered_at: Time,
    /// Until when the worker takes no new work because it refused a lease; `ZERO` if it is not
    /// avoided.
    pub(crate) avoid_until: Time,
}

impl Worker {
    fn new(info: WorkerInfo, now: Time) -> Worker {
        Worker {
            state: WORKER.initial(),
            health: Health::default(),
            allocated: 0,
            claimed: 0,
            reserved: 0,
            bound: 0,
            pinned: 0,
            allocations: Vec::new(),
            millicores: info.millicores,
            memory: info.memory_mib,
            next_renewal: Time::NEVER,
            answered_at: now,
            avoid_until: Time::ZERO,
            info,
        }
    }

    /// Mask of all its accelerators.
    pub(crate) fn all_accelerators(&self) -> u64 {
        low_bits(self.info.accelerators)
    }

    /// Whether the worker takes new work.
    pub(crate) fn accepts_work(&self) -> bool {
        match self.state {
            WorkerState::Ready => self.avoid_until == Time::ZERO,
            WorkerState::Probing => self.avoid_until == Time::ZERO && self.allocations.is_empty(),
            _ => false,
        }
    }

    /// Whether the accelerators count towards guarantees.
    pub(crate) fn backs_guarantees(&self) -> bool {
        matches!(self.state, WorkerState::Ready)
    }

    /// Unallocated cores and memory, together with the given number of accelerators.
    pub(crate) fn available(&self, accelerators: u32) -> Resources {
        Resources { accelerators, millicores: self.millicores, memory: self.memory }
    }

    /// All resources of the worker.
    pub(crate) fn capacity(&self) -> Resources {
        Resources {
            accelerators: self.info.accelerators,
            millicores: self.info.millicores,
            memory: self.info.memory_mib,
        }
    }
}

/// Workers by position, their allocations, and indexes of free capacity.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    /// Positions of the workers.
    pub(crate) layout: Layout,
    /// Accelerators that are not allocated, claimed or reserved, on workers that take work.
    pub(crate) free: BuddyTree,
    /// Accelerators that a guarantee can be bound to, free or by preemption.
    pub(crate) reclaimable: BuddyTree,
    /// Workers by unallocated processor cores, for gangs without accelerators.
    pub(crate) cores: BTreeSet<SpareCores>,
    /// Resources of the largest worker, which decide whether and how a gang fits.
    pub(crate) largest: Resources,
    workers: Vec<Option<Worker>>,
}

/// Sort key of workers by unallocated processor cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SpareCores {
    /// Unallocated processor cores, in thousandths.
    pub(crate) millicores: u32,
    /// Position of the worker.
    pub(crate) position: u32,
}

impl Fleet {
    /// Creates a fleet without workers.
    pub(crate) fn new() -> Fleet {
        Fleet {
            layout: Layout::default(),
            free: BuddyTree::new(0, 0),
            reclaimable: BuddyTree::new(0, 0),
            cores: BTreeSet::new(),
            largest: Resources::default(),
            workers: vec![None],
        }
    }

    /// Position of a worker; `None` if it was not in the last layout.
    pub(crate) fn position(&self, id: &WorkerId) -> Option<u32> {
        self.layout.positions.get(id).copied()
    }

    /// The worker at a position.
    pub(crate) fn at(&self, position: u32) -> Option<&Worker> {
        self.workers.get(position as usize)?.as_ref()
    }

    /// The worker with an id.
    pub(crate) fn find(&self, id: &WorkerId) -> Option<&Worker> {
        self.at(self.position(id)?)
    }

    /// All workers with their positions.
    pub(crate) fn iter(&self) -> impl Iterator<Item = PositionedWorker<'_>> {
        let all = self.workers.iter().enumerate();
        all.filter_map(|(position, worker)| {
            Some(PositionedWorker { position: position as u32, worker: worker.as_ref()? })
        })
    }

    /// Number of positions in a rack, a power of two.
    pub(crate) fn rack_size(&self) -> u32 {
        1 << self.layout.depth
    }

    /// Changes a worker and updates the indexes of free capacity.
    pub(crate) fn update(&mut self, position: u32, change: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.workers.get_mut(position as usize).and_then(Option::as_mut) else {
            return;
        };
        let old = SpareCores { millicores: worker.millicores, position };
        change(worker);
        self.cores.remove(&old);
        if worker.accepts_work() {
            self.cores.insert(SpareCores { millicores: worker.millicores, position });
        }
        let taken = worker.allocated | worker.claimed | worker.reserved;
        let free = if worker.accepts_work() { worker.all_accelerators() & !taken } else { 0 };
        let reclaimable = if worker.backs_guarantees() {
            worker.all_accelerators() & !worker.bound & !worker.pinned
        } else {
            0
        };
        self.free.set(position, free);
        self.reclaimable.set(position, reclaimable);
    }

    /// Applies an event to a worker's state machine if it allows the event; returns whether it
    /// does.
    pub(crate) fn transition(&mut self, position: u32, event: WorkerEvent) -> bool {
        let Some(worker) = self.at(position) else { return false };
        let Ok(next) = WORKER.step(worker.state, event) else { return false };
        self.update(position, |worker| worker.state = next);
        true
    }

    /// Allocates resources of a worker to a job.
    ///
    /// # Panics
    ///
    /// Panics if one of the accelerators is already allocated.
    pub(crate) fn allocate(&mut self, slot: &Slot, allocation: Allocation) {
        self.update(slot.position, |worker| {
            assert!(worker.allocated & slot.mask == 0, "{} is allocated twice", worker.info.id);
            worker.allocated |= slot.mask;
            worker.millicores = worker.millicores.saturating_sub(allocation.resources.millicores);
            worker.memory = worker.memory.saturating_sub(allocation.resources.memory);
            if allocation.rank == Rank::Pinned {
                worker.pinned |= slot.mask;
            }
            worker.allocations.push(allocation);
        });
    }

    /// Whether none of a slot's accelerators is allocated.
    pub(crate) fn is_vacant(&self, slot: &Slot) -> bool {
        self.at(slot.position).is_some_and(|worker| worker.allocated & slot.mask == 0)
    }

    /// Releases the resources that a job has on a worker.
    pub(crate) fn release(&mut self, position: u32, job: JobId) {
        self.update(position, |worker| {
            let Some(index) = worker.allocations.iter().position(|h| h.job == job) else { return };
            let allocation = worker.allocations.remove(index);
            worker.allocated &= !allocation.mask;
            if allocation.rank == Rank::Pinned {
                worker.pinned &= !allocation.mask;
            }
            worker.millicores += allocation.resources.millicores;
            worker.memory += allocation.resources.memory;
        });
    }

    /// Records that a job wrote a checkpoint at `at`.
    pub(crate) fn note_checkpoint(&mut self, position: u32, job: JobId, at: Time) {
        let worker = self.workers.get_mut(position as usize).and_then(Option::as_mut);
        let allocations = worker.into_iter().flat_map(|worker| worker.allocations.iter_mut());
        for allocation in allocations.filter(|allocation| allocation.job == job) {
            allocation.unsaved_since = allocation.unsaved_since.max(at);
        }
    }

    /// Replaces the list of workers.
    ///
    /// Workers keep their positions unless the list has a new or changed worker; then all positions
    /// are assigned again, and all allocations must be made again.
    pub(crate) fn set_workers(&mut self, now: Time, list: &[WorkerInfo]) -> WorkerListChange {
        let known = list
            .iter()
            .all(|info| self.find(&info.id).is_some_and(|w| same_hardware(&w.info, info)));
        let mut changes = WorkerListChange { gone: Vec::new(), moved: !known };
        if !known {
            self.rebuild(now, list, &mut changes.gone);
            return changes;
        }
        let names: BTreeSet<&WorkerId> = list.iter().map(|info| &info.id).collect();
        let missing: Vec<u32> = self
            .iter()
            .filter(|entry| !names.contains(&entry.worker.info.id))
            .filter(|entry| entry.worker.state != WorkerState::Gone)
            .map(|entry| entry.position)
            .collect();
        for position in missing {
            self.transition(position, WorkerEvent::Removed);
            changes.gone.extend(self.at(position).map(|worker| worker.info.id.clone()));
        }
        for info in list {
            self.apply_leaving(info);
        }
        changes
    }

    fn apply_leaving(&mut self, info: &WorkerInfo) {
        let Some(position) = self.position(&info.id) else { return };
        let state = self.at(position).map(|worker| worker.state);
        let leaving = matches!(state, Some(WorkerState::Leaving | WorkerState::Gone));
        match info.leaving {
            true if state == Some(WorkerState::Gone) => {}
            true => drop(self.transition(position, WorkerEvent::Left)),
            false if leaving => drop(self.transition(position, WorkerEvent::Returned)),
            false => {}
        }
    }

    fn rebuild(&mut self, now: Time, list: &[WorkerInfo], gone: &mut Vec<WorkerId>) {
        let old = std::mem::take(&mut self.workers).into_iter().flatten();
        let mut old: BTreeMap<WorkerId, Worker> =
            old.map(|worker| (worker.info.id.clone(), worker)).collect();
        self.layout = Layout::new(list);
        let sizes = list.iter().map(|info| Resources {
            accelerators: info.accelerators,
            millicores: info.millicores,
            memory: info.memory_mib,
        });
        let by_size = |r: &Resources| (r.accelerators, r.millicores, r.memory);
        self.largest = sizes.max_by_key(by_size).unwrap_or_default();
        self.free = BuddyTree::new(self.layout.width, self.layout.height);
        self.reclaimable = BuddyTree::new(self.layout.width, self.layout.height);
        self.cores.clear();
        self.workers = vec![None; 1 << self.layout.height];
        for info in list {
            let Some(position) = self.position(&info.id) else { continue };
            let mut worker = Worker::new(info.clone(), now);
            if let Some(before) = old.remove(&info.id) {
                worker.state = before.state;
                worker.health = before.health;
                worker.next_renewal = before.next_renewal;
                worker.answered_at = before.answered_at;
                worker.avoid_until = before.avoid_until;
            }
            self.workers[position as usize] = Some(worker);
            self.update(position, |_| {});
            self.apply_leaving(info);
        }
        gone.extend(old.into_keys());
    }
}

/// A worker and its position.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PositionedWorker<'a> {
    /// Position of the worker.
    pub(crate) position: u32,
    /// The worker.
    pub(crate) worker: &'a Worker,
}

/// Changes made by a new list of workers.
#[derive(Clone, Debug)]
pub(crate) struct WorkerListChange {
    /// Workers that are no longer listed.
    pub(crate) gone: Vec<WorkerId>,
    /// Whether positions were assigned again, so that all allocations must be made again.
    pub(crate) moved: bool,
}

fn same_hardware(old: &WorkerInfo, new: &WorkerInfo) -> bool {
    WorkerInfo { leaving: new.leaving, ..old.clone() } == *new
}
