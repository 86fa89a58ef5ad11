//! The command line as typed options.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;

/// What the program is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Options {
    /// Run a whole system in this process.
    Dev(DevOptions),
}

/// Options of `dev`.
#[derive(Clone, Debug, PartialEq)]
pub struct DevOptions {
    /// Time after which it ends.
    pub span: Option<Duration>,
    /// The operators' configuration.
    pub text: Option<PathBuf>,
    /// Number of entry VMs.
    pub entries: u32,
    /// Requests a second.
    pub rate: u32,
    /// Seed of the load and the stand-ins.
    pub seed: u64,
    /// Whether to print the report only.
    pub quiet: bool,
}

impl Options {
    /// Reads the options from parsed arguments.
    ///
    /// # Panics
    ///
    /// The arguments do not come from [`crate::app::build`].
    pub fn from_matches(matches: &ArgMatches) -> Options {
        match matches.subcommand() {
            Some(("dev", matches)) => Options::Dev(DevOptions::from_matches(matches)),
            other => unreachable!("subcommand {other:?} is not built"),
        }
    }
}

impl DevOptions {
    fn from_matches(matches: &ArgMatches) -> DevOptions {
        DevOptions {
            span: matches.get_one("for").copied(),
            text: matches.get_one("text").cloned(),
            entries: matches.get_one("entries").copied().unwrap_or(3),
            rate: matches.get_one("rate").copied().unwrap_or(200),
            seed: matches.get_one("seed").copied().unwrap_or(1),
            quiet: matches.get_flag("quiet"),
        }
    }
}
