//! Start, operation and shutdown of an entry VM process.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clients;
use crate::clock::Clock;
use crate::confirm;
use crate::error::Error;
use crate::metrics::Metrics;
use crate::owner;
use crate::peers;
use crate::state::State;
use crate::web;
use intake::Intake;
use intake::Port;
use net::Caller;
use net::call::Limits;
use platform::store::Store;
use text::HostSettings;

/// Timeout of connecting to the store, workers and peers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum pause within an answer. A queuing delay of 500 ms counts as a link disruption.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a whole answer: a page of the store over a tenth of a link of 10 Mbit/s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(11_000);
/// Maximum size of an answer, in bytes. Values and pages of the store have up to 1 MB, and Base64
/// adds a third.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Time for the load balancer to notice that this VM takes no new connections: two health checks at
/// one per second.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace period reserved for the shutdown itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// Pause between checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry VM until SIGTERM or SIGINT, and then drains it. `reload` reads the settings again
/// at SIGHUP; its error is the reason for which it cannot.
///
/// # Errors
///
/// The process cannot start; see [`Error`].
pub fn run(
    settings: HostSettings,
    reload: impl Fn() -> Result<HostSettings, String>,
) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(Error::Runtime)?;
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let peers = listen(settings.peers)?;
    let intake = Intake::new(clients::limits(&settings)?);
    let listeners = [callers, readiness, peers];
    LocalSet::new().block_on(&runtime, serve(settings, listeners, intake, reload))
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address);
    let listener = bound.and_then(|listener| listener.set_nonblocking(true).map(|()| listener));
    listener.map_err(|source| Error::Listen { address, source })
}

async fn serve(
    settings: HostSettings,
    [callers, readiness, peers]: [TcpListener; 3],
    intake: Intake,
    reload: impl Fn() -> Result<HostSettings, String>,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Runtime)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Runtime)?;
    let caller = Caller::new(Limits {
        connect_timeout: CONNECT_TIMEOUT,
        stall_timeout: STALL_TIMEOUT,
        answer_timeout: ANSWER_TIMEOUT,
        answer_len: MAX_ANSWER_BYTES,
    });
    let metrics = Metrics::new()?;
    let store = Store::new(caller.clone(), settings.store, metrics.clone());
    let vm = settings.vm.to_string();
    info!(vm = vm.as_str(), callers = settings.callers.to_string().as_str(),
        store = settings.store.to_string().as_str(), version = env!("CARGO_PKG_VERSION"); "start");
    let state = State::new(settings, Clock::start(), store, caller.clone(), metrics, intake);
    spawn_local(clients::sweep(Rc::clone(&state)));
    spawn_local(confirm::follow(Rc::clone(&state)));
    spawn_local(web::serve(Rc::clone(&state), callers, Port::Callers));
    spawn_local(web::serve(Rc::clone(&state), readiness, Port::Readiness));
    spawn_local(web::serve(Rc::clone(&state), peers, Port::Peers));
    spawn_local(peers::follow(Rc::clone(&state)));
    if let Some(address) = state.settings.metrics {
        spawn_local(web::serve(Rc::clone(&state), listen(address)?, Port::Metrics));
    }
    owner::start(&state, &caller);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => apply_settings(&state, reload()),
        }
    }
    drain(&state).await;
    info!(vm = vm.as_str(), open = state.open_requests.get(); "stop");
    Ok(())
}

/// Applies the limits on clients of settings that were read again, and logs whether others differ.
fn apply_settings(state: &State, settings: Result<HostSettings, String>) {
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            warn!(error = error.as_str(); "reload: cannot read the settings; they stay in force");
            return;
        }
    };
    if let Err(error) = clients::reload(state, &settings) {
        warn!(error = error.to_string().as_str(); "reload: the limits on clients stay in force");
        return;
    }
    let (body, intake) = (state.settings.body, state.settings.intake.clone());
    let (memory_mb, descriptors) = (state.settings.memory_mb, state.settings.descriptors);
    let others = HostSettings { body, intake, memory_mb, descriptors, ..settings };
    if others == state.settings {
        info!("reload: limits on clients are in force");
    } else {
        warn!("reload: limits on clients are in force; other changed settings need a new start");
    }
}

/// Reports not ready until the load balancer has noticed and requests in progress have finished, at
/// most for the grace period.
async fn drain(state: &State) {
    info!("stop: draining");
    state.draining.set(true);
    let started = state.clock.now();
    let limit = state.settings.grace.saturating_sub(SHUTDOWN_MARGIN);
    loop {
        let elapsed = state.clock.now().since(started);
        if elapsed >= limit || (elapsed >= BALANCER_NOTICE_TIME && state.open_requests.get() == 0) {
            return;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}
