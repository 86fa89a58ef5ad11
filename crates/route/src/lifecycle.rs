//! State machines of requests and backend servers, loaded from the state charts in `charts/`.

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use chart::Machine;

const REQUEST_CHART: &str = include_str!("../charts/request.json");
const BACKEND_CHART: &str = include_str!("../charts/backend.json");

/// State of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RequestState {
    /// Waits in a queue for a slot.
    Queued,
    /// Has at least one attempt in progress.
    Running,
    /// Waits before a retry.
    Paused,
    /// Settled: a complete answer was received.
    Answered,
    /// Settled: did not run and never will.
    Refused,
    /// Settled: may have run.
    Lost,
    /// Handed over to the heir, which alone may dispatch it.
    Moved,
}

/// Events of the request state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RequestEvent {
    Dispatch,
    Fail,
    Answer,
    Retry,
    Requeue,
    Refuse,
    Lose,
    HandOver,
}

/// Health state of a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum BackendState {
    /// New or back again; its slots are opened gradually (slow start).
    Warming,
    /// Takes work.
    Up,
    /// Out of service after several failures in a row.
    Ejected,
    /// Out of service while a probe connection is being made.
    Probing,
    /// Rejects work and probably stops, though the list of VMs does not say so yet.
    Suspect,
    /// Stops, or is no longer listed.
    Leaving,
}

impl BackendState {
    /// Whether requests may be dispatched to it.
    pub fn is_open(self) -> bool {
        matches!(self, BackendState::Warming | BackendState::Up)
    }
}

/// Events of the backend server state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum BackendEvent {
    Warm,
    Eject,
    Suspect,
    Probe,
    Connect,
    Leave,
    Stay,
}

/// State machines built from both charts.
#[derive(Debug)]
pub(crate) struct Charts {
    pub(crate) request: Machine<RequestState, RequestEvent>,
    pub(crate) backend: Machine<BackendState, BackendEvent>,
}

impl Charts {
    pub(crate) fn load() -> Charts {
        Charts {
            request: Machine::embedded(REQUEST_CHART),
            backend: Machine::embedded(BACKEND_CHART),
        }
    }
}
