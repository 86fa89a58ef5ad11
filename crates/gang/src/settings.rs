//! Timeouts, rates and limits of a shard.

use std::time::Duration;

use strum::AsRefStr;
use strum::Display;
use strum::EnumString;
use strum::VariantArray;

/// How queued jobs are ordered and placed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, AsRefStr, Display, EnumString, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Discipline {
    /// First in, first out: a blocked job blocks every job behind it. For comparison only.
    Fifo,
    /// First in, first out with backfilling: a later job may pass a blocked one if, by their
    /// declared run times, it does not delay it. For comparison only.
    Backfill,
    /// By priority, fair share and response ratio, with guarantees, preemption and reservations.
    #[default]
    Basilrack,
}

/// Timeouts, rates and limits of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Lifetime of a lease under which no task has been started yet.
    pub hold_ttl: Duration,
    /// Lifetime of a lease under which tasks run, counted from its last renewal.
    pub lease_ttl: Duration,
    /// Longest time between lease renewals at a worker.
    pub renew_max: Duration,
    /// Shortest time between lease renewals at a worker, used while one of its jobs started
    /// recently.
    pub renew_min: Duration,
    /// Time without a confirmation from a worker after which its parts of gangs count as lost.
    pub lost_after: Duration,
    /// Longest time that a message may take to a worker and still be acted on there.
    pub max_latency: Duration,
    /// Time between retries of a stop, a start or a query to a worker.
    pub retry_interval: Duration,
    /// Time that a preempted gang gets to write a checkpoint before it is stopped.
    pub checkpoint_grace: Duration,
    /// Shortest time between two writes of the same page; changes in between are written together.
    pub write_interval: Duration,
    /// Maximum number of page writes per second.
    pub write_rate: u32,
    /// Maximum number of page reads per second.
    pub read_rate: u32,
    /// Size in bytes above which no further jobs are added to a page.
    pub page_bytes: usize,
    /// How long the record of an ended job is kept.
    pub retention: Duration,
    /// Number of different jobs that must fail on a worker, without a success in between, before it
    /// is quarantined.
    pub strike_limit: u32,
    /// Number of different workers that a job must fail on before it is given up. If it failed on
    /// at least two workers, twice as many failures in total have the same effect.
    pub failure_limit: u32,
    /// Time until a quarantined worker is first probed; doubled after each failed probe.
    pub probe_min: Duration,
    /// Longest time between probes of a quarantined worker.
    pub probe_max: Duration,
    /// Time after which a worker that is due for a probe, but got no job to run, takes all work
    /// again. Its next failure quarantines it at once.
    pub probe_timeout: Duration,
    /// Time in the queue after which a blocked gang gets a reservation. Also the time for which a
    /// failed job avoids the workers that it failed on.
    pub reserve_after: Duration,
    /// Time after which a job that does not fit on the listed workers, even if all were idle, is
    /// ended.
    pub infeasible_after: Duration,
    /// How queued jobs are ordered and placed.
    pub discipline: Discipline,
    /// Maximum number of jobs tried in one scheduling pass.
    pub pass_limit: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            hold_ttl: Duration::from_secs(10),
            lease_ttl: Duration::from_secs(30),
            renew_max: Duration::from_secs(8),
            renew_min: Duration::from_millis(500),
            lost_after: Duration::from_secs(20),
            max_latency: Duration::from_secs(2),
            retry_interval: Duration::from_secs(2),
            checkpoint_grace: Duration::from_millis(900),
            write_interval: Duration::from_millis(50),
            write_rate: 200,
            read_rate: 400,
            page_bytes: 48 * 1024,
            retention: Duration::from_secs(24 * 3_600),
            strike_limit: 3,
            failure_limit: 4,
            probe_min: Duration::from_secs(30),
            probe_max: Duration::from_secs(3_600),
            probe_timeout: Duration::from_secs(600),
            reserve_after: Duration::from_secs(30),
            infeasible_after: Duration::from_secs(300),
            discipline: Discipline::Basilrack,
            pass_limit: 256,
        }
    }
}
