//! Changes to the operators' configuration, as they come through this entry VM.

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

/// Pause before a store call without an answer is repeated.
const LOST_CALL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time that a change is given to be in force everywhere.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(14);
/// Pause between two looks at how far a change has spread.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Replaces the configuration and says what came of it.
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

/// Waits until every entry VM that can be heard has `revision` in force.
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

/// The kept revisions, newest first.
///
/// # Errors
///
/// The store does not answer, or holds something else.
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

/// What a revision changed, as far as the one before it is kept.
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
