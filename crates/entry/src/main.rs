//! `basilrackd`: the entry VM process.

use std::process::ExitCode;

use entry::app;
use entry::options::Options;
use entry::run::run;

fn main() -> ExitCode {
    let options = Options::from_matches(&app::build().get_matches());
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("basilrackd: {error}");
            ExitCode::FAILURE
        }
    }
}
