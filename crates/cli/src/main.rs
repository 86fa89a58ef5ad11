//! Entry point of `basilrack`, the operators' command line.

use std::process::ExitCode;

use cli::app;
use cli::options::Options;
use cli::run::run;

fn main() -> ExitCode {
    match run(Options::from_matches(&app::build().get_matches())) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("basilrack: {error}");
            error.status().into()
        }
    }
}
