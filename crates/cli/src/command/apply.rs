//! `basilrack apply`: puts a configuration in force.
//!
//! The change names the revision that it was made on, so that of two operators who race one wins
//! and the other sees what was changed. It carries a write id: a call whose answer is lost is
//! repeated under the same id, and an entry VM finds that id in the store or does not. What cannot
//! be settled that way is said to be unknown.

use hyper::Method;
use serde::Serialize;

use crate::client::CallError;
use crate::client::Client;
use crate::command::diff;
use crate::error::Error;
use crate::files;
use crate::files::ConfigFile;
use crate::options::ApplyOptions;
use crate::options::Format;
use crate::output::LineKind;
use crate::output::Output;
use crate::status::Status;
use model::Verdict;
use text::Change;
use wire::border;

/// HTTP status of a change that came second.
const CONFLICT: u16 = 409;
/// HTTP status of a configuration with faults.
const REFUSED: u16 = 422;

/// What became of a change.
#[derive(Debug, Serialize)]
struct Applied<'a> {
    revision: u64,
    write: &'a str,
    changes: &'a [Change],
    confirmed: &'a [String],
    unknown: &'a [String],
}

/// Puts a configuration in force.
///
/// # Errors
///
/// The file has faults, another change came first, or the outcome is unknown.
pub async fn run(
    options: &ApplyOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
    let new = files::read_config(&options.file)?;
    let old = diff::fetch_active(client).await?;
    let changes = text::diff(&diff::parse_active(&old)?, &new.text);
    let expect = expect(options, client, &old).await?;
    if options.format == Format::Table {
        diff::write(output, &changes);
        output.flush()?;
    }
    let write = format!("{:016x}", options.write.unwrap_or_else(rand::random));
    let answer = put(options, client, &new, expect, &write).await?;
    match options.format {
        Format::Json => output.json(&Applied {
            revision: answer.revision,
            write: &write,
            changes: &changes,
            confirmed: &answer.confirmed,
            unknown: &answer.unknown,
        }),
        Format::Table => describe(options, &old, &answer, output),
    }
    output.flush()?;
    Ok(Status::Success)
}

/// The revision that the change builds on; 0 if there is no configuration at all.
async fn expect(
    options: &ApplyOptions,
    client: &Client,
    old: &border::TextAnswer,
) -> Result<u64, Error> {
    if let Some(expect) = options.expect {
        return Ok(expect);
    }
    if old.revision > 0 {
        return Ok(old.revision);
    }
    // An entry VM that has just started may not have the configuration yet; the store knows.
    let history: border::History = client.read("/v1/history").await?;
    match history.entries.first() {
        Some(entry) => Err(Error::StaleEntryVm { revision: entry.revision }),
        None => Ok(0),
    }
}

async fn put(
    options: &ApplyOptions,
    client: &Client,
    new: &ConfigFile,
    expect: u64,
    write: &str,
) -> Result<border::ApplyAnswer, Error> {
    let call = border::ApplyCall {
        author: options.author.clone(),
        expect,
        text: new.source.clone(),
        write: write.to_owned(),
    };
    let path = if options.wait { "/v1/text?wait=true" } else { "/v1/text" };
    let file = options.file.display().to_string();
    match client.write_idempotent(Method::PUT, path, Some(&call)).await {
        Ok(answer) => Ok(answer),
        Err(error) => Err(explain(error, file, expect, write)),
    }
}

fn explain(error: CallError, file: String, expect: u64, write: &str) -> Error {
    // The store was asked for this write id and does not have it, so it never will: the revision
    // that the write expects is gone.
    if let Some(problem) = error.problem().filter(|problem| problem.status == CONFLICT) {
        return Error::Conflict { detail: problem.detail.clone(), file };
    }
    match &error {
        CallError::Problem { problem, .. } if problem.status == REFUSED => Error::Call(error),
        _ if error.verdict() == Verdict::Unknown => {
            Error::ApplyUnknown { source: Box::new(error), file, expect, write: write.to_owned() }
        }
        _ => Error::Call(error),
    }
}

fn describe(
    options: &ApplyOptions,
    old: &border::TextAnswer,
    answer: &border::ApplyAnswer,
    output: &mut Output,
) {
    if answer.revision == old.revision && options.write.is_none() {
        output.line(LineKind::Plain, format!("revision {} already says this", answer.revision));
    } else {
        output.line(LineKind::Success, format!("revision {} is stored", answer.revision));
    }
    if !options.wait {
        return;
    }
    output.line(LineKind::Success, format!("in force on: {}", names(&answer.confirmed)));
    let tone = if answer.unknown.is_empty() { LineKind::Plain } else { LineKind::Warning };
    output.line(tone, format!("unknown on: {}", names(&answer.unknown)));
}

fn names(list: &[String]) -> String {
    if list.is_empty() { "none".to_owned() } else { list.join(", ") }
}
