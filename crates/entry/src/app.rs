//! The command line of `basilrackd`.

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Builds the command line.
pub fn build() -> Command {
    Command::new("basilrackd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs an entry VM that balances requests and schedules jobs")
        .subcommand_negates_reqs(true)
        .arg(settings())
        .subcommand(Command::new("check").about("Checks the settings and exits").arg(settings()))
        .subcommand(
            Command::new("host")
                .about("Runs an entry VM that keeps its state in the platform's store")
                .arg(settings())
                .arg(
                    Arg::new("check")
                        .long("check")
                        .action(ArgAction::SetTrue)
                        .help("Check the settings and exit"),
                ),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .short('q')
                .action(ArgAction::SetTrue)
                .help("Do not print the listen address"),
        )
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(std::path::PathBuf))
        .help("Settings file of the entry VM (JSON with comments)")
}
