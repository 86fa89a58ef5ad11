//! `basilrack apply`: applies a configuration.
//!
//! The change names the revision that it is based on, as in optimistic locking: of two concurrent
//! operators one succeeds, and the other is shown the conflicting change. It also carries a write
//! id: if the response is lost, the call is repeated under the same id, and an entry VM looks that
//! id up in the store. If the outcome still cannot be determined, it is reported as unknown.

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

/// HTTP status if another change was stored first.
const CONFLICT_STATUS: u16 = 409;
/// HTTP status if the configuration has faults.
const INVALID_CONFIG_STATUS: u16 = 422;

/// JSON output of `apply`.
#[derive(Debug, Serialize)]
struct ApplyReport<'a> {
    revision: u64,
    write: &'a str,
    changes: &'a [Change],
    confirmed: &'a [String],
    unknown: &'a [String],
}

/// Applies a configuration and prints the changes and the new revision.
///
/// # Errors
///
/// The file has faults, another change was stored first, or the outcome is unknown.
pub async fn run(
    options: &ApplyOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
    let new = files::read_config(&options.file)?;
    let old = diff::fetch_active(client).await?;
    let changes = text::diff(&diff::parse_active(&old)?, &new.text);
    let expect = expected_revision(options, client, &old).await?;
    if options.format == Format::Table {
        diff::write(output, &changes);
        output.flush()?;
    }
    let write = format!("{:016x}", options.write.unwrap_or_else(rand::random));
    let answer = put_config(options, client, &new, expect, &write).await?;
    match options.format {
        Format::Json => output.json(&ApplyReport {
            revision: answer.revision,
            write: &write,
            changes: &changes,
            confirmed: &answer.confirmed,
            unknown: &answer.unknown,
        }),
        Format::Table => write_outcome(options, &old, &answer, output),
    }
    output.flush()?;
    Ok(Status::Success)
}

/// Revision that the change is based on; 0 if no configuration has been stored yet.
async fn expected_revision(
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
    // An entry VM that has just started may not have loaded the configuration yet, but the history
    // is read from the store.
    let history: border::History = client.read("/v1/history").await?;
    match history.entries.first() {
        Some(entry) => Err(Error::StaleEntryVm { revision: entry.revision }),
        None => Ok(0),
    }
}

async fn put_config(
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
        Err(error) => Err(convert_error(error, file, expect, write)),
    }
}

fn convert_error(error: CallError, file: String, expect: u64, write: &str) -> Error {
    // The entry VM did not find this write id in the store. The write can no longer succeed either,
    // since the revision that it expects is no longer the latest.
    if let Some(problem) = error.problem().filter(|problem| problem.status == CONFLICT_STATUS) {
        return Error::Conflict { detail: problem.detail.clone(), file };
    }
    match &error {
        CallError::Problem { problem, .. } if problem.status == INVALID_CONFIG_STATUS => {
            Error::Call(error)
        }
        _ if error.verdict() == Verdict::Unknown => {
            Error::ApplyUnknown { source: Box::new(error), file, expect, write: write.to_owned() }
        }
        _ => Error::Call(error),
    }
}

fn write_outcome(
    options: &ApplyOptions,
    old: &border::TextAnswer,
    answer: &border::ApplyAnswer,
    output: &mut Output,
) {
    if answer.revision == old.revision && options.write.is_none() {
        output.line(
            LineKind::Plain,
            format!("revision {} already has this configuration", answer.revision),
        );
    } else {
        output.line(LineKind::Success, format!("revision {} is stored", answer.revision));
    }
    if !options.wait {
        return;
    }
    output.line(LineKind::Success, format!("in force on: {}", join_names(&answer.confirmed)));
    let kind = if answer.unknown.is_empty() { LineKind::Plain } else { LineKind::Warning };
    output.line(kind, format!("unknown on: {}", join_names(&answer.unknown)));
}

fn join_names(list: &[String]) -> String {
    if list.is_empty() { "none".to_owned() } else { list.join(", ") }
}
