//! Life cycles of requests and backend servers, read from the charts.

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
    /// It waits for a slot.
    Queued,
    /// At least one attempt is in progress.
    Running,
    /// It waits before a retry.
    Paused,
    /// The whole answer is known.
    Answered,
    /// It did not run and never will.
    Refused,
    /// It may have run.
    Lost,
    /// The heir of this home may dispatch it.
    Moved,
}

/// What can happen to a request.
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

/// Condition of a backend server.
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
    /// New or back again; its slots open up one by one.
    Warming,
    /// It takes work.
    Up,
    /// It failed several times in a row.
    Ejected,
    /// A connection is being made to see whether it is back.
    Probing,
    /// It seems to be leaving, though the list of VMs does not say so yet.
    Suspect,
    /// It is leaving.
    Leaving,
}

impl BackendState {
    /// Whether it takes requests.
    pub fn is_open(self) -> bool {
        matches!(self, BackendState::Warming | BackendState::Up)
    }
}

/// What can happen to a backend server.
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

/// Both charts, bound.
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
