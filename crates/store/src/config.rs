//! Configuration of the client.

use std::time::Duration;

/// Rate limits, timeouts and address used by a [`Client`](crate::Client).
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// URL of the store, in the form `http://<address>:<port>`.
    pub url: String,
    /// Time limit of one call, including its wait in the queue and a retry.
    pub deadline: Duration,
    /// Minimum time without a response on a reused connection before a read is also sent on a
    /// new one.
    pub hedge_delay: Duration,
    /// Average rate limit, in calls per second.
    pub rate: f64,
    /// Maximum number of calls sent at once after an idle period.
    pub burst: u32,
    /// Maximum number of calls in progress.
    pub inflight: usize,
    /// Maximum number of queued calls.
    pub depth: usize,
    /// Time without any message after which a watch stream is reopened.
    pub watch_timeout: Duration,
    /// Maximum delay between probes, and between attempts to reopen a watch, while the store
    /// fails.
    pub backoff: Duration,
    /// Seed of the jitter on those delays.
    pub seed: u64,
}

impl Config {
    /// Default configuration for the store at `url`, with a random seed.
    pub fn new(url: &str) -> Config {
        Config {
            url: url.to_owned(),
            deadline: Duration::from_secs(2),
            hedge_delay: Duration::from_millis(100),
            rate: 20.0,
            burst: 20,
            inflight: 8,
            depth: 1024,
            watch_timeout: Duration::from_secs(10),
            backoff: Duration::from_secs(2),
            seed: rand::random(),
        }
    }
}
