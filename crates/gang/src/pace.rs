//! A bound on how often something is done.

use std::collections::VecDeque;
use std::time::Duration;

use model::Time;

const WINDOW: Duration = Duration::from_secs(1);

/// At most `most` uses in any second.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    limit: usize,
    times: VecDeque<Time>,
}

impl RateLimiter {
    /// A bound of `most` uses in any second.
    pub(crate) fn new(limit: u32) -> RateLimiter {
        RateLimiter { limit: limit.max(1) as usize, times: VecDeque::new() }
    }

    /// Uses one; whether that was allowed.
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

    /// When the next use is allowed, if none is now.
    pub(crate) fn next_free(&self) -> Time {
        match self.times.len() < self.limit {
            true => Time::ZERO,
            false => self.times.front().map_or(Time::ZERO, |time| *time + WINDOW),
        }
    }
}
