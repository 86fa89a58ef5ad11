//! Workers by position, what they hold, and what is available.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::WorkerEvent;
use crate::WorkerInfo;
use crate::WorkerState;
use crate::health::Health;
use crate::place::layout::Layout;
use crate::place::need::Resources;
use crate::place::need::Slot;
use crate::place::tree::Tree;
use crate::place::tree::low_bits;
use crate::preempt::Rank;
use crate::state::WORKER;
use model::JobId;
use model::Time;
use model::WorkerId;

/// A job's hold on accelerators of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    /// The job.
    pub(crate) job: JobId,
    /// Its accelerators here.
    pub(crate) mask: u64,
    /// What it takes here.
    pub(crate) takes: Resources,
    /// How it stands against preemption.
    pub(crate) rank: Rank,
    /// Since when its work would be lost.
    pub(crate) since: Time,
    /// Whether it writes a checkpoint before it leaves.
    pub(crate) saves: bool,
    /// Accelerators of the whole gang.
    pub(crate) size: u32,
    /// When it was placed.
    pub(crate) begun: Time,
    /// When it is expected to end.
    pub(crate) ends: Time,
}

/// A worker and what it holds.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// What the VM list says.
    pub(crate) info: WorkerInfo,
    /// State by the worker chart.
    pub(crate) state: WorkerState,
    /// Failures and probes.
    pub(crate) health: Health,
    /// Accelerators held.
    pub(crate) held: u64,
    /// Accelerators kept for a job that waits for them to be vacated.
    pub(crate) claimed: u64,
    /// Accelerators reserved for a blocked gang.
    pub(crate) kept: u64,
    /// Accelerators of a bound guarantee.
    pub(crate) bound: u64,
    /// Accelerators held by jobs that cannot be preempted.
    pub(crate) pinned: u64,
    /// Who holds accelerators, processors or memory.
    pub(crate) holders: Vec<Holder>,
    /// Processor cores not given out, in thousandths.
    pub(crate) millicores: u32,
    /// Memory not given out, in mebibytes.
    pub(crate) memory: u32,
    /// When its leases are next renewed.
    pub(crate) renew: Time,
    /// When it last answered.
    pub(crate) heard: Time,
    /// Until when it takes no new work.
    pub(crate) avoid: Time,
}

impl Worker {
    fn new(info: WorkerInfo, now: Time) -> Worker {
        Worker {
            state: WORKER.initial(),
            health: Health::default(),
            held: 0,
            claimed: 0,
            kept: 0,
            bound: 0,
            pinned: 0,
            holders: Vec::new(),
            millicores: info.millicores,
            memory: info.memory_mib,
            renew: Time::NEVER,
            heard: now,
            avoid: Time::ZERO,
            info,
        }
    }

    /// All its accelerators.
    pub(crate) fn all(&self) -> u64 {
        low_bits(self.info.accelerators)
    }

    /// Whether it takes new work.
    pub(crate) fn usable(&self) -> bool {
        match self.state {
            WorkerState::Ready => self.avoid == Time::ZERO,
            WorkerState::Probing => self.avoid == Time::ZERO && self.holders.is_empty(),
            _ => false,
        }
    }

    /// Whether its accelerators count towards guarantees.
    pub(crate) fn sound(&self) -> bool {
        matches!(self.state, WorkerState::Ready)
    }

    /// What is not given out.
    pub(crate) fn spare(&self, accelerators: u32) -> Resources {
        Resources { accelerators, millicores: self.millicores, memory: self.memory }
    }

    /// All that it has.
    pub(crate) fn whole(&self) -> Resources {
        Resources {
            accelerators: self.info.accelerators,
            millicores: self.info.millicores,
            memory: self.info.memory_mib,
        }
    }
}

/// Workers by position, what they hold, and what is available.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    /// Where each worker stands on the line.
    pub(crate) layout: Layout,
    /// Accelerators that no job holds and no claim keeps, on workers that take work.
    pub(crate) free: Tree,
    /// Accelerators that a guarantee can be bound to.
    pub(crate) room: Tree,
    /// Workers by processor cores not given out, for gangs without accelerators.
    pub(crate) cores: BTreeSet<Cores>,
    /// The largest worker, which decides what can ever fit.
    pub(crate) largest: Resources,
    workers: Vec<Option<Worker>>,
}

/// Order of workers by spare processor cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Cores {
    /// Thousandths of cores not given out.
    pub(crate) millicores: u32,
    /// The worker's position.
    pub(crate) position: u32,
}

impl Fleet {
    /// A fleet without workers.
    pub(crate) fn new() -> Fleet {
        Fleet {
            layout: Layout::default(),
            free: Tree::new(0, 0),
            room: Tree::new(0, 0),
            cores: BTreeSet::new(),
            largest: Resources::default(),
            workers: vec![None],
        }
    }

    /// Position of a worker.
    pub(crate) fn position(&self, id: &WorkerId) -> Option<u32> {
        self.layout.places.get(id).copied()
    }

    /// The worker at a position.
    pub(crate) fn at(&self, position: u32) -> Option<&Worker> {
        self.workers.get(position as usize)?.as_ref()
    }

    /// The worker with an id.
    pub(crate) fn find(&self, id: &WorkerId) -> Option<&Worker> {
        self.at(self.position(id)?)
    }

