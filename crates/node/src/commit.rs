//! Stores the records of an owner, one commit after the other.
//!
//! Each transaction depends on the sequence key as the last one left it, and writes it anew. So a
//! commit that is carried out late cannot pass a newer one, one in doubt can be sent again, and
//! none passes once another VM has claimed the ownership.

use std::rc::Rc;
use std::time::Duration;

use log::warn;
use tokio::time::sleep;

use crate::state::JOB_PREFIX;
use crate::state::RECORD_PREFIX;
use crate::state::SEQUENCE_KEY;
use crate::state::State;
use batch::JobId;
use batch::Record;
use platform::store::MAX_ENTRIES;
use platform::store::StoreError;
use platform::store::Txn;
use platform::store::TxnOutcome;

/// Limit on one transaction.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a refused transaction, at first.
const REFUSED_PAUSE_MIN: Duration = Duration::from_millis(60);
/// Longest pause after a refused transaction.
const REFUSED_PAUSE_MAX: Duration = Duration::from_millis(500);
/// Longest limit, for a transaction that did not get through a slow link in time.
const COMMIT_TIMEOUT_MAX: Duration = Duration::from_millis(4_000);
/// Writes in one transaction: beside them it holds the sequence key's condition and its write.
const MAX_TXN_WRITES: usize = MAX_ENTRIES - 2;
/// Bytes in one transaction, unless a single record is longer: a link of 10 Mbit/s carries them in
/// about 50 ms.
const MAX_TXN_BYTES: usize = 48 << 10;

/// A key with its new value, or none for its removal.
type Write = (String, Option<Vec<u8>>);

/// The ownership was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Writes of one owner.
#[derive(Clone, Debug)]
pub struct RecordWriter {
    /// The shared state.
    pub state: Rc<State>,
    /// Fencing token of the owner.
    pub token: u64,
    /// Store revision of the sequence key.
    pub sequence: u64,
    /// Number of the last transaction.
    pub number: u64,
}

/// What the sequence key holds.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Sequence {
    /// Fencing token of the owner.
    pub token: u64,
    /// Number of the transaction.
    pub number: u64,
    /// Jobs of each queue that were accepted and have not begun.
    pub waiting: std::collections::BTreeMap<String, u64>,
}

impl RecordWriter {
    /// Stores records and the lengths of the queues.
    ///
    /// # Errors
    ///
    /// Another VM owns the jobs now.
    pub async fn store_records(
        &mut self,
        records: &[(JobId, Option<Record>)],
        waiting: &std::collections::BTreeMap<String, u64>,
    ) -> Result<(), OwnershipLost> {
        let mut writes: Vec<Write> = Vec::new();
        for (id, record) in records {
            let key = format!("{RECORD_PREFIX}{id}");
            match record {
                Some(record) => writes.push((key, Some(encode_json(record)))),
                None => writes.extend([(key, None), (format!("{JOB_PREFIX}{id}"), None)]),
            }
        }
        let mut remaining = writes.as_slice();
        // Without records the queues' lengths are still written.
        loop {
            let (chunk, after) = remaining.split_at(chunk_len(remaining));
            remaining = after;
            self.number += 1;
            let sequence =
                Sequence { token: self.token, number: self.number, waiting: waiting.clone() };
            self.commit_chunk(chunk, &encode_json(&sequence)).await?;
            if remaining.is_empty() {
                return Ok(());
            }
        }
    }

    async fn commit_chunk(
        &mut self,
        changes: &[Write],
        sequence: &[u8],
    ) -> Result<(), OwnershipLost> {
        let mut writes: Vec<(&str, &[u8], Option<u64>)> = Vec::new();
        let mut deletes = Vec::new();
        for (key, value) in changes {
            match value {
                Some(value) => writes.push((key, value, None)),
                None => deletes.push(key.as_str()),
            }
        }
        writes.push((SEQUENCE_KEY, sequence, None));
        let txn = Txn { conditions: vec![(SEQUENCE_KEY, self.sequence)], writes, deletes };
        let mut pause = REFUSED_PAUSE_MIN;
        let mut timeout = COMMIT_TIMEOUT;
        loop {
            match self.state.store.commit(&txn, timeout).await {
                Ok(TxnOutcome::Done(revision)) => {
                    self.sequence = revision;
                    return Ok(());
                }
                Ok(TxnOutcome::Conflict(items)) => {
                    // An earlier try of this very transaction may have taken effect unseen.
                    let stored = items.iter().find(|item| item.key == SEQUENCE_KEY);
                    return match stored {
                        Some(item) if item.value == sequence => {
                            self.sequence = item.revision;
                            Ok(())
                        }
                        _ => Err(OwnershipLost),
                    };
                }
                Ok(TxnOutcome::NoLease) => return Err(OwnershipLost),
                Err(StoreError::Refused(error)) => {
                    warn!(error = error.as_str(), number = self.number; "commit: refused, again");
                    sleep(pause).await;
                    pause = (pause * 2).min(REFUSED_PAUSE_MAX);
                }
                Err(error) => {
                    warn!(error = error.to_string().as_str(), number = self.number;
                        "commit: in doubt, again");
                    timeout = (timeout * 2).min(COMMIT_TIMEOUT_MAX);
                }
            }
        }
    }
}

/// How many of the first writes go into one transaction.
fn chunk_len(writes: &[Write]) -> usize {
    let mut bytes = 0;
    let fits = |(key, value): &&Write| {
        bytes += key.len() + value.as_ref().map_or(0, Vec::len);
        bytes <= MAX_TXN_BYTES
    };
    let fitting_count = writes.iter().take(MAX_TXN_WRITES).take_while(fits).count();
    fitting_count.max(1).min(writes.len())
}

fn encode_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Records have text keys only, the one thing that JSON could refuse.
    serde_json::to_vec(value).unwrap_or_default()
}
