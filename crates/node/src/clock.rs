//! Clock of the process; no other module of this crate reads the time.

use std::sync::Arc;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use model::Stamp;
use model::Time;

/// Monotonic time since the start of the process, including time for which the VM was suspended.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Duration,
    /// Wall-clock time at the origin. It is read only once, since the wall clock of a VM may jump
    /// by seconds and back.
    wall_origin: Arc<Duration>,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock {
            origin: read_clock(ClockId::Boottime),
            wall_origin: Arc::new(read_clock(ClockId::Realtime)),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Time {
        Time::ZERO + read_clock(ClockId::Boottime).saturating_sub(self.origin)
    }

    /// Returns the wall-clock time, computed from the monotonic clock and so free of jumps.
    pub fn stamp(&self) -> Stamp {
        let elapsed = read_clock(ClockId::Boottime).saturating_sub(self.origin);
        Stamp(u64::try_from((*self.wall_origin + elapsed).as_millis()).unwrap_or(u64::MAX))
    }
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
