//! Errors in the text of a chart, its transitions or its names.

use thiserror::Error;

/// Reason that a chart is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is not valid JSON with comments, or does not have the fields of a chart.
    #[error("chart does not parse: {reason}")]
    Syntax {
        /// Message of the parser.
        reason: String,
    },
    /// A transition or the initial state names a state that is not defined.
    #[error("chart {chart}: state {state:?} does not exist")]
    NoSuchState {
        /// Name of the chart.
        chart: String,
        /// The undefined state.
        state: String,
    },
    /// No sequence of events leads from the initial state to this state.
    #[error("chart {chart}: state {state:?} cannot be reached")]
    Unreachable {
        /// Name of the chart.
        chart: String,
        /// The unreachable state.
        state: String,
    },
    /// A state that is not final has no transition to another state.
    #[error("chart {chart}: state {state:?} is not final and has no transition to another state")]
    NoExit {
        /// Name of the chart.
        chart: String,
        /// The state without an exit.
        state: String,
    },
    /// The names in the chart and the variants of its state or event enum differ.
    #[error("chart {chart}: {name:?} is only in the {place}")]
    Mismatch {
        /// Name of the chart.
        chart: String,
        /// The state or event that only one of them has.
        name: String,
        /// The one that has it: "chart" or "enum".
        place: &'static str,
    },
}
