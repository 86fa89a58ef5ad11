//! Runs a given number of random schedules and prints the first failing seed with its trace.

#[path = "../tests/cluster/mod.rs"]
mod cluster;
#[path = "../tests/cluster/schedule.rs"]
mod schedule;

use std::panic::catch_unwind;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;

fn main() -> ExitCode {
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(u64));
    let command = Command::new("soak")
        .about("Run seeded schedules of several entry VMs")
        .arg(number("seeds").default_value("1000").help("Number of schedules"))
        .arg(number("first").default_value("0").help("First seed"));
    let matches = command.get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let (first, seeds) = (number("first"), number("seeds"));
    for seed in first..first + seeds {
        if catch_unwind(|| schedule::run_schedule(seed, None)).is_err() {
            print_failure(seed);
            return ExitCode::FAILURE;
        }
    }
    println!("{seeds} schedules from seed {first}: every invariant held");
    ExitCode::SUCCESS
}

/// Runs a failed schedule again with a trace, and prints it.
fn print_failure(seed: u64) {
    let trace = cluster::Trace::default();
    let kept = trace.clone();
    let again = catch_unwind(std::panic::AssertUnwindSafe(|| {
        schedule::run_schedule(seed, Some(trace));
    }));
    let lines = kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for line in lines.iter() {
        println!("{line}");
    }
    let same = if again.is_err() { "again" } else { "but not again" };
    println!("seed {seed} failed, {same}; trace of {} lines above", lines.len());
}
