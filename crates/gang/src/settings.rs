//! Times and bounds of a shard.

use std::time::Duration;

use strum::AsRefStr;
use strum::Display;
use strum::EnumString;
use strum::VariantArray;

/// How waiting jobs are ordered and placed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, AsRefStr, Display, EnumString, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Discipline {
    /// Strictly by age; a blocked job blocks all after it. For comparison.
    Fifo,
    /// By age; later jobs may pass a blocked one if by their declared run times they do not delay
    /// it. For comparison.
    Backfill,
    /// By urgency, share and response ratio, with guarantees, preemption and reservations.
    #[default]
    Basilrack,
}

/// Times and bounds of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Life of a lease that is not confirmed by a start.
    pub hold_ttl: Duration,
    /// Life of a lease under which tasks run, from its last renewal.
    pub lease_ttl: Duration,
    /// Time between renewals at a worker.
    pub renew_max: Duration,
    /// Shortest time between renewals at a worker, while a job on it is young.
    pub renew_min: Duration,
    /// Silence after which a worker's parts of gangs count as lost.
    pub lost_after: Duration,
    /// Longest time that a message to a worker may take and still be acted on.
    pub max_latency: Duration,
    /// Time between repeats of a stop.
    pub retry_interval: Duration,
    /// Longest time given to a checkpoint before a preempted gang is stopped.
    pub checkpoint_grace: Duration,
    /// Shortest time between two writes of one page.
    pub write_interval: Duration,
    /// Most page writes in any second.
    pub write_rate: u32,
    /// Most page reads in any second.
    pub read_rate: u32,
    /// Size above which a page takes no further jobs, in bytes.
    pub page_bytes: usize,
    /// How long a finished job is kept.
    pub retention: Duration,
    /// Failures of different jobs in a row after which a worker is quarantined.
    pub strike_limit: u32,
    /// Different workers that a job must fail on before it is stopped.
    pub failure_limit: u32,
    /// First pause between probes of a quarantined worker, doubled after each failure.
    pub probe_min: Duration,
    /// Longest pause between probes.
    pub probe_max: Duration,
    /// Wait after which a worker that is to be probed, and that no job has tried, takes all work
    /// again; its next failure quarantines it at once.
    pub probe_timeout: Duration,
    /// Wait after which a blocked gang gets a reservation.
    pub reserve_after: Duration,
    /// Time after which a job that no set of workers can hold is ended.
    pub infeasible_after: Duration,
    /// How waiting jobs are ordered and placed.
    pub discipline: Discipline,
    /// Most placements tried at one event.
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
