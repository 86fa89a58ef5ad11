//! Tests of whole fleets: store outages, lost regions, rolling replacement and spread under load.

use std::time::Duration;

use fleet::trial::Faults;
use fleet::trial::Plan;
use fleet::trial::run;

/// Interval between changes at 23,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_micros(86_400_000_000 / 23_000);
/// Maximum rate of store calls, per second, at 23,000 changes a day.
const MAX_STORE_CALL_RATE: f64 = 20.0;

fn small_plan(seed: u64) -> Plan {
    let mut plan = Plan::small(seed);
    plan.change = CHANGE_INTERVAL;
    plan.length = Duration::from_secs(400);
    plan
}

#[test]
fn spread_with_a_healthy_store() {
    let plan = small_plan(1);
    let report = run(&plan);
    assert!(report.spread_times.len() > 500);
    assert!(report.quantile(0.99) < Duration::from_secs(1));
    let from = plan.warmup.as_secs();
    let calls = report.calls_between(from, report.seconds) as f64;
    assert!(calls / (report.seconds - from) as f64 <= MAX_STORE_CALL_RATE);
}

#[test]
fn spread_with_half_the_answers_lost() {
    let mut plan = small_plan(2);
    plan.faults = Faults { store_loss: 0.5, ..Faults::default() };
    let report = run(&plan);
    assert!(report.spread_times.len() > 500);
    assert!(report.quantile(0.99) < Duration::from_secs(5));
    let calls = report.calls_between(30, report.seconds) as f64;
    assert!(calls / (report.seconds - 30) as f64 <= MAX_STORE_CALL_RATE);
}

#[test]
fn recovery_without_thundering_herd() {
    let mut plan = small_plan(3);
    plan.length = Duration::from_secs(1_300);
    plan.outage = Some((Duration::from_secs(600), Duration::from_secs(600)));
    let report = run(&plan);
    let usual = report.calls_between(30, 630) as f64 / 60.0;
    let after = report.calls_between(1_230, 1_240) as f64;
    assert_eq!(report.recovered_at, Some(1_230));
    assert!(after <= 2.0 * usual, "{after} calls in 10 s, usual are {usual}");
    assert_eq!(report.gone, 0, "a store outage must not make members gone");
    assert_eq!(report.false_silences, 0);
}

#[test]
fn lost_region_is_silent_not_gone() {
    let mut plan = small_plan(4);
    plan.partition = Some((Duration::from_secs(60), Duration::from_secs(200)));
    let report = run(&plan);
    assert!(report.false_silences > 0, "the regions could not reach each other");
    assert_eq!(report.gone, 0, "a partition must not make members gone");
    assert_eq!(report.fenced, 0);
}

#[test]
fn rolling_replacement_loses_nobody() {
    let mut plan = small_plan(5);
    plan.rolling_interval = Some(Duration::from_secs(15));
    plan.length = Duration::from_secs(200);
    let report = run(&plan);
    assert!(report.gone > 0, "members left");
    assert_eq!(report.false_gone, 0);
    assert_eq!(report.fenced, 0);
    assert_eq!(report.false_silences, 0, "no member became silent before it left");
}
