//! Token bucket for rates, and retry budget that grows with successful requests.

use std::time::Duration;

use model::Time;

/// Units of a retry budget in one retry.
const MILLIRETRIES: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket that refills with time.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate: u64,
    burst: u64,
    /// Tokens in the bucket, in millionths.
    level: u64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that refills at `rate` tokens per second.
    pub(crate) fn new(rate: u64, burst: u64) -> TokenBucket {
        let burst = burst.max(1);
        TokenBucket { rate, burst, level: burst * MICROS_PER_SECOND, refilled_at: Time::ZERO }
    }

    /// Changes rate and burst and keeps the tokens, up to the new burst.
    pub(crate) fn resize(&mut self, rate: u64, burst: u64) {
        self.rate = rate;
        self.burst = burst.max(1);
        self.level = self.level.min(self.burst * MICROS_PER_SECOND);
    }

    /// Takes `count` tokens if the bucket has them; returns whether it did.
    pub(crate) fn take(&mut self, now: Time, count: u64) -> bool {
        self.refill(now);
        let need = count.saturating_mul(MICROS_PER_SECOND);
        let enough = self.level >= need;
        if enough {
            self.level -= need;
        }
        enough
    }

    /// Time until the bucket holds one token, as of the last refill.
    pub(crate) fn time_to_token(&self) -> Duration {
        let missing = MICROS_PER_SECOND.saturating_sub(self.level);
        Duration::from_micros(missing / self.rate.max(1))
    }

    fn refill(&mut self, now: Time) {
        let passed = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let gained = passed.saturating_mul(self.rate);
        self.level = self.level.saturating_add(gained).min(self.burst * MICROS_PER_SECOND);
        self.refilled_at = now;
    }
}

/// Limits retries to a share of recent successes.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    /// Available retries, in thousandths.
    level: u64,
}

impl RetryBudget {
    const INITIAL_LEVEL: u64 = 10 * MILLIRETRIES;
    const MAX_LEVEL: u64 = 100 * MILLIRETRIES;

    /// Creates a budget with 10 retries, so that the first failures can be retried.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { level: RetryBudget::INITIAL_LEVEL }
    }

    /// Adds `percent` hundredths of a retry for one success.
    pub(crate) fn earn(&mut self, percent: u32) {
        let gain = u64::from(percent) * MILLIRETRIES / 100;
        self.level = (self.level + gain).min(RetryBudget::MAX_LEVEL);
    }

    /// Takes one retry if the budget has it; returns whether it did.
    pub(crate) fn take(&mut self) -> bool {
        let enough = self.level >= MILLIRETRIES;
        if enough {
            self.level -= MILLIRETRIES;
        }
        enough
    }
}
