//! Dispatches the parsed options to the command that implements them.

use std::future::Future;

use crate::client::Client;
use crate::command;
use crate::dev;
use crate::error::Error;
use crate::options::Command;
use crate::options::Options;
use crate::output::Output;
use crate::status::Status;

/// Runs the selected command and returns its exit code.
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
        Command::Diff(options) => block_on(command::diff::run(&options, client, output)),
        Command::Apply(options) => block_on(command::apply::run(&options, &client()?, output)),
        Command::History(format) => block_on(command::history::run(format, &client()?, output)),
        Command::Text(format) => block_on(command::text::run(format, &client()?, output)),
        Command::Status(format) => block_on(command::status::run(format, &client()?, output)),
        Command::ExplainRequest(options) => {
            block_on(command::explain::request(&options, &client()?, output))
        }
        Command::ExplainJob(options) => {
            block_on(command::explain::job(&options, &client()?, output))
        }
        Command::Submit(options) => block_on(command::submit::run(&options, &client()?, output)),
        Command::ShowJob(options) => block_on(command::jobs::show(&options, &client()?, output)),
        Command::CancelJob(options) => {
            block_on(command::jobs::cancel(&options, &client()?, output))
        }
        Command::Burn(options) => block_on(command::burn::run(&options, &client()?, output)),
        Command::Trace(options) => command::trace::run(&options, output),
        Command::Dev(options) => dev::run(&options),
        Command::Completions(shell) => command::completions::run(shell, output),
        Command::Man(options) => command::man::run(&options, output),
    }
}

fn block_on(command: impl Future<Output = Result<Status, Error>>) -> Result<Status, Error> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(command)
}
