//! Many workers behind one listener.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::http::Address;
use crate::http::Server;
use crate::vms::Place;
use crate::worker::faults::WorkerFaults;
use crate::worker::history;
use crate::worker::history::Gang;
use crate::worker::history::Run;
use crate::worker::history::Violation;
use crate::worker::machine::Machine;
use crate::worker::server;
use crate::worker::server::Shared;
use crate::worker::server::lock;
use crate::worker::task::TaskTimes;
use model::Time;
use model::WorkerId;
use wire::border::Vm;
use wire::border::VmRole;
use wire::border::VmState;

/// Settings of a fleet of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerOptions {
    /// Workers.
    pub count: usize,
    /// Workers in a rack.
    pub rack: usize,
    /// Where the racks are, in turn.
    pub places: Vec<Place>,
    /// Accelerators of each worker.
    pub accelerators: u32,
    /// Processor cores of each worker, in thousandths.
    pub millicores: u32,
    /// Memory of each worker, in mebibytes.
    pub memory_mib: u32,
    /// How long tasks run.
    pub times: TaskTimes,
    /// Seed of run times and faults.
    pub seed: u64,
}

impl WorkerOptions {
    /// Workers of 8 accelerators, 32 cores and 128 GB, eight to a rack.
    pub fn new(count: usize) -> WorkerOptions {
        WorkerOptions {
            count,
            rack: 8,
            places: vec![Place::default()],
            accelerators: 8,
            millicores: 32_000,
            memory_mib: 128 << 10,
            times: TaskTimes::default(),
            seed: 1,
        }
    }
}

/// All workers, behind one listener.
#[derive(Debug)]
pub struct WorkerFleet {
    options: WorkerOptions,
    shared: Arc<Shared>,
    server: Server,
}

impl WorkerFleet {
    /// Starts the workers.
    ///
    /// # Errors
    /// No loopback port is free.
    pub fn start(options: WorkerOptions) -> io::Result<WorkerFleet> {
        let workers = (0..options.count).map(|index| worker(&options, index));
        let shared = Arc::new(Shared::new(workers.collect()));
        let server = Server::start(server::Server { shared: shared.clone() }, None)?;
        Ok(WorkerFleet { options, shared, server })
    }

    /// Where they listen.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Their names, by number.
    pub fn names(&self) -> Vec<String> {
        (0..self.options.count).map(name).collect()
    }

    /// The workers as the platform lists them.
    pub fn vms(&self) -> Vec<Vm> {
        (0..self.options.count).map(|index| self.vm(index)).collect()
    }

    /// Changes the faults of one worker. An unknown name changes nothing.
    pub fn set_faults(&self, worker: &str, change: impl FnOnce(&mut WorkerFaults)) {
        if let Some(machine) = self.shared.workers.get(worker) {
            change(&mut lock(machine).faults);
        }
    }

    /// Lets a worker die with all that runs on it.
    pub fn kill(&self, worker: &str) {
        if let Some(machine) = self.shared.workers.get(worker) {
            lock(machine).die(self.shared.now());
        }
    }

    /// Brings a dead worker back, empty.
    pub fn restart(&self, worker: &str) {
        if let Some(machine) = self.shared.workers.get(worker) {
            lock(machine).restart();
        }
    }

    /// Lets every open connection go silent for good. New ones work.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Ends every open connection.
    pub fn drop_connections(&self) {
        self.server.drop_connections();
    }

    /// Refuses connections, or accepts them again.
    pub fn set_accepting(&self, up: bool) {
        self.server.set_accepting(up);
    }

    /// Time on the clock of the records.
    pub fn now(&self) -> Time {
        self.shared.now()
    }

    /// Every task that ran or runs.
    pub fn runs(&self) -> Vec<Run> {
        let now = self.shared.now();
        self.shared.workers.values().flat_map(|machine| lock(machine).runs(now)).collect()
    }

    /// Accelerators under leases, over all workers.
    pub fn leased_accelerators(&self) -> usize {
        let now = self.shared.now();
        let leased = |machine: &Mutex<Machine>| {
            let mut machine = lock(machine);
            machine.advance(now);
            machine.leased_accelerators()
        };
        self.shared.workers.values().map(leased).sum()
    }

    /// Promises that the runs so far break. `bound` is how long a part of a gang, or two attempts
    /// of a job, may run at the same time: the lease time and what the test allows on top.
    pub fn violations(&self, gangs: &[Gang], bound: Duration) -> Vec<Violation> {
        let mut runs: BTreeMap<_, Vec<Run>> = BTreeMap::new();
        for run in self.runs() {
            runs.entry(run.job).or_default().push(run);
        }
        let now = self.shared.now();
        let check = |gang: &Gang| {
            let runs = runs.get(&gang.job).map_or(&[][..], Vec::as_slice);
            history::check(gang, runs, now, bound)
        };
        gangs.iter().flat_map(check).collect()
    }

    fn vm(&self, index: usize) -> Vm {
        let options = &self.options;
        let rack = index / options.rack;
        let place = &options.places[rack % options.places.len()];
        let name = name(index);
        Vm {
            path: format!("/w/{name}"),
            rack: format!("rack-{rack:03}"),
            position: u32::try_from(index % options.rack).unwrap_or(u32::MAX),
            accelerators: options.accelerators,
            millicores: options.millicores,
            memory_mib: options.memory_mib,
            ..place.vm(&name, VmRole::Worker, VmState::Live, self.address())
        }
    }
}

fn name(index: usize) -> String {
    format!("worker-{index:04}")
}

fn worker(options: &WorkerOptions, index: usize) -> (String, Mutex<Machine>) {
    let name = name(index);
    let id = WorkerId::new(&name);
    let own_seed = options.seed ^ index as u64;
    let WorkerOptions { accelerators, memory_mib, times, seed, .. } = *options;
    let machine = Machine::new(id, accelerators, memory_mib, times, seed, own_seed);
    (name, Mutex::new(machine))
}
