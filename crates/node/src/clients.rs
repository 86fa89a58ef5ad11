//! Limits on clients: from the settings and the operators' configuration into force, and from there
//! into the metrics.

use std::rc::Rc;

use log::info;
use log::warn;
use tokio::time::timeout;

use crate::error::Error;
use crate::state::State;
use intake::Limits;
use intake::Vm;
use platform::configuration::ClientLimits;
use text::HostSettings;

/// The requests may hold at most this part of the VM's memory; the jobs need the rest.
const MAX_MEMORY_PART: usize = 2;

/// Checks the limits on clients.
///
/// # Errors
///
/// The limits contradict the memory of the VM or each other.
pub fn check(settings: &HostSettings) -> Result<(), Error> {
    limits(settings).map(drop)
}

/// Returns the limits of the settings.
///
/// # Errors
///
/// The limits contradict the memory of the VM or each other.
pub(crate) fn limits(settings: &HostSettings) -> Result<Limits, Error> {
    let vm = Vm { memory_mb: settings.memory_mb, descriptors: settings.descriptors };
    let mut limits = Limits::new(vm);
    limits.body_bytes = settings.body.0 as usize;
    limits.body_time = settings.intake.body;
    if let Some(held) = settings.intake.held {
        limits.held_bytes = held.0 as usize;
    }
    if let Some(connections) = settings.intake.connections {
        limits.connections = connections as usize;
    }
    let most = vm.max_connections();
    if limits.connections > most {
        warn!(stated = limits.connections, used = most;
            "intake: too many connections for the descriptors; using fewer");
        limits.connections = most;
    }
    if limits.connections == 0 || limits.whole_body_time().is_zero() {
        let text = "intake.connections and intake.body must be more than zero; state larger ones";
        return Err(Error::Intake(text.to_owned()));
    }
    let memory = vm.memory_mb.map_or(usize::MAX, |memory| (memory as usize) << 20);
    if limits.held_bytes > memory / MAX_MEMORY_PART {
        return Err(Error::Intake(format!(
            "intake.held ({} bytes) is more than half of memory_mb; state a smaller size",
            limits.held_bytes
        )));
    }
    let largest = limits.largest_request();
    if limits.held_bytes < largest {
        return Err(Error::Intake(format!(
            "intake.held ({} bytes) is less than one request with a body of {} bytes holds; state \
             {largest} bytes or more",
            limits.held_bytes, limits.body_bytes
        )));
    }
    Ok(limits)
}

/// Puts the limits of a new configuration into force.
pub(crate) fn apply_limits(state: &State, stated: &ClientLimits) {
    state.client_limits.set(*stated);
    set_limits(state);
}

/// Puts the limits of changed settings into force.
///
/// # Errors
///
/// The limits contradict the memory of the VM or each other; the former ones stay in force.
pub(crate) fn reload(state: &State, settings: &HostSettings) -> Result<(), Error> {
    *state.base_limits.borrow_mut() = limits(settings)?;
    set_limits(state);
    Ok(())
}

/// Adds the operators' limits to those of the settings, and puts them into force.
fn set_limits(state: &State) {
    let mut limits = state.base_limits.borrow().clone();
    let stated = state.client_limits.get();
    limits.head_bytes = stated.head_bytes.unwrap_or(limits.head_bytes);
    limits.head_time = stated.head_time.unwrap_or(limits.head_time);
    limits.idle_time = stated.idle_time.unwrap_or(limits.idle_time);
    if let Some(active) = state.active_configuration() {
        limits.body_bytes = active.policy.body_bytes;
    }
    let largest = limits.largest_request();
    if limits.held_bytes < largest {
        // A request within the operators' limits is served, one at a time.
        warn!(held = limits.held_bytes, used = largest;
            "intake: one request within the configured limits needs more bytes; using that");
        limits.held_bytes = largest;
    }
    if limits == state.intake.limits() {
        return;
    }
    info!(held_bytes = limits.held_bytes, connections = limits.connections,
        head_bytes = limits.head_bytes, body_bytes = limits.body_bytes,
        head_ms = limits.head_time.as_millis() as u64,
        idle_ms = limits.idle_time.as_millis() as u64; "intake: limits in force");
    state.intake.set_limits(limits);
}

/// Closes overdue connections for as long as the process runs.
pub(crate) async fn sweep(state: Rc<State>) {
    loop {
        let pause = state.intake.sweep();
        publish(&state);
        // Whether deadlines have passed or the limits have changed, the next sweep is due.
        let _ = timeout(pause, state.intake.limits_changed()).await;
    }
}

/// Sets the metrics of the connections.
pub(crate) fn publish(state: &State) {
    let usage = state.intake.take_usage();
    state.metrics.set_gauge("held_bytes", usage.held_bytes as u64);
    state.metrics.set_gauge("connections", usage.connections as u64);
    for (reason, number) in usage.ended {
        state.metrics.count_closed(reason.into(), number);
    }
}
