//! The command line.

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Builds the command line.
pub fn build() -> Command {
    Command::new("basilrack")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules multi-accelerator jobs and short requests, and says what it cannot know")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(dev())
}

fn dev() -> Command {
    Command::new("dev")
        .about("Runs a whole system in this process, with stand-ins for the platform")
        .arg(
            Arg::new("for")
                .long("for")
                .value_name("DURATION")
                .value_parser(|text: &str| humantime::parse_duration(text))
                .help("Ends with a report after this time, such as 10s; without it, on Ctrl-C"),
        )
        .arg(
            Arg::new("text")
                .long("text")
                .value_name("FILE")
                .value_parser(value_parser!(std::path::PathBuf))
                .help("The operators' configuration to run; the embedded sample without it"),
        )
        .arg(
            Arg::new("entries")
                .long("entries")
                .value_name("NUMBER")
                .default_value("3")
                .value_parser(value_parser!(u32).range(1..=16))
                .help("Number of entry VMs"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("NUMBER")
                .default_value("200")
                .value_parser(value_parser!(u32).range(1..=20_000))
                .help("Requests sent a second"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load and the stand-ins"),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .short('q')
                .action(ArgAction::SetTrue)
                .help("Print the report only"),
        )
}
