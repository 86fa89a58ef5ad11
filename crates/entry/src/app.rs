//! The command line of `basilrackd`.

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Builds the command line.
pub fn build() -> Command {
    Command::new("basilrackd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs one entry VM: takes requests and jobs and answers them truthfully")
        .subcommand_negates_reqs(true)
        .arg(settings())
        .subcommand(
            Command::new("check")
                .about("Says what is wrong with the settings, and ends")
                .arg(settings()),
        )
        .subcommand(
            Command::new("host")
                .about("Runs an entry VM whose lasting state lives in the platform's store")
                .arg(settings())
                .arg(
                    Arg::new("check")
                        .long("check")
                        .action(ArgAction::SetTrue)
                        .help("Say what is wrong with the settings, and end"),
                ),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .short('q')
                .action(ArgAction::SetTrue)
                .help("Do not print the addresses that it listens on"),
        )
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(std::path::PathBuf))
        .help("Settings of this entry VM, as JSON with comments")
}
