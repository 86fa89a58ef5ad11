//! The one place where time is read.

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
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// Monotonic time.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Wall-clock time.
    pub fn stamp(&self) -> Stamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Stamp(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Wall-clock time of a moment of monotonic time.
    pub fn stamp_at(&self, time: Time) -> Stamp {
        let ago = self.now().since(time);
        Stamp(self.stamp().0.saturating_sub(u64::try_from(ago.as_millis()).unwrap_or(u64::MAX)))
    }

    /// The instant that a monotonic time stands for.
    pub fn instant(&self, time: Time) -> Option<Instant> {
        self.origin.checked_add(Duration::from_micros(time.micros()))
    }
}