    /// Workers and their positions.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Seat<'_>> {
        let all = self.workers.iter().enumerate();
        all.filter_map(|(position, worker)| {
            Some(Seat { position: position as u32, worker: worker.as_ref()? })
        })
    }

    /// Number of workers in a full rack.
    pub(crate) fn rack_size(&self) -> u32 {
        1 << self.layout.depth
    }

    /// Changes a worker and brings what is available up to date.
    pub(crate) fn update(&mut self, position: u32, change: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.workers.get_mut(position as usize).and_then(Option::as_mut) else {
            return;
        };
        let old = Cores { millicores: worker.millicores, position };
        change(worker);
        self.cores.remove(&old);
        if worker.usable() {
            self.cores.insert(Cores { millicores: worker.millicores, position });
        }
        let taken = worker.held | worker.claimed | worker.kept;
        let free = if worker.usable() { worker.all() & !taken } else { 0 };
        let room = if worker.sound() { worker.all() & !worker.bound & !worker.pinned } else { 0 };
        self.free.set(position, free);
        self.room.set(position, room);
    }

    /// Moves a worker along its chart if the chart allows it; whether it moved.
    pub(crate) fn step(&mut self, position: u32, event: WorkerEvent) -> bool {
        let Some(worker) = self.at(position) else { return false };
        let Ok(next) = WORKER.step(worker.state, event) else { return false };
        self.update(position, |worker| worker.state = next);
        true
    }

    /// Gives accelerators to a job.
    ///
    /// # Panics
    ///
    /// Another job holds one of them.
    pub(crate) fn hold(&mut self, slot: &Slot, holder: Holder) {
        self.update(slot.position, |worker| {
            assert!(worker.held & slot.mask == 0, "{} is held twice", worker.info.id);
            worker.held |= slot.mask;
            worker.millicores = worker.millicores.saturating_sub(holder.takes.millicores);
            worker.memory = worker.memory.saturating_sub(holder.takes.memory);
            if holder.rank == Rank::Pinned {
                worker.pinned |= slot.mask;
            }
            worker.holders.push(holder);
        });
    }

    /// Whether no job holds a slot's accelerators.
    pub(crate) fn is_vacant(&self, slot: &Slot) -> bool {
        self.at(slot.position).is_some_and(|worker| worker.held & slot.mask == 0)
    }

    /// Takes accelerators back from a job.
    pub(crate) fn drop_hold(&mut self, position: u32, job: JobId) {
        self.update(position, |worker| {
            let Some(index) = worker.holders.iter().position(|h| h.job == job) else { return };
            let holder = worker.holders.remove(index);
            worker.held &= !holder.mask;
            if holder.rank == Rank::Pinned {
                worker.pinned &= !holder.mask;
            }
            worker.millicores += holder.takes.millicores;
            worker.memory += holder.takes.memory;
        });
    }

    /// Notes that a job has a fresh checkpoint.
    pub(crate) fn saved(&mut self, position: u32, job: JobId, at: Time) {
        let worker = self.workers.get_mut(position as usize).and_then(Option::as_mut);
        let holders = worker.into_iter().flat_map(|worker| worker.holders.iter_mut());
        for holder in holders.filter(|holder| holder.job == job) {
            holder.since = holder.since.max(at);
        }
    }

    /// Takes a new list of workers; the returned ids are those that are gone.
    ///
    /// Workers keep their positions unless one is new; then all are laid out again, and the holds
    /// have to be given again.
    pub(crate) fn list(&mut self, now: Time, list: &[WorkerInfo]) -> Listed {
        let known =
            list.iter().all(|info| self.find(&info.id).is_some_and(|w| same(&w.info, info)));
        let mut listed = Listed { gone: Vec::new(), moved: !known };
        if !known {
            self.rebuild(now, list, &mut listed.gone);
            return listed;
        }
        let names: BTreeSet<&WorkerId> = list.iter().map(|info| &info.id).collect();
        let missing: Vec<u32> = self
            .iter()
            .filter(|seat| !names.contains(&seat.worker.info.id))
            .filter(|seat| seat.worker.state != WorkerState::Gone)
            .map(|seat| seat.position)
            .collect();
        for position in missing {
            self.step(position, WorkerEvent::Removed);
            listed.gone.extend(self.at(position).map(|worker| worker.info.id.clone()));
        }
        for info in list {
            self.turn(info);
        }
        listed
    }

    fn turn(&mut self, info: &WorkerInfo) {
        let Some(position) = self.position(&info.id) else { return };
        let state = self.at(position).map(|worker| worker.state);
        let leaving = matches!(state, Some(WorkerState::Leaving | WorkerState::Gone));
        match info.leaving {
            true if state == Some(WorkerState::Gone) => {}
            true => drop(self.step(position, WorkerEvent::Left)),
            false if leaving => drop(self.step(position, WorkerEvent::Returned)),
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
        self.free = Tree::new(self.layout.width, self.layout.height);
        self.room = Tree::new(self.layout.width, self.layout.height);
        self.cores.clear();
        self.workers = vec![None; 1 << self.layout.height];
        for info in list {
            let Some(position) = self.position(&info.id) else { continue };
            let mut worker = Worker::new(info.clone(), now);
            if let Some(before) = old.remove(&info.id) {
                worker.state = before.state;
                worker.health = before.health;
                worker.renew = before.renew;
                worker.heard = before.heard;
                worker.avoid = before.avoid;
            }
            self.workers[position as usize] = Some(worker);
            self.update(position, |_| {});
            self.turn(info);
        }
        gone.extend(old.into_keys());
    }
}

/// A worker and its position.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seat<'a> {
    /// The position.
    pub(crate) position: u32,
    /// The worker.
    pub(crate) worker: &'a Worker,
}

/// What a new list of workers changed.
#[derive(Clone, Debug)]
pub(crate) struct Listed {
    /// Workers no longer named.
    pub(crate) gone: Vec<WorkerId>,
    /// Whether positions changed, so that all holds must be given again.
    pub(crate) moved: bool,
}

fn same(old: &WorkerInfo, new: &WorkerInfo) -> bool {
    WorkerInfo { leaving: new.leaving, ..old.clone() } == *new
}
