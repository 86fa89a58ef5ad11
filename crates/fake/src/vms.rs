//! Simulated platform endpoint that lists the VMs.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::HeaderValue;
use hyper::http::header::ETAG;
use hyper::http::header::IF_NONE_MATCH;
use tokio::time::Instant;

use crate::http::Address;
use crate::http::Body;
use crate::http::CloseConnection;
use crate::http::Handler;
use crate::http::Server;
use crate::http::json;
use crate::http::status;
use wire::border::Vm;
use wire::border::VmList;
use wire::border::VmRole;
use wire::border::VmState;

/// Location of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Name of the availability zone.
    pub zone: String,
    /// Name of the region.
    pub region: String,
}

impl Default for Place {
    fn default() -> Place {
        Place::new("z1", "r1")
    }
}

impl Place {
    /// Creates a location from the names of its zone and region.
    pub fn new(zone: &str, region: &str) -> Place {
        Place { zone: zone.to_owned(), region: region.to_owned() }
    }

    /// Returns a list entry for a VM at this location; pool, rack and capacity are left empty.
    pub fn vm(&self, name: &str, role: VmRole, state: VmState, address: Address) -> Vm {
        Vm {
            name: name.to_owned(),
            role,
            state,
            zone: self.zone.clone(),
            region: self.region.clone(),
            address: address.to_string(),
            path: String::new(),
            pool: String::new(),
            slots: 0,
            connections: 0,
            rack: String::new(),
            position: 0,
            accelerators: 0,
            millicores: 0,
            memory_mib: 0,
        }
    }
}

/// The VM list as of one change.
#[derive(Debug)]
struct Snapshot {
    valid_from: Instant,
    vms: Vec<Vm>,
}

#[derive(Debug)]
struct State {
    snapshots: VecDeque<Snapshot>,
    lag: Duration,
    calls: u64,
}

impl State {
    fn latest(&self) -> &[Vm] {
        self.snapshots.back().map_or(&[], |snapshot| &snapshot.vms)
    }

    /// Returns the list as of `lag` ago, and its entity tag.
    fn lagged(&self, now: Instant) -> (HeaderValue, &[Vm]) {
        let index =
            self.snapshots.iter().rposition(|snapshot| snapshot.valid_from + self.lag <= now);
        let index = index.unwrap_or(0);
        let vms = self.snapshots.get(index).map_or(&[][..], |snapshot| &snapshot.vms);
        (HeaderValue::from(index), vms)
    }
}

/// Server of the VM list.
#[derive(Debug)]
pub struct VmServer {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl VmServer {
    /// Starts a server with an initial list.
    ///
    /// # Errors
    /// No loopback port is free.
    pub fn start(vms: Vec<Vm>) -> io::Result<VmServer> {
        let snapshots = VecDeque::from([Snapshot { valid_from: Instant::now(), vms }]);
        let state = Arc::new(Mutex::new(State { snapshots, lag: Duration::ZERO, calls: 0 }));
        let server = Server::start(VmHandler { state: state.clone() }, None)?;
        Ok(VmServer { state, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Returns the address of the server as a URL.
    pub fn url(&self) -> String {
        self.address().url()
    }

    /// Edits the list.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut state = lock(&self.state);
        let mut vms = state.latest().to_vec();
        change(&mut vms);
        state.snapshots.push_back(Snapshot { valid_from: Instant::now(), vms });
    }

    /// Sets the state of the VMs with this name.
    pub fn set_state(&self, name: &str, to: VmState) {
        self.update(|vms| {
            vms.iter_mut().filter(|vm| vm.name == name).for_each(|vm| vm.state = to);
        });
    }

    /// Removes a VM from the list.
    pub fn remove(&self, name: &str) {
        self.update(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Sets the time after which changes become visible to callers.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Accepts connections, or refuses them and closes those that are open.
    pub fn set_accepting(&self, accepting: bool) {
        self.server.set_accepting(accepting);
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

#[derive(Clone)]
struct VmHandler {
    state: Arc<Mutex<State>>,
}

impl Handler for VmHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
        if request.method() != Method::GET || request.uri().path() != "/v1/vms" {
            return Ok(status(StatusCode::NOT_FOUND));
        }
        let mut state = lock(&self.state);
        state.calls += 1;
        let (tag, vms) = state.lagged(Instant::now());
        if request.headers().get(IF_NONE_MATCH) == Some(&tag) {
            return Ok(status(StatusCode::NOT_MODIFIED));
        }
        let vms = vms.to_vec();
        let as_of = SystemTime::now().checked_sub(state.lag).unwrap_or(UNIX_EPOCH);
        let since_epoch = as_of.duration_since(UNIX_EPOCH).unwrap_or_default();
        let as_of_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let mut response = json(StatusCode::OK, &VmList { vms, as_of_ms });
        response.headers_mut().insert(ETAG, tag);
        Ok(response)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
