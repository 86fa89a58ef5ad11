//! Fault injection for the key-value store.

use std::time::Duration;

/// How the answer to a call is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerLoss {
    /// The connection is closed instead.
    #[default]
    Close,
    /// The connection stays open without an answer.
    Silence,
}

/// Faults that the store injects.
///
/// Shares are fractions of calls between 0 and 1. The default injects no faults.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreFaults {
    /// Whether connections are refused.
    pub down: bool,
    /// Delay before a call takes effect.
    pub delay: Duration,
    /// Whether calls are accepted but neither executed nor answered.
    pub stuck: bool,
    /// Share of calls whose connection is closed before they take effect.
    pub drop_request: f64,
    /// Share of calls that take effect but are not answered.
    pub lose_answer: f64,
    /// How answers are lost.
    pub loss: AnswerLoss,
    /// Share of calls that are answered with an error and have no effect.
    pub unavailable: f64,
    /// Speed of the clock on which leases expire, relative to real time; 0 stops it.
    pub lease_speed: f64,
    /// Interval of progress notifications to a watch; `None` sends no notifications.
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
