//! Measures the spread of the configuration, store calls and heartbeat bytes in simulated time.
//!
//! Prints one JSON line per figure: measure, policy, value and unit. All figures except processor
//! time are determined by the seed.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use fleet::Message;
use fleet::Purpose;
use fleet::trial::Faults;
use fleet::trial::Plan;
use fleet::trial::Site;
use fleet::trial::run;

/// Interval between changes at 23,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_micros(86_400_000_000 / 23_000);
/// Simulated time of a run after the warm-up.
const RUN_LENGTH: Duration = Duration::from_secs(1_300);
/// Bytes that framing and TCP add to a message.
const FRAME_OVERHEAD_BYTES: u64 = 8;

fn encoded_size(message: &Message) -> u64 {
    let mut bytes = Vec::new();
    match ciborium::into_writer(message, &mut bytes) {
        Ok(()) => bytes.len() as u64 + FRAME_OVERHEAD_BYTES,
        Err(error) => panic!("message does not encode: {error}"),
    }
}

fn print_figure(measure: &str, policy: &str, value: f64, unit: &str) {
    let value = (value * 1_000.0).round() / 1_000.0;
    println!("{}", json!({ "measure": measure, "policy": policy, "value": value, "unit": unit }));
}

/// Whether a policy is selected: the first argument, if any, must be part of its name.
fn is_wanted(policy: &str) -> bool {
    let filter = std::env::args().skip(1).find(|arg| !arg.starts_with("--"));
    filter.is_none_or(|filter| policy.contains(&filter))
}

fn run_plan(policy: &str, plan: &Plan) {
    if !is_wanted(policy) {
        return;
    }
    let started = Instant::now();
    let report = run(plan);
    let processor = started.elapsed().as_secs_f64();
    let members = f64::from(plan.members());
    for (name, q) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let value = report.quantile(q).as_secs_f64() * 1_000.0;
        print_figure(&format!("time until in force, {name}"), policy, value, "ms");
    }
    print_figure("revisions", policy, report.revisions as f64, "count");
    let from = plan.warmup.as_secs();
    let span = report.seconds.saturating_sub(from).max(1) as f64;
    let calls = report.calls_between(from, report.seconds) as f64;
    print_figure("store calls, all", policy, calls / span, "1/s");
    for purpose in
        [Purpose::Membership, Purpose::Listing, Purpose::Configuration, Purpose::Ownership]
    {
        let by = report.calls.range(from..).filter_map(|(_, by)| by.get(&purpose));
        print_figure(
            &format!("store calls, {purpose}"),
            policy,
            by.sum::<u64>() as f64 / span,
            "1/s",
        );
    }
    let applies = report.operator_calls.range(from..).map(|(_, count)| count).sum::<u64>();
    print_figure("store calls, operators", policy, applies as f64 / span, "1/s");
    print_figure("store calls, busiest second of members", policy, report.peak_calls as f64, "1/s");
    let mean = report.bytes as f64 / span / members;
    print_figure("bytes sent, mean of a node", policy, mean, "B/s");
    print_figure("bytes sent, busiest node", policy, report.peak_sent as f64 / span, "B/s");
    print_figure(
        "messages sent, mean of a node",
        policy,
        report.messages as f64 / span / members,
        "1/s",
    );
    // Includes the cost of the simulation itself, so this is an upper bound.
    let seconds = report.seconds as f64;
    print_figure(
        "processor time of a node",
        policy,
        processor / seconds / members * 100.0,
        "% of a core",
    );
    print_figure("live members seen out of reach", policy, report.false_silences as f64, "count");
}

fn benchmark_plan(mut plan: Plan) -> Plan {
    plan.change = CHANGE_INTERVAL;
    plan.length = RUN_LENGTH;
    plan.measure = encoded_size;
    plan
}

fn medium_plan() -> Plan {
    let site = |zone: u32| Site { region: zone / 3, members: 8 + zone % 2, shards: 2 };
    Plan::new(3, (0..6).map(site).collect())
}

fn with_store_loss(mut plan: Plan) -> Plan {
    plan.faults = Faults { store_loss: 0.5, ..Faults::default() };
    plan
}

/// Measures store calls before, during and in the 10 s after an outage of ten minutes.
fn run_recovery(policy: &str, mut plan: Plan) {
    if !is_wanted(policy) {
        return;
    }
    let length = Duration::from_secs(600);
    plan.outage = Some((Duration::from_secs(600), length));
    let report = run(&plan);
    let start = plan.warmup.as_secs();
    let usual = report.calls_between(start, start + 600) as f64 / 60.0;
    let ended = start + 1_200;
    assert_eq!(report.recovered_at, Some(ended));
    let after = report.calls_between(ended, ended + 10) as f64;
    let during = report.calls_between(start + 600, ended) as f64 / 60.0;
    print_figure("store calls, usual", policy, usual, "per 10 s");
    print_figure("store calls, during the outage", policy, during, "per 10 s");
    print_figure("store calls, first 10 s after the outage", policy, after, "per 10 s");
    print_figure("store calls, after against usual", policy, after / usual, "ratio");
}

fn main() {
    run_plan("8 VMs, healthy store", &benchmark_plan(Plan::small(1)));
    run_plan(
        "8 VMs, store loses half its answers",
        &with_store_loss(benchmark_plan(Plan::small(2))),
    );
    run_plan("51 VMs, healthy store", &benchmark_plan(medium_plan()));
    run_plan(
        "51 VMs, store loses half its answers",
        &with_store_loss(benchmark_plan(medium_plan())),
    );
    let mut target = benchmark_plan(Plan::large(4));
    target.warmup = Duration::from_secs(60);
    target.length = Duration::from_secs(120);
    run_plan("208 VMs, healthy store", &target);
    run_plan("208 VMs, store loses half its answers", &with_store_loss(target.clone()));
    run_recovery("8 VMs, outage of 10 min", benchmark_plan(Plan::small(5)));
    run_recovery("51 VMs, outage of 10 min", benchmark_plan(medium_plan()));
}
