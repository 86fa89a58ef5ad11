//! Carries out what the options say.

use std::future::Future;

use crate::client::Client;
use crate::command;
use crate::dev;
use crate::error::Error;
use crate::options::Command;
use crate::options::Options;
use crate::page::Page;
use crate::status::Status;

/// Carries out a command.
///
/// # Errors
///
/// See [`Error`].
pub fn run(options: Options) -> Result<Status, Error> {
    let mut page = Page::new(options.colour);
    let page = &mut page;
    let client = || Client::new(&options.connection);
    match options.command {
        Command::Check(options) => command::check::run(&options, page),
        Command::Diff(options) => block(command::diff::run(&options, client, page)),
        Command::Apply(options) => block(command::apply::run(&options, &client()?, page)),
        Command::History(format) => block(command::history::run(format, &client()?, page)),
        Command::Text(format) => block(command::text::run(format, &client()?, page)),
        Command::Status(format) => block(command::status::run(format, &client()?, page)),
        Command::ExplainRequest(options) => {
            block(command::explain::request(&options, &client()?, page))
        }
        Command::ExplainJob(options) => block(command::explain::job(&options, &client()?, page)),
        Command::Submit(options) => block(command::submit::run(&options, &client()?, page)),
        Command::ShowJob(options) => block(command::jobs::show(&options, &client()?, page)),
        Command::CancelJob(options) => block(command::jobs::cancel(&options, &client()?, page)),
        Command::Burn(options) => block(command::burn::run(&options, &client()?, page)),
        Command::Trace(options) => command::trace::run(&options, page),
        Command::Dev(options) => dev::run(&options),
        Command::Completions(shell) => command::completions::run(shell, page),
        Command::Man(options) => command::man::run(&options, page),
    }
}

fn block(work: impl Future<Output = Result<Status, Error>>) -> Result<Status, Error> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}
