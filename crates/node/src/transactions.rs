//! Division of an owner's commit into transactions of the store.
//!
//! The store limits the number of changes in a transaction, and the owner may end between two of
//! them. The changes of one job are therefore made together: a job whose record is gone while its
//! submission is still stored would run again.

use log::warn;

use crate::state::JOB_PREFIX;
use crate::state::RECORD_PREFIX;
use batch::JobId;
use batch::Record;
use platform::store::MAX_ENTRIES;
use platform::store::MAX_VALUE_BYTES;

/// Maximum number of changes in a transaction, beside the condition and the write of the sequence
/// key.
const MAX_TXN_WRITES: usize = MAX_ENTRIES - 2;
/// Maximum size of the changes in a transaction, in bytes, unless a single record is larger. A link
/// of 10 Mbit/s transfers it in about 50 ms.
const MAX_TXN_BYTES: usize = 48 << 10;

/// A key with its new value; `None` removes the key.
pub type Write = (String, Option<Vec<u8>>);

/// Divides the changes of `records` into transactions, in order. A job whose record is `None` is
/// removed.
pub fn split(records: &[(JobId, Option<Record>)]) -> Vec<Vec<Write>> {
    let mut transactions: Vec<Vec<Write>> = Vec::new();
    let mut bytes = 0;
    for (id, record) in records {
        let changes = job_changes(id, record.as_ref());
        let size: usize = changes.iter().map(change_size).sum();
        match transactions.last_mut() {
            Some(last)
                if last.len() + changes.len() <= MAX_TXN_WRITES
                    && bytes + size <= MAX_TXN_BYTES =>
            {
                bytes += size;
                last.extend(changes);
            }
            _ => {
                bytes = size;
                transactions.push(changes);
            }
        }
    }
    transactions
}

/// Changes that store or remove a job.
fn job_changes(id: &JobId, record: Option<&Record>) -> Vec<Write> {
    let key = format!("{RECORD_PREFIX}{id}");
    match record {
        Some(record) => vec![(key, Some(encode_record(id, record)))],
        None => vec![(key, None), (format!("{JOB_PREFIX}{id}"), None)],
    }
}

/// Encodes a record, without what only saves time if the store would refuse it as too large: one
/// refused record would block all further commits.
fn encode_record(id: &JobId, record: &Record) -> Vec<u8> {
    let value = encode_json(record);
    if value.len() <= MAX_VALUE_BYTES {
        return value;
    }
    warn!(job = &*id.0, bytes = value.len(); "record: too large; stored without checkpoints");
    let mut reduced = record.clone();
    for task in reduced.occurrences.iter_mut().flatten().flatten() {
        task.saved.clear();
        task.losses.clear();
    }
    encode_json(&reduced)
}

/// Size of a change in bytes.
fn change_size((key, value): &Write) -> usize {
    key.len() + value.as_ref().map_or(0, Vec::len)
}

/// Encodes a value of the store.
pub(crate) fn encode_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Cannot fail: JSON rejects only maps with keys other than strings, which records lack.
    serde_json::to_vec(value).unwrap_or_default()
}
