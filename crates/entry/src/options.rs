//! Parsed command-line options.

use std::path::PathBuf;

use clap::ArgMatches;

/// Operating mode of `basilrackd`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Run an entry VM until SIGTERM or SIGINT.
    Serve,
    /// Check the settings and exit.
    Check,
    /// Run an entry VM that keeps its state in the platform's store.
    Host,
    /// Check the settings for [`Mode::Host`] and exit.
    CheckHost,
}

/// Command-line options of `basilrackd`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Operating mode.
    pub mode: Mode,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether not to print the listen address.
    pub quiet: bool,
}

impl Options {
    /// Reads the options from parsed arguments.
    pub fn from_matches(matches: &ArgMatches) -> Options {
        let (mode, named) = match matches.subcommand() {
            Some(("check", matches)) => (Mode::Check, matches),
            Some(("host", matches)) if matches.get_flag("check") => (Mode::CheckHost, matches),
            Some(("host", matches)) => (Mode::Host, matches),
            _ => (Mode::Serve, matches),
        };
        let settings = named.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        Options { mode, settings, quiet: matches.get_flag("quiet") }
    }
}
