//! Faults of the store.

use std::time::Duration;

/// How an answer is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerLoss {
    /// The connection ends in its place.
    #[default]
    Close,
    /// Nothing comes.
    Silence,
}

/// Faults of the store. The default has none.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreFaults {
    /// Connections are refused.
    pub down: bool,
    /// Every call waits this long before it takes effect.
    pub delay: Duration,
    /// Calls are taken in and never answered nor given effect.
    pub stuck: bool,
    /// Share of calls that end with the connection before they take effect.
    pub drop_request: f64,
    /// Share of calls that take effect and get no answer.
    pub lose_answer: f64,
    /// How answers are lost.
    pub loss: AnswerLoss,
    /// Share of calls that the store answers with an error, without effect.
    pub unavailable: f64,
    /// Speed of the clock that leases expire by; 0 stops it.
    pub lease_speed: f64,
    /// Time between reports of progress to a watch; none sends no such reports.
    pub progress: Option<Duration>,
}

impl Default for StoreFaults {
    fn default() -> StoreFaults {
        StoreFaults {
            down: false,
            delay: Duration::ZERO,
            stuck: false,
            drop_request: 0.0,
            lose_answer: 0.0,
            loss: AnswerLoss::Close,
            unavailable: 0.0,
            lease_speed: 1.0,
            progress: Some(Duration::from_secs(1)),
        }
    }
}
