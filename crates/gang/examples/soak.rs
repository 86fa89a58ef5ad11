//! Runs random schedules of jobs and faults until one breaks an invariant.
//!
//! `cargo run --release -p gang --example soak -- --seeds 1000`

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;

use trial::schedule;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = value_parser!(u64);
        Arg::new(name).long(name).value_parser(parser).default_value(default).help(help)
    };
    Command::new("soak")
        .about("Runs random schedules of jobs and faults")
        .arg(number("seeds", "100", "How many schedules"))
        .arg(number("first", "0", "First seed"))
        .arg(number("steps", "60", "Steps of each schedule"))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let first = number("first");
    let steps = number("steps") as u32;
    for seed in first..first + number("seeds") {
        let mut world = schedule::create_world(seed);
        let plan = schedule::Plan::all();
        let run = || schedule::run(&mut world, &plan, steps);
        if catch_unwind(AssertUnwindSafe(run)).is_err() {
            for line in &world.trace {
                println!("{line}");
            }
            println!("seed {seed} failed at {}", world.now);
            return ExitCode::FAILURE;
        }
    }
    println!("{} schedules held", number("seeds"));
    ExitCode::SUCCESS
}
