//! Monotonic and wall-clock time.
//!
//! Scheduling and routing code gets the current time as an argument and never reads a clock.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Monotonic time of one process, in microseconds since an arbitrary origin.
///
/// Values from different processes cannot be compared; only durations can be exchanged.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);
    /// A time that is never reached; stands for an unset time.
    pub const NEVER: Time = Time(u64::MAX);

    /// The time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// The time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch, for stored data and output.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Stamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
