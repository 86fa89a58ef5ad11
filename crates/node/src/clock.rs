//! The one place where time is read.

use std::sync::Arc;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use model::Stamp;
use model::Time;

/// Time of this process: steady, and counting the time for which the VM stood still.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Duration,
    /// Wall clock at the origin. The wall clock of a VM may jump by seconds and back, so it is
    /// read once.
    wall_origin: Arc<Duration>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            origin: read_clock(ClockId::Boottime),
            wall_origin: Arc::new(read_clock(ClockId::Realtime)),
        }
    }

    /// Steady time.
    pub fn now(&self) -> Time {
        Time::ZERO + read_clock(ClockId::Boottime).saturating_sub(self.origin)
    }

    /// Wall-clock time, without jumps since the start.
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
