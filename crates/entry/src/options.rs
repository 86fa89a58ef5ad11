//! The command line as typed options.

use std::path::PathBuf;

use clap::ArgMatches;

/// What `basilrackd` is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Run an entry VM until a signal comes.
    Serve,
    /// Check the settings.
    Check,
    /// Run an entry VM whose lasting state lives in the platform's store.
    Host,
    /// Check the settings of such an entry VM.
    CheckHost,
}

/// Options of `basilrackd`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// What to do.
    pub mode: Mode,
    /// The settings file.
    pub settings: PathBuf,
    /// Whether to keep the addresses to itself.
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
