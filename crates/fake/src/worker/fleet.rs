//! A fleet of simulated workers behind one HTTP listener.

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

/// Settings of a worker fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerOptions {
    /// Number of workers.
    pub count: usize,
    /// Workers per rack.
    pub rack: usize,
    /// Locations, assigned to the racks round-robin; at least one.
    pub places: Vec<Place>,
    /// Accelerators per worker.
    pub accelerators: u32,
    /// CPU capacity per worker, in thousandths of a core.
    pub millicores: u32,
    /// Memory per worker, in MiB.
    pub memory_mib: u32,
    /// Model of task run times.
    pub times: TaskTimes,
    /// Seed for run times and faults.
    pub seed: u64,
}

impl WorkerOptions {
    /// Returns settings with 8 accelerators, 32 cores and 128 GiB per worker, and eight workers per
    /// rack.
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

/// Simulated workers that share one listener, each under its own path.
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
        let workers = (0..options.count).map(|index| new_worker(&options, index));
        let shared = Arc::new(Shared::new(workers.collect()));
        let server = Server::start(server::Server { shared: shared.clone() }, None)?;
        Ok(WorkerFleet { options, shared, server })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Returns the names of the workers, in the order of their numbers.
    pub fn names(&self) -> Vec<String> {
        (0..self.options.count).map(worker_name).collect()
    }

    /// Returns the workers as entries of the platform's VM list.
    pub fn vms(&self) -> Vec<Vm> {
        (0..self.options.count).map(|index| self.vm(index)).collect()
    }

    /// Changes the faults of one worker. Does nothing if the name is unknown.
    pub fn set_faults(&self, worker: &str, change: impl FnOnce(&mut WorkerFaults)) {
        if let Some(machine) = self.shared.workers.get(worker) {
            change(&mut lock(machine).faults);
        }
    }

    /// Kills a worker and all tasks that run on it.
    pub fn kill(&self, worker: &str) {
        if let Some(machine) = self.shared.workers.get(worker) {
            lock(machine).die(self.shared.now());
        }
    }

    /// Restarts a killed worker without leases or tasks.
    pub fn restart(&self, worker: &str) {
        if let Some(machine) = self.shared.workers.get(worker) {
            lock(machine).restart();
        }
    }

    /// Stalls all open connections permanently without closing them. New connections work.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Closes all open connections.
    pub fn drop_connections(&self) {
        self.server.drop_connections();
    }

    /// Accepts connections, or refuses them and closes those that are open.
    pub fn set_accepting(&self, accepting: bool) {
        self.server.set_accepting(accepting);
    }

    /// Returns the time on the clock that timestamps the runs.
    pub fn now(&self) -> Time {
        self.shared.now()
    }

    /// Returns all task runs, finished and running.
    pub fn runs(&self) -> Vec<Run> {
        let now = self.shared.now();
        self.shared.workers.values().flat_map(|machine| lock(machine).runs(now)).collect()
    }

    /// Returns the number of leased accelerators, over all workers.
    pub fn leased_accelerators(&self) -> usize {
        let now = self.shared.now();
        let leased = |machine: &Mutex<Machine>| {
            let mut machine = lock(machine);
            machine.advance(now);
            machine.leased_accelerators()
        };
        self.shared.workers.values().map(leased).sum()
    }

    /// Checks the runs so far against the guarantees for these gangs.
    ///
    /// `bound` is how long an incomplete gang may run, or two attempts of a job may overlap: the
    /// lease time plus the tolerance of the test.
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
        let name = worker_name(index);
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

fn worker_name(index: usize) -> String {
    format!("worker-{index:04}")
}

fn new_worker(options: &WorkerOptions, index: usize) -> (String, Mutex<Machine>) {
    let name = worker_name(index);
    let id = WorkerId::new(&name);
    let worker_seed = options.seed ^ index as u64;
    let WorkerOptions { accelerators, memory_mib, times, seed, .. } = *options;
    let machine = Machine::new(id, accelerators, memory_mib, times, seed, worker_seed);
    (name, Mutex::new(machine))
}
