//! Reads and writes job pages in the store.

use gang::ReadResult;
use gang::WriteResult;
use model::Verdict;
use store::Cas;
use store::Purpose;
use store::Store;

/// Writes a page if its version is `expect`.
pub async fn write<S: Store>(store: &S, key: &str, expect: u64, value: Vec<u8>) -> WriteResult {
    match store.cas(Purpose::Commit, key, expect, value.into(), None).await {
        Ok(Cas::Committed { version }) => WriteResult::Committed { version },
        Ok(Cas::Conflict { current: Some(entry) }) => {
            WriteResult::Conflict { version: entry.version, value: entry.value.to_vec() }
        }
        Ok(Cas::Conflict { current: None }) => {
            WriteResult::Conflict { version: 0, value: Vec::new() }
        }
        Err(error) if error.verdict() == Verdict::NotRun => WriteResult::Unavailable,
        Err(_) => WriteResult::Unknown,
    }
}

/// Reads a page.
pub async fn read<S: Store>(store: &S, key: &str) -> ReadResult {
    match store.get(Purpose::Commit, key).await {
        Ok(Some(entry)) => {
            ReadResult::Found { version: entry.version, value: entry.value.to_vec() }
        }
        Ok(None) => ReadResult::Absent,
        Err(_) => ReadResult::Unavailable,
    }
}
