//! Changes, rollout and history of the operators' configuration.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::keys::TEXT;
use crate::members::View;
use fleet::Answer;
use fleet::Apply;
use fleet::Outcome;
use fleet::Record;
use fleet::Step;
use fleet::Wait;
use fleet::WriteId;
use model::Revision;
use model::Stamp;
use store::Cas;
use store::Purpose;
use store::Store;
use wire::border;

/// Delay before a store call without an answer is retried.
const LOST_CALL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which waiting for a rollout ends, also if some entry VMs have not confirmed it.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(14);
/// Interval at which the progress of a rollout is checked.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Replaces the configuration in the store and returns the outcome.
pub async fn apply<S: Store>(store: &S, call: &border::ApplyCall, at: Stamp) -> Outcome {
    let base = Some(Revision(call.expect));
    let write = WriteId(u64::from_str_radix(&call.write, 16).unwrap_or_default());
    let mut machine = Apply::new(&call.text, base, &call.author, write, at);
    loop {
        let answer = match machine.step() {
            Step::Finished(outcome) => return outcome.clone(),
            Step::Read => read_text(store).await,
            Step::Write { expect, value } => write_text(store, *expect, value.clone()).await,
        };
        if answer == Answer::Lost {
            tokio::time::sleep(LOST_CALL_RETRY_DELAY).await;
        }
        machine.answer(answer);
    }
}

async fn read_text<S: Store>(store: &S) -> Answer {
    match store.get(Purpose::Configuration, TEXT).await {
        Ok(Some(entry)) => Answer::Value {
            version: entry.version,
            value: Some(String::from_utf8_lossy(&entry.value).into_owned()),
        },
        Ok(None) => Answer::Value { version: 0, value: None },
        Err(_) => Answer::Lost,
    }
}

async fn write_text<S: Store>(store: &S, expect: u64, value: String) -> Answer {
    match store.cas(Purpose::Configuration, TEXT, expect, value.into(), None).await {
        Ok(Cas::Committed { .. }) => Answer::Written,
        Ok(Cas::Conflict { .. }) => Answer::Conflict,
        Err(_) => Answer::Lost,
    }
}

/// Waits until every reachable entry VM has `revision` in force, for at most 14 s.
///
/// Entry VMs that did not confirm it in time, or are unreachable, are returned as unknown.
pub async fn wait_for_rollout(
    view: &watch::Receiver<Arc<View>>,
    revision: Revision,
) -> border::ApplyAnswer {
    let wait = Wait::new(revision);
    let deadline = tokio::time::Instant::now() + ROLLOUT_TIMEOUT;
    loop {
        let progress = wait.progress(&view.borrow().fleet);
        if progress.is_done() || tokio::time::Instant::now() >= deadline {
            let unknown = progress.unknown.iter().chain(&progress.pending);
            return border::ApplyAnswer {
                revision: revision.0,
                confirmed: progress.confirmed.iter().map(ToString::to_string).collect(),
                unknown: unknown.map(ToString::to_string).collect(),
            };
        }
        tokio::time::sleep(ROLLOUT_POLL_INTERVAL).await;
    }
}

/// Reads the retained revisions from the store, newest first.
///
/// # Errors
///
/// The store call fails, or the stored record cannot be decoded.
pub async fn history<S: Store>(store: &S) -> Result<border::History, String> {
    let entry = store.get(Purpose::Report, TEXT).await.map_err(|error| error.to_string())?;
    let Some(entry) = entry else { return Ok(border::History { entries: Vec::new() }) };
    let value = String::from_utf8_lossy(&entry.value);
    let record = Record::decode(&value).map_err(|error| error.to_string())?;
    Ok(border::History { entries: history_entries(&record) })
}

fn history_entries(record: &Record) -> Vec<border::HistoryEntry> {
    let first = border::HistoryEntry {
        revision: record.revision.0,
        author: record.author.clone(),
        at_ms: record.at.0,
        changes: changes(record, record.revision),
    };
    let past = record.past.iter().map(|past| border::HistoryEntry {
        revision: past.revision.0,
        author: past.author.clone(),
        at_ms: past.at.0,
        changes: changes(record, past.revision),
    });
    std::iter::once(first).chain(past).collect()
}

/// Describes the changes of a revision; empty if its predecessor is no longer retained.
fn changes(record: &Record, revision: Revision) -> Vec<String> {
    let text = |revision: Revision| {
        let source = record.text_at(revision)?;
        text::parse("text", &source).ok()
    };
    let (Some(old), Some(new)) = (text(Revision(revision.0.saturating_sub(1))), text(revision))
    else {
        return Vec::new();
    };
    text::diff(&old, &new).iter().map(ToString::to_string).collect()
}
