//! Soak test: simulates fleets of 3 to 50 members with all kinds of faults.
//!
//! `cargo run --release -p fleet --example soak -- --seeds 100` prints one line per seed. It stops
//! with exit code 1 at the first seed whose run breaks an invariant.

use std::panic::catch_unwind;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use fleet::trial::Faults;
use fleet::trial::Plan;
use fleet::trial::Report;
use fleet::trial::Site;
use fleet::trial::run;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
    };
    Command::new("soak")
        .about("Simulates fleets with a fake store and injected faults")
        .arg(number("seeds", "20", "Number of seeds"))
        .arg(number("first", "0", "First seed"))
        .arg(number("seconds", "300", "Simulated length of each run with faults"))
        .arg(number("members", "50", "Maximum number of members of a run"))
}

/// Derives a layout and faults from the seed.
fn plan(seed: u64, seconds: u64, max_members: u32) -> Plan {
    let mut rng = SmallRng::seed_from_u64(seed);
    let members = rng.random_range(3..=max_members.max(3));
    let zones = rng.random_range(1..=members.min(6));
    let site = |zone: u32| Site {
        region: zone / 2,
        members: members / zones + u32::from(zone < members % zones),
        shards: 1 + zone % 3,
    };
    let mut plan = Plan::new(seed, (0..zones).map(site).collect());
    let mut interval = |low, high| Duration::from_secs(rng.random_range(low..high));
    plan.faults = Faults {
        loss: 0.0,
        store_loss: 0.0,
        pause: interval(5, 60),
        cut: interval(5, 60),
        crash: interval(10, 120),
        replace: interval(10, 120),
        outage: interval(60, 300),
        outage_length: interval(5, 90),
    };
    plan.faults.loss = rng.random_range(0.0..0.2);
    plan.faults.store_loss = rng.random_range(0.0..0.5);
    plan.operators = rng.random_range(1..4);
    plan.length = Duration::from_secs(seconds);
    plan
}

fn show(seed: u64, plan: &Plan, report: &Report) {
    println!(
        "seed {seed}: {} members, {} zones, {} revisions, p99 spread {:.1?}, {} moves, {} gone \
         ({} wrongly, {} fenced), {} false silences, peak {} store calls/s, agreed after {:?}, \
         {:?}",
        plan.members(),
        plan.sites.len(),
        report.revisions,
        report.quantile(0.99),
        report.moves,
        report.gone,
        report.false_gone,
        report.fenced,
        report.false_silences,
        report.peak_calls,
        report.convergence_time,
        report.outcomes,
    );
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let max_members = u32::try_from(number("members")).unwrap_or(u32::MAX);
    let first = number("first");
    for seed in first..first.saturating_add(number("seeds")) {
        let plan = plan(seed, number("seconds"), max_members);
        match catch_unwind(|| run(&plan)) {
            Ok(report) => show(seed, &plan, &report),
            Err(_) => {
                println!("seed {seed} failed: {plan:#?}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
