//! Runs an entry VM until it is told to stop.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::confirm;
use crate::error::Error;
use crate::metrics::Metrics;
use crate::owner;
use crate::peers;
use crate::state::State;
use crate::web;
use crate::web::Role;
use net::Caller;
use net::call::Limits;
use platform::store::Store;
use text::HostSettings;

/// Limit on connecting to the store and to workers.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Longest pause within an answer: a queue of half a second on a link counts as disrupted.
const STALL_LIMIT: Duration = Duration::from_millis(700);
/// Limit on a whole answer: a page of the store over a tenth of a link of 10 Mbit/s.
const ANSWER_LIMIT: Duration = Duration::from_millis(11_000);
/// Longest answer that is read: the store's values go up to a megabyte, its pages to one, and
/// both are a third longer in their encoding.
const ANSWER_LEN: usize = 4 << 20;
/// Time for the balancer to notice that this VM takes no new connections: two checks, one a second.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace time kept for the end itself.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Pause between looks at the requests in progress.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);

/// Runs an entry VM until a signal comes.
///
/// # Errors
///
/// It cannot start; see [`Error`].
pub fn run(settings: HostSettings) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)?;
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let peers = listen(settings.peers)?;
    LocalSet::new().block_on(&runtime, serve(settings, callers, readiness, peers))
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address);
    let listener = bound.and_then(|listener| listener.set_nonblocking(true).map(|()| listener));
    listener.map_err(|source| Error::Listen { address, source })
}

async fn serve(
    settings: HostSettings,
    callers: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Runtime)?;
    // Without a handler this signal ends a process. What it announces is read at the next start.
    let mut reload = signal(SignalKind::hangup()).map_err(Error::Runtime)?;
    let caller = Caller::new(Limits {
        connect_timeout: CONNECT_LIMIT,
        stall_timeout: STALL_LIMIT,
        answer_timeout: ANSWER_LIMIT,
        answer_len: ANSWER_LEN,
    });
    let metrics = Metrics::new()?;
    let store = Store::new(caller.clone(), settings.store, metrics.clone());
    let vm = settings.vm.to_string();
    info!(vm = vm.as_str(), callers = settings.callers.to_string().as_str(),
        store = settings.store.to_string().as_str(), version = env!("CARGO_PKG_VERSION"); "start");
    let state = State::new(settings, Clock::start(), store, caller.clone(), metrics);
    spawn_local(confirm::follow(Rc::clone(&state)));
    spawn_local(web::serve(Rc::clone(&state), callers, Role::Callers));
    spawn_local(web::serve(Rc::clone(&state), readiness, Role::Readiness));
    spawn_local(web::serve(Rc::clone(&state), peers, Role::Peers));
    spawn_local(peers::follow(Rc::clone(&state)));
    if let Some(address) = state.settings.metrics {
        spawn_local(web::serve(Rc::clone(&state), listen(address)?, Role::Metrics));
    }
    owner::start(&state, &caller);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => info!(vm = vm.as_str(); "reload: settings are read at the start"),
        }
    }
    drain(&state).await;
    info!(vm = vm.as_str(), open = state.open.get(); "stop");
    Ok(())
}

/// Lets the balancer notice, and requests in progress finish.
async fn drain(state: &State) {
    info!("stop: draining");
    state.draining.set(true);
    let started = state.clock.now();
    let limit = state.settings.grace.saturating_sub(GRACE_MARGIN);
    loop {
        let passed = state.clock.now().since(started);
        if passed >= limit || (passed >= NOTICE_TIME && state.open.get() == 0) {
            return;
        }
        sleep(DRAIN_PAUSE).await;
    }
}
