//! Clock of the process; all other modules read the time through it.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use model::Stamp;
use model::Time;

/// Monotonic and wall-clock time of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts the clock at time zero.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// Monotonic time since the clock was started.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Wall-clock time.
    pub fn stamp(&self) -> Stamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Stamp(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Converts a past monotonic time to wall-clock time.
    pub fn stamp_at(&self, time: Time) -> Stamp {
        let ago = self.now().since(time);
        Stamp(self.stamp().0.saturating_sub(u64::try_from(ago.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Converts a monotonic time to an [`Instant`]; `None` if it is out of range.
    pub fn instant(&self, time: Time) -> Option<Instant> {
        self.origin.checked_add(Duration::from_micros(time.micros()))
    }
}
