//! Carries out what the options say.

use std::future::Future;

use crate::client::Client;
use crate::command;
use crate::dev;
use crate::error::Error;
use crate::options::Command;
use crate::options::Options;
use crate::output::Output;
use crate::status::Status;

/// Carries out a command.
///
/// # Errors
///
/// See [`Error`].
pub fn run(options: Options) -> Result<Status, Error> {
    let mut output = Output::new(options.colour);
    let output = &mut output;
    let client = || Client::new(&options.connection);
    match options.command {
        Command::Check(options) => command::check::run(&options, output),
        Command::Diff(options) => block(command::diff::run(&options, client, output)),
        Command::Apply(options) => block(command::apply::run(&options, &client()?, output)),
        Command::History(format) => block(command::history::run(format, &client()?, output)),
        Command::Text(format) => block(command::text::run(format, &client()?, output)),
        Command::Status(format) => block(command::status::run(format, &client()?, output)),
        Command::ExplainRequest(options) => {
            block(command::explain::request(&options, &client()?, output))
        }
        Command::ExplainJob(options) => block(command::explain::job(&options, &client()?, output)),
        Command::Submit(options) => block(command::submit::run(&options, &client()?, output)),
        Command::ShowJob(options) => block(command::jobs::show(&options, &client()?, output)),
        Command::CancelJob(options) => block(command::jobs::cancel(&options, &client()?, output)),
        Command::Burn(options) => block(command::burn::run(&options, &client()?, output)),
        Command::Trace(options) => command::trace::run(&options, output),
        Command::Dev(options) => dev::run(&options),
        Command::Completions(shell) => command::completions::run(shell, output),
        Command::Man(options) => command::man::run(&options, output),
    }
}

fn block(work: impl Future<Output = Result<Status, Error>>) -> Result<Status, Error> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}
