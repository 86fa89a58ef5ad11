//! Limits and intervals of the router.

use std::time::Duration;

/// Limits and intervals of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Term after which slot credits expire unless renewed.
    pub credit_term: Duration,
    /// Time for which a peer may be unreachable before other entry VMs take over its duties.
    pub reach_grace: Duration,
    /// Interval at which unanswered messages to peers are sent again.
    pub resend_interval: Duration,
    /// Time for which answers of settled requests are kept.
    pub answer_ttl: Duration,
    /// Maximum size in bytes of all kept answers.
    pub answer_bytes: usize,
    /// Number of ids whose verdicts are kept in the ledger after their answers were evicted.
    pub ledger_ids: u64,
    /// Maximum number of queued requests over all services.
    pub queue_limit: usize,
    /// Maximum size in bytes of all queued request bodies.
    pub queue_bytes: usize,
    /// Percentage of a backend server's slots reserved for interactive work.
    pub reserved_percent: u32,
    /// Percentage of this entry VM's credits of a pool that batch stragglers may hold, and
    /// likewise batch work that must run at most once.
    pub straggler_percent: u32,
    /// Percentage of the time to its deadline that an interactive request may spend in a queue.
    pub wait_percent: u32,
    /// Maximum number of attempts of a request, the first included.
    pub max_attempts: u32,
    /// Number of retries allowed per hundred successes.
    pub retry_percent: u32,
    /// Base of the exponential backoff before a retry.
    pub base_backoff: Duration,
    /// Number of failures in a row after which a backend server is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection of a backend server, doubled with each further one; also the
    /// timeout of a probe.
    pub eject_time: Duration,
    /// Maximum lag of the list of VMs.
    pub list_lag: Duration,
    /// Rate limit in bytes per second of requests to other regions.
    pub link_rate: u64,
    /// Queueing time after which a request may be sent to another region.
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
            base_backoff: Duration::from_millis(10),
            eject_after: 3,
            eject_time: Duration::from_secs(1),
            list_lag: Duration::from_secs(15),
            link_rate: 200_000,
            link_wait: Duration::from_millis(60),
        }
    }
}
