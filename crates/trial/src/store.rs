//! Fake key-value store with compare-and-swap.

use std::collections::BTreeMap;

use gang::Action;
use gang::Event;
use gang::ReadResult;
use gang::StoredPage;
use gang::WriteResult;
use model::Time;

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Vec<u8>,
}

/// Fake key-value store with compare-and-swap.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// End of its latest outage; it is unavailable before.
    pub down_until: Time,
    /// Size of the largest value written so far, in bytes.
    pub largest_bytes: usize,
    entries: BTreeMap<String, Entry>,
    /// Version of the latest write to any key.
    last_version: u64,
}

impl FakeStore {
    /// Whether it is in an outage.
    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// All pages, ordered by key.
    pub fn pages(&self) -> Vec<StoredPage> {
        let page = |(key, entry): (&String, &Entry)| StoredPage {
            key: key.clone(),
            version: entry.version,
            value: entry.value.clone(),
        };
        self.entries.iter().map(page).collect()
    }

    /// Executes a write or a read and returns the answer.
    pub fn apply(&mut self, action: &Action) -> Event {
        match action {
            Action::Write { write, key, expect, value } => {
                let result = self.write(key, *expect, value);
                Event::Written { write: *write, result }
            }
            Action::Read { key } => {
                let result = match self.entries.get(key) {
                    Some(e) => ReadResult::Found { version: e.version, value: e.value.clone() },
                    None => ReadResult::Absent,
                };
                Event::PageRead { key: key.clone(), result }
            }
            _ => Event::Tick,
        }
    }

    fn write(&mut self, key: &str, expect: u64, value: &[u8]) -> WriteResult {
        let found = self.entries.get(key);
        let version = found.map_or(0, |entry| entry.version);
        if version != expect {
            let value = found.map(|entry| entry.value.clone()).unwrap_or_default();
            return WriteResult::Conflict { version, value };
        }
        self.last_version += 1;
        self.largest_bytes = self.largest_bytes.max(value.len());
        let entry = Entry { version: self.last_version, value: value.to_vec() };
        self.entries.insert(key.to_owned(), entry);
        WriteResult::Committed { version: self.last_version }
    }
}

/// Answer to a call during an outage.
pub fn unavailable_answer(action: &Action) -> Event {
    match action {
        Action::Write { write, .. } => {
            Event::Written { write: *write, result: WriteResult::Unavailable }
        }
        Action::Read { key } => {
            Event::PageRead { key: key.clone(), result: ReadResult::Unavailable }
        }
        _ => Event::Tick,
    }
}

/// Result of a call whose answer was lost: the outcome of a write is unknown.
pub fn unknown_answer(action: &Action) -> Event {
    match action {
        Action::Write { write, .. } => {
            Event::Written { write: *write, result: WriteResult::Unknown }
        }
        other => unavailable_answer(other),
    }
}
