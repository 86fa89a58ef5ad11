//! Reads and writes job pages in the store.

use gang::ReadResult;
use gang::StoredPage;
use gang::WriteResult;
use model::ShardId;
use model::Verdict;
use store::Cas;
use store::Purpose;
use store::Store;

/// Key prefix of basilrack, which shares the store with other programs.
const ROOT: &str = "basilrack/";

/// Lists all job pages of a shard.
///
/// # Errors
///
/// The store call fails.
pub async fn list<S: Store>(store: &S, shard: &ShardId) -> Result<Vec<StoredPage>, store::Error> {
    let prefix = format!("{ROOT}{}", gang::page_prefix(shard));
    let listing = store.list(Purpose::Commit, &prefix).await?;
    let pages = listing.entries.into_iter().map(|entry| StoredPage {
        key: entry.key.strip_prefix(ROOT).unwrap_or(&entry.key).to_owned(),
        version: entry.version,
        value: entry.value.to_vec(),
    });
    Ok(pages.collect())
}

/// Writes a page by compare-and-swap: only if its version is `expect`, where 0 means absent.
pub async fn write<S: Store>(store: &S, key: &str, expect: u64, value: Vec<u8>) -> WriteResult {
    match store.cas(Purpose::Commit, &format!("{ROOT}{key}"), expect, value.into(), None).await {
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
    match store.get(Purpose::Commit, &format!("{ROOT}{key}")).await {
        Ok(Some(entry)) => {
            ReadResult::Found { version: entry.version, value: entry.value.to_vec() }
        }
        Ok(None) => ReadResult::Absent,
        Err(_) => ReadResult::Unavailable,
    }
}
