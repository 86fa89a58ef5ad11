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
    pub hold: Duration,
    /// Life of a lease under which tasks run, from its last renewal.
    pub lease: Duration,
    /// Time between renewals at a worker.
    pub renew: Duration,
    /// Shortest time between renewals at a worker, while a job on it is young.
    pub poll: Duration,
    /// Silence after which a worker's parts of gangs count as lost.
    pub lost: Duration,
    /// Longest time that a message to a worker may take and still be acted on.
    pub flight: Duration,
    /// Time between repeats of a stop.
    pub retry: Duration,
    /// Longest time given to a checkpoint before a preempted gang is stopped.
    pub grace: Duration,
    /// Shortest time between two writes of one page.
    pub gather: Duration,
    /// Most page writes in any second.
    pub writes: u32,
    /// Most page reads in any second.
    pub reads: u32,
    /// Size above which a page takes no further jobs, in bytes.
    pub page_bytes: usize,
    /// How long a finished job is kept.
    pub keep: Duration,
    /// Failures of different jobs in a row after which a worker is quarantined.
    pub strikes: u32,
    /// Different workers that a job must fail on before it is stopped.
    pub failures: u32,
    /// First pause between probes of a quarantined worker, doubled after each failure.
    pub probe: Duration,
    /// Longest pause between probes.
    pub probe_max: Duration,
    /// Wait after which a worker that is to be probed, and that no job has tried, takes all work
    /// again; its next failure quarantines it at once.
    pub parole: Duration,
    /// Wait after which a blocked gang gets a reservation.
    pub patience: Duration,
    /// Time after which a job that no set of workers can hold is ended.
    pub rule: Duration,
    /// How waiting jobs are ordered and placed.
    pub discipline: Discipline,
    /// Most placements tried at one event.
    pub batch: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            hold: Duration::from_secs(10),
            lease: Duration::from_secs(30),
            renew: Duration::from_secs(8),
            poll: Duration::from_millis(500),
            lost: Duration::from_secs(20),
            flight: Duration::from_secs(2),
            retry: Duration::from_secs(2),
            grace: Duration::from_millis(900),
            gather: Duration::from_millis(50),
            writes: 200,
            reads: 400,
            page_bytes: 48 * 1024,
            keep: Duration::from_secs(24 * 3_600),
            strikes: 3,
            failures: 4,
            probe: Duration::from_secs(30),
            probe_max: Duration::from_secs(3_600),
            parole: Duration::from_secs(600),
            patience: Duration::from_secs(30),
            rule: Duration::from_secs(300),
            discipline: Discipline::Basilrack,
            batch: 256,
        }
    }
}
