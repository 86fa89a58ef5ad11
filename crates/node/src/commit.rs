//! Serialized writes of an owner to the store.
//!
//! Each transaction requires the revision that the previous one gave to the sequence key, and
//! writes that key. A delayed transaction therefore cannot overwrite a newer one, a transaction
//! with an unknown outcome can be sent again, and none succeeds once another VM has claimed the
//! ownership.

use std::rc::Rc;
use std::time::Duration;

use log::warn;
use tokio::time::sleep;

use crate::state::SEQUENCE_KEY;
use crate::state::State;
use crate::transactions::Write;
use crate::transactions::encode_json;
use crate::transactions::split;
use batch::JobId;
use batch::Record;
use model::Time;
use platform::store::StoreError;
use platform::store::Txn;
use platform::store::TxnOutcome;

/// Initial timeout of a transaction.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Initial pause after a refused transaction; doubles with each refusal.
const REFUSED_PAUSE_MIN: Duration = Duration::from_millis(60);
/// Maximum pause after a refused transaction.
const REFUSED_PAUSE_MAX: Duration = Duration::from_millis(500);
/// Maximum pause after a transaction with an unknown outcome; the first commit after an outage waits
/// for it.
const DOUBT_PAUSE_MAX: Duration = Duration::from_millis(200);
/// Maximum timeout of a transaction, which doubles while the outcome is unknown: a slow link may
/// need more time.
const COMMIT_TIMEOUT_MAX: Duration = Duration::from_millis(4_000);
/// Another entry VM owns the jobs, or this one's lease has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Writer of an owner's records.
#[derive(Clone, Debug)]
pub struct RecordWriter {
    /// The shared state.
    pub state: Rc<State>,
    /// Fencing token of the owner.
    pub token: u64,
    /// Store revision of the sequence key.
    pub sequence: u64,
    /// Sequence number of the last transaction of this owner.
    pub number: u64,
    /// When the last transaction that confirmed the ownership was sent.
    pub confirmed_at: Time,
}

/// Value of the sequence key.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Sequence {
    /// Fencing token of the owner.
    pub token: u64,
    /// Sequence number of the transaction.
    pub number: u64,
    /// Number of accepted jobs that have not started, by queue.
    pub waiting: std::collections::BTreeMap<String, u64>,
}

impl Sequence {
    /// Value that a claim of the ownership writes. It differs from the value of every commit, whose
    /// token is not zero.
    pub fn claimed(waiting: std::collections::BTreeMap<String, u64>) -> Sequence {
        Sequence { token: 0, number: 0, waiting }
    }
}

impl RecordWriter {
    /// Stores records, deletes the jobs whose record is `None`, and stores the queue lengths.
    ///
    /// # Errors
    ///
    /// The ownership was lost.
    pub async fn store_records(
        &mut self,
        records: &[(JobId, Option<Record>)],
        waiting: &std::collections::BTreeMap<String, u64>,
    ) -> Result<(), OwnershipLost> {
        let mut transactions = split(records);
        if transactions.is_empty() {
            // Queue lengths are stored even without records.
            transactions.push(Vec::new());
        }
        for changes in transactions {
            self.number += 1;
            let sequence =
                Sequence { token: self.token, number: self.number, waiting: waiting.clone() };
            self.commit_chunk(&changes, &encode_json(&sequence)).await?;
        }
        Ok(())
    }

    /// Commits `changes` together with the sequence key, and retries until the outcome is known.
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
            let sent = self.state.clock.now();
            match self.state.store.commit(&txn, timeout).await {
                Ok(TxnOutcome::Done(revision)) => {
                    self.sequence = revision;
                    self.confirmed_at = sent;
                    return Ok(());
                }
                Ok(TxnOutcome::Conflict(items)) => {
                    // An earlier attempt at this transaction may have taken effect unanswered.
                    let stored = items.iter().find(|item| item.key == SEQUENCE_KEY);
                    return match stored {
                        Some(item) if item.value.as_deref() == Ok(sequence) => {
                            self.sequence = item.revision;
                            Ok(())
                        }
                        _ => Err(OwnershipLost),
                    };
                }
                Ok(TxnOutcome::NoLease) => return Err(OwnershipLost),
                Err(StoreError::Refused(error)) => {
                    warn!(error = error.as_str(), number = self.number;
                        "commit: refused; retrying");
                    sleep(pause).await;
                    pause = (pause * 2).min(REFUSED_PAUSE_MAX);
                }
                Err(error) => {
                    warn!(error = error.to_string().as_str(), number = self.number;
                        "commit: in doubt, again");
                    timeout = (timeout * 2).min(COMMIT_TIMEOUT_MAX);
                    // A store that resets connections fails each call at once.
                    sleep(pause).await;
                    pause = (pause * 2).min(DOUBT_PAUSE_MAX);
                }
            }
        }
    }
}
