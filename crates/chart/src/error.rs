//! Why a chart cannot be used.

use thiserror::Error;

/// Why a chart cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is not a chart.
    #[error("chart does not parse: {reason}")]
    Syntax {
        /// What the parser said.
        reason: String,
    },
    /// A transition leads nowhere.
    #[error("chart {chart}: state {state:?} does not exist")]
    NoSuchState {
        /// The chart's name.
        chart: String,
        /// The missing state.
        state: String,
    },
    /// No path leads to a state.
    #[error("chart {chart}: state {state:?} cannot be reached")]
    Unreachable {
        /// The chart's name.
        chart: String,
        /// The unreachable state.
        state: String,
    },
    /// A state that is not final cannot be left.
    #[error("chart {chart}: state {state:?} is not final and has no way out")]
    NoExit {
        /// The chart's name.
        chart: String,
        /// The state that cannot be left.
        state: String,
    },
    /// The chart and the enum that names its states or events differ.
    #[error("chart {chart}: {name:?} is only in the {place}")]
    Mismatch {
        /// The chart's name.
        chart: String,
        /// The state or event that one side lacks.
        name: String,
        /// Where it was found.
        place: &'static str,
    },
}
