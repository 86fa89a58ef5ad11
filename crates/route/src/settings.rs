//! Limits and intervals of the request decisions.

use std::time::Duration;

/// Limits and intervals of the request decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time for which a slot credit is lent without renewal.
    pub credit_term: Duration,
    /// Time for which a peer may be out of reach before its duties move.
    pub reach_grace: Duration,
    /// Interval at which unanswered peer messages are sent again.
    pub resend_interval: Duration,
    /// Time for which answers are kept.
    pub answer_ttl: Duration,
    /// Bytes of answers that are kept.
    pub answer_bytes: usize,
    /// Ids of which verdicts are known beyond their answers.
    pub ledger_ids: u64,
    /// Requests that may wait, over all services.
    pub queue_limit: usize,
    /// Bytes of request bodies that may wait, over all services.
    pub queue_bytes: usize,
    /// Percentage of a backend server's slots that only interactive work may use.
    pub reserved_percent: u32,
    /// Percentage of a backend server's slots that stragglers may hold.
    pub straggler_percent: u32,
    /// Percentage of a request's time to its deadline that it may spend waiting in a queue.
    pub wait_percent: u32,
    /// Attempts of a request, the first included.
    pub max_attempts: u32,
    /// Retries allowed for each hundred successes.
    pub retry_percent: u32,
    /// Shortest pause before a retry.
    pub min_backoff: Duration,
    /// Failures in a row that eject a backend server.
    pub eject_after: u32,
    /// Shortest time for which a backend server stays ejected.
    pub eject_time: Duration,
    /// Time by which the list of VMs may lag.
    pub list_lag: Duration,
    /// Bytes per second that this entry VM may send to other regions.
    pub link_rate: u64,
    /// Wait from which a request is worth sending to another region.
    pub link_wait: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            credit_term: Duration::from_secs(1),
            reach_grace: Duration::from_secs(1),
            resend_interval: Duration::from_millis(200),
            answer_ttl: Duration::from_secs(120),
            answer_bytes: 32 << 20,
            ledger_ids: 4 << 20,
            queue_limit: 20_000,
            queue_bytes: 64 << 20,
            reserved_percent: 25,
            straggler_percent: 50,
            wait_percent: 60,
            max_attempts: 4,
            retry_percent: 10,
            min_backoff: Duration::from_millis(10),
            eject_after: 3,
            eject_time: Duration::from_secs(1),
            list_lag: Duration::from_secs(15),
            link_rate: 200_000,
            link_wait: Duration::from_millis(60),
        }
    }
}
