//! Rate limiting over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;

const WINDOW: Duration = Duration::from_secs(1);

/// Allows at most `limit` operations in any one-second window.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    limit: usize,
    times: VecDeque<Time>,
}

impl RateLimiter {
    /// Creates a limiter of `limit` operations per second, at least one.
    pub(crate) fn new(limit: u32) -> RateLimiter {
        RateLimiter { limit: limit.max(1) as usize, times: VecDeque::new() }
    }

    /// Counts one operation if the limit allows it, and returns whether it does.
    pub(crate) fn try_acquire(&mut self, now: Time) -> bool {
        while self.times.front().is_some_and(|time| now.since(*time) >= WINDOW) {
            self.times.pop_front();
        }
        let allowed = self.times.len() < self.limit;
        if allowed {
            self.times.push_back(now);
        }
        allowed
    }

    /// When the next operation is allowed; `ZERO` if one is allowed now.
    pub(crate) fn next_free(&self) -> Time {
        match self.times.len() < self.limit {
            true => Time::ZERO,
            false => self.times.front().map_or(Time::ZERO, |time| *time + WINDOW),
        }
    }
}
