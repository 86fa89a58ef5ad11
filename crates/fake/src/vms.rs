//! The platform's list of VMs.

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
use crate::http::Handler;
use crate::http::Hangup;
use crate::http::Server;
use crate::http::json;
use crate::http::status;
use wire::border::Vm;
use wire::border::VmList;
use wire::border::VmRole;
use wire::border::VmState;

/// Where a VM is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

impl Default for Place {
    fn default() -> Place {
        Place::new("z1", "r1")
    }
}

impl Place {
    /// A place by its names.
    pub fn new(zone: &str, region: &str) -> Place {
        Place { zone: zone.to_owned(), region: region.to_owned() }
    }

    /// A VM here, as the platform lists it.
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

/// The list as it was from one moment on.
#[derive(Debug)]
struct Edition {
    from: Instant,
    vms: Vec<Vm>,
}

#[derive(Debug)]
struct State {
    editions: VecDeque<Edition>,
    lag: Duration,
    calls: u64,
}

impl State {
    fn latest(&self) -> &[Vm] {
        self.editions.back().map_or(&[], |edition| &edition.vms)
    }

    /// The list as it was before the lag, and its entity tag.
    fn shown(&self, now: Instant) -> (HeaderValue, &[Vm]) {
        let old = self.editions.iter().rposition(|edition| edition.from + self.lag <= now);
        let number = old.unwrap_or(0);
        let vms = self.editions.get(number).map_or(&[][..], |edition| &edition.vms);
        (HeaderValue::from(number), vms)
    }
}

/// Serves the list.
#[derive(Debug)]
pub struct VmServer {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl VmServer {
    /// Starts with a list.
    ///
    /// # Errors
    /// No loopback port is free.
    pub fn start(vms: Vec<Vm>) -> io::Result<VmServer> {
        let editions = VecDeque::from([Edition { from: Instant::now(), vms }]);
        let state = Arc::new(Mutex::new(State { editions, lag: Duration::ZERO, calls: 0 }));
        let server = Server::start(Lister { state: state.clone() }, None)?;
        Ok(VmServer { state, server })
    }

    /// Where it listens.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Its address as a URL.
    pub fn url(&self) -> String {
        self.address().url()
    }

    /// Changes the list.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut state = lock(&self.state);
        let mut vms = state.latest().to_vec();
        change(&mut vms);
        state.editions.push_back(Edition { from: Instant::now(), vms });
    }

    /// Changes the state of one VM.
    pub fn set_state(&self, name: &str, to: VmState) {
        self.update(|vms| {
            vms.iter_mut().filter(|vm| vm.name == name).for_each(|vm| vm.state = to);
        });
    }

    /// Takes a VM off the list.
    pub fn remove(&self, name: &str) {
        self.update(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Lets changes show only after a time.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Refuses connections, or accepts them again.
    pub fn set_accepting(&self, up: bool) {
        self.server.set_accepting(up);
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

#[derive(Clone)]
struct Lister {
    state: Arc<Mutex<State>>,
}

impl Handler for Lister {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        if request.method() != Method::GET || request.uri().path() != "/v1/vms" {
            return Ok(status(StatusCode::NOT_FOUND));
        }
        let mut state = lock(&self.state);
        state.calls += 1;
        let (tag, vms) = state.shown(Instant::now());
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
