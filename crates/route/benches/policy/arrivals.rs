//! Seeded arrivals at today's sizes.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::BACKENDS;
use crate::SLOTS;
use model::Class;
use model::Time;

/// Mean run time of short requests.
pub const SHORT_RUN_MILLIS: f64 = 50.0;
/// Second at which demand jumps.
pub const OVERLOAD_START_SECS: f64 = 5.0;
/// Seconds for which it stays.
pub const OVERLOAD_SECS: f64 = 30.0;

/// One request of a replay.
pub struct Job {
    /// Arrival.
    pub at: Time,
    /// Latency class.
    pub class: Class,
    /// Client account by number.
    pub account: usize,
    /// Time in a slot.
    pub run: Duration,
}

/// Adds arrivals of `rate` requests a second between two times.
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

/// Short requests a second that make a load, as a share of all slots.
pub fn short_rate(load: f64) -> f64 {
    load * (BACKENDS * SLOTS) as f64 * 1_000.0 / SHORT_RUN_MILLIS
}

fn batch_rate(load: f64) -> f64 {
    load * (BACKENDS * SLOTS) as f64 / (0.97 * 0.3 + 0.03 * 10.0)
}

/// 80% load: steady short work, batch work with stragglers in bursts of two seconds every eight.
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

/// Short work at half load jumps to three times the capacity for thirty seconds.
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

/// Every client account wants 60% of all slots.
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
