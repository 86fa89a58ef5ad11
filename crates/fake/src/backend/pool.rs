//! Many backend servers at once.

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

/// Settings of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendOptions {
    /// Its name.
    pub pool: String,
    /// Backend servers.
    pub count: usize,
    /// Where they are, in turn.
    pub places: Vec<Place>,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Connections that each accepts.
    pub connections: u32,
    /// How long requests run.
    pub service_time: ServiceTime,
    /// Seed of run times and faults.
    pub seed: u64,
}

impl BackendOptions {
    /// Backend servers of 8 slots and 64 connections that answer at once.
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

/// One backend server.
#[derive(Debug)]
pub struct Backend {
    name: String,
    place: Place,
    shared: Arc<Shared>,
    server: Server,
}

impl Backend {
    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Changes its faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut BackendFaults)) {
        let mut faults = self.shared.faults();
        change(&mut faults);
        self.server.set_accepting(!faults.refuse);
    }

    /// Changes how long its requests run.
    pub fn set_service_time(&self, time: ServiceTime) {
        *self.shared.time() = time;
    }

    /// Refuses new work, or takes it again.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.record().leave(leaving);
    }

    /// Lets every open connection go silent for good. New ones work.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Ends every open connection.
    pub fn drop_connections(&self) {
        self.server.drop_connections();
    }

    /// What it did so far.
    pub fn counts(&self) -> BackendCounts {
        self.shared.record().counts
    }

    /// Time from its leaving to the last request after it, if there was one.
    pub fn last_arrival(&self) -> Option<Duration> {
        self.shared.record().last_arrival
    }
}

/// The backend servers of one pool.
#[derive(Debug)]
pub struct BackendPool {
    options: BackendOptions,
    backends: Vec<Backend>,
}

impl BackendPool {
    /// Starts all servers of a pool.
    ///
    /// # Errors
    /// No loopback port is free.
    pub fn start(options: BackendOptions) -> io::Result<BackendPool> {
        let backends = (0..options.count).map(|index| start(&options, index));
        Ok(BackendPool { backends: backends.collect::<io::Result<_>>()?, options })
    }

    /// The servers.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// The servers as the platform lists them.
    pub fn vms(&self) -> Vec<Vm> {
        self.backends.iter().map(|backend| self.vm(backend)).collect()
    }

    /// How often a request began to run, over all servers.
    pub fn executions(&self, id: RequestId) -> u32 {
        let runs = |backend: &Backend| backend.shared.record().runs.get(&id).copied().unwrap_or(0);
        self.backends.iter().map(runs).sum()
    }

    /// Requests that began to run more than once, over all servers.
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

    /// Sum of what all servers did so far; the peak is the highest of any.
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
