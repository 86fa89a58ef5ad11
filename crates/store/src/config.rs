//! Settings of the client.

use std::time::Duration;

/// Settings of the client.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Address of the store, as `http://<address>:<port>`.
    pub url: String,
    /// Time that one call may take, its wait in the queue included.
    pub deadline: Duration,
    /// Least silence on a used connection after which a read is repeated on a new one.
    pub hedge_delay: Duration,
    /// Calls a second, on average.
    pub rate: f64,
    /// Calls that may leave at once after a quiet time.
    pub burst: u32,
    /// Calls that may be in progress at once.
    pub inflight: usize,
    /// Calls that may wait.
    pub depth: usize,
    /// Time after which a watch without news is opened anew.
    pub watch_timeout: Duration,
    /// Longest wait between two trials while the store is failing.
    pub backoff: Duration,
    /// Seed of the random spread of trials.
    pub seed: u64,
}

impl Config {
    /// Default settings for the store at `url`.
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
