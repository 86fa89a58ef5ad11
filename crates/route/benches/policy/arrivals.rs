//! Seeded random arrivals at production size.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::BACKENDS;
use crate::SLOTS;
use model::Class;
use model::Time;

/// Mean run time of interactive requests in milliseconds.
pub const SHORT_RUN_MILLIS: f64 = 50.0;
/// Time at which the overload starts, in seconds.
pub const OVERLOAD_START_SECS: f64 = 5.0;
/// Duration of the overload in seconds.
pub const OVERLOAD_SECS: f64 = 30.0;

/// One request to replay.
pub struct Job {
    /// Time of arrival.
    pub at: Time,
    /// Latency class.
    pub class: Class,
    /// Index of the client account.
    pub account: usize,
    /// Time that it occupies a slot.
    pub run: Duration,
}

/// Adds Poisson arrivals at `rate` requests per second within `span`, in seconds.
fn add_arrivals(
    jobs: &mut Vec<Job>,
    rng: &mut StdRng,
    rate: f64,
    span: (f64, f64),
    account: usize,
    class: Class,
) {
    let mut at = span.0;
    loop {
        at -= rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        if at >= span.1 {
            return;
        }
        let factor = rng.random_range(0.5..1.5);
        let millis = match class {
            Class::Interactive => SHORT_RUN_MILLIS * factor,
            Class::Batch if rng.random_ratio(3, 100) => 10_000.0 * factor,
            Class::Batch => 300.0 * factor,
        };
        let run = Duration::from_micros((millis * 1_000.0) as u64);
        jobs.push(Job { at: Time::from_micros((at * 1e6) as u64), class, account, run });
    }
}

/// Rate of interactive requests per second that occupies the share `load` of all slots.
pub fn short_rate(load: f64) -> f64 {
    load * (BACKENDS * SLOTS) as f64 * 1_000.0 / SHORT_RUN_MILLIS
}

/// Rate of batch requests per second that occupies the share `load` of all slots.
fn batch_rate(load: f64) -> f64 {
    load * (BACKENDS * SLOTS) as f64 / (0.97 * 0.3 + 0.03 * 10.0)
}

/// Load of 80%: steady interactive work, and batch work with stragglers in bursts of two seconds
/// every eight.
pub fn stragglers() -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut jobs = Vec::new();
    for account in 0..4 {
        let rate = short_rate(0.3) / 4.0;
        add_arrivals(&mut jobs, &mut rng, rate, (0.0, 64.0), account, Class::Interactive);
        for burst in 0..8 {
            let start = f64::from(burst) * 8.0;
            let rate = batch_rate(0.5 * 4.0) / 4.0;
            add_arrivals(&mut jobs, &mut rng, rate, (start, start + 2.0), account, Class::Batch);
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

/// Interactive work at half load, with an overload of three times the capacity for thirty seconds.
pub fn overload() -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(2);
    let mut jobs = Vec::new();
    let end = OVERLOAD_START_SECS + OVERLOAD_SECS;
    for account in 0..4 {
        for (load, span) in [
            (0.5, (0.0, OVERLOAD_START_SECS)),
            (3.0, (OVERLOAD_START_SECS, end)),
            (0.5, (end, end + 10.0)),
        ] {
            add_arrivals(
                &mut jobs,
                &mut rng,
                short_rate(load) / 4.0,
                span,
                account,
                Class::Interactive,
            );
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

/// Saturation: every client account demands 60% of all slots.
pub fn saturation() -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(3);
    let mut jobs = Vec::new();
    for account in 0..4 {
        add_arrivals(
            &mut jobs,
            &mut rng,
            short_rate(0.6),
            (0.0, 20.0),
            account,
            Class::Interactive,
        );
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}
