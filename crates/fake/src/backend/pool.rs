//! Pools of simulated backend servers.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Semaphore;

use crate::backend::faults::BackendFaults;
use crate::backend::record::BackendCounts;
use crate::backend::record::Record;
use crate::backend::server;
use crate::backend::server::Shared;
use crate::backend::timing::ServiceTime;
use crate::http::Address;
use crate::http::Server;
use crate::vms::Place;
use model::RequestId;
use wire::border::Vm;
use wire::border::VmRole;
use wire::border::VmState;

/// Settings of a backend pool.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendOptions {
    /// Name of the pool.
    pub pool: String,
    /// Number of backend servers.
    pub count: usize,
    /// Locations, assigned to the servers round-robin; at least one.
    pub places: Vec<Place>,
    /// Requests that each server executes concurrently.
    pub slots: u32,
    /// Concurrent connections that each server accepts.
    pub connections: u32,
    /// Distribution of service times.
    pub service_time: ServiceTime,
    /// Seed for service times and faults.
    pub seed: u64,
}

impl BackendOptions {
    /// Returns settings with 8 slots and 64 connections per server and a service time of zero.
    pub fn new(pool: &str, count: usize) -> BackendOptions {
        BackendOptions {
            pool: pool.to_owned(),
            count,
            places: vec![Place::default()],
            slots: 8,
            connections: 64,
            service_time: ServiceTime::constant(Duration::ZERO),
            seed: 1,
        }
    }
}

/// A simulated backend server.
#[derive(Debug)]
pub struct Backend {
    name: String,
    place: Place,
    shared: Arc<Shared>,
    server: Server,
}

impl Backend {
    /// Returns the name of the server.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address of the server.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut BackendFaults)) {
        let mut faults = self.shared.faults();
        change(&mut faults);
        self.server.set_accepting(!faults.refuse);
    }

    /// Changes the distribution of service times.
    pub fn set_service_time(&self, time: ServiceTime) {
        *self.shared.time() = time;
    }

    /// Sets whether the server is leaving, that is, refuses requests and reports not ready.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.record().set_leaving(leaving);
    }

    /// Stalls all open connections permanently without closing them. New connections work.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Closes all open connections.
    pub fn drop_connections(&self) {
        self.server.drop_connections();
    }

    /// Returns the request counters.
    pub fn counts(&self) -> BackendCounts {
        self.shared.record().counts
    }

    /// Returns the time between leaving and the latest request after it; `None` without such a
    /// request.
    pub fn last_arrival(&self) -> Option<Duration> {
        self.shared.record().last_arrival
    }
}

/// The simulated backend servers of one pool.
#[derive(Debug)]
pub struct BackendPool {
    options: BackendOptions,
    backends: Vec<Backend>,
}

impl BackendPool {
    /// Starts all servers of the pool.
    ///
    /// # Errors
    /// No loopback port is free.
    pub fn start(options: BackendOptions) -> io::Result<BackendPool> {
        let backends = (0..options.count).map(|index| start(&options, index));
        Ok(BackendPool { backends: backends.collect::<io::Result<_>>()?, options })
    }

    /// Returns the servers.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Returns the servers as entries of the platform's VM list.
    pub fn vms(&self) -> Vec<Vm> {
        self.backends.iter().map(|backend| self.vm(backend)).collect()
    }

    /// Counts how often execution of a request started, over all servers.
    pub fn executions(&self, id: RequestId) -> u32 {
        let runs = |backend: &Backend| backend.shared.record().runs.get(&id).copied().unwrap_or(0);
        self.backends.iter().map(runs).sum()
    }

    /// Returns the requests whose execution started more than once, over all servers, sorted by id.
    pub fn duplicated_requests(&self) -> Vec<RequestId> {
        let mut ids = Vec::new();
        for backend in &self.backends {
            for (&id, &runs) in &backend.shared.record().runs {
                ids.extend(std::iter::repeat_n(id, runs as usize));
            }
        }
        ids.sort_unstable();
        let mut doubled: Vec<_> =
            ids.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| pair[0]).collect();
        doubled.dedup();
        doubled
    }

    /// Returns the sums of the servers' counters; `peak` is the maximum over the servers.
    pub fn counts(&self) -> BackendCounts {
        let add = |sum: BackendCounts, counts: BackendCounts| BackendCounts {
            arrived: sum.arrived + counts.arrived,
            refused: sum.refused + counts.refused,
            started: sum.started + counts.started,
            finished: sum.finished + counts.finished,
            waited: sum.waited + counts.waited,
            peak: sum.peak.max(counts.peak),
        };
        self.backends.iter().map(Backend::counts).fold(BackendCounts::default(), add)
    }

    fn vm(&self, backend: &Backend) -> Vm {
        Vm {
            pool: self.options.pool.clone(),
            slots: self.options.slots,
            connections: self.options.connections,
            ..backend.place.vm(&backend.name, VmRole::Backend, VmState::Live, backend.address())
        }
    }
}

fn start(options: &BackendOptions, index: usize) -> io::Result<Backend> {
    let shared = Arc::new(Shared {
        record: Mutex::new(Record::default()),
        faults: Mutex::new(BackendFaults::default()),
        time: Mutex::new(options.service_time),
        slots: Semaphore::new(options.slots as usize),
        seed: options.seed ^ index as u64,
    });
    let limit = Some(options.connections as usize);
    let server = Server::start(server::Server { shared: shared.clone() }, limit)?;
    let place = options.places[index % options.places.len()].clone();
    Ok(Backend { name: format!("{}-{index:02}", options.pool), place, shared, server })
}
