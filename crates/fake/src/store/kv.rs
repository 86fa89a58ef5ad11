//! State machine of the store: keys, their history and leases, without clock or I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use model::Time;

/// A version of a key: its value, or its deletion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Version {
    pub(crate) revision: u64,
    pub(crate) created: u64,
    pub(crate) lease: i64,
    /// `None` if the key was deleted.
    pub(crate) value: Option<Bytes>,
}

/// A key with one of its versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) key: Bytes,
    pub(crate) version: Version,
}

impl Record {
    fn size(&self) -> usize {
        self.version.value.as_ref().map_or(0, Bytes::len)
    }
}

/// Keys from `start` up to but excluding `end`.
///
/// Only the key `start` if `end` is `None`; all keys from `start` on if `end` is a zero byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyRange {
    pub(crate) start: Bytes,
    pub(crate) end: Option<Bytes>,
}

impl KeyRange {
    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            None => self.start == key,
            Some(end) => *key >= *self.start && (end.as_ref() == [0] || *key < **end),
        }
    }

    fn bounds(&self) -> (Bound<&[u8]>, Bound<&[u8]>) {
        let start = Bound::Included(self.start.as_ref());
        match &self.end {
            None => (start, Bound::Included(self.start.as_ref())),
            Some(end) if end.as_ref() == [0] => (start, Bound::Unbounded),
            Some(end) if end < &self.start => (start, Bound::Excluded(self.start.as_ref())),
            Some(end) => (start, Bound::Excluded(end.as_ref())),
        }
    }
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    Range { key_range: KeyRange, revision: u64 },
    Put { key: Bytes, value: Bytes, lease: i64 },
    Delete { key_range: KeyRange },
}

/// Result of one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Range(Vec<Record>),
    Put,
    Delete(usize),
}

/// Error of the store, with the message of etcd.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum StoreError {
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    #[error("etcdserver: request is too large")]
    TooLarge,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Time,
    keys: BTreeSet<Bytes>,
}

/// Content of the store.
#[derive(Debug)]
pub(crate) struct Kv {
    keys: BTreeMap<Bytes, Vec<Version>>,
    changes: BTreeMap<u64, Vec<Record>>,
    leases: BTreeMap<i64, Lease>,
    revision: u64,
    compacted: u64,
    next_lease: i64,
    /// Total size of the values in `changes`, in bytes.
    history_bytes: usize,
}

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Size of the history above which its older half is compacted.
const MAX_HISTORY_BYTES: usize = 256 << 20;

impl Kv {
    pub(crate) fn new() -> Kv {
        Kv {
            keys: BTreeMap::new(),
            changes: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 1,
            compacted: 0,
            next_lease: 1,
            history_bytes: 0,
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Returns the revision of the last change of a key; 0 if the key does not exist.
    pub(crate) fn mod_revision(&self, key: &[u8]) -> u64 {
        let last = self.keys.get(key).and_then(|versions| versions.last());
        last.filter(|last| last.value.is_some()).map_or(0, |last| last.revision)
    }

    /// Executes operations atomically at one revision.
    pub(crate) fn apply(&mut self, operations: &[Operation]) -> Result<Vec<Outcome>, StoreError> {
        for operation in operations {
            self.validate(operation)?;
        }
        let mut records = Vec::new();
        let next_revision = self.revision + 1;
        let outcomes = operations
            .iter()
            .map(|operation| self.execute(operation, next_revision, &mut records))
            .collect();
        self.commit(records);
        Ok(outcomes)
    }

    /// Returns the changes in a key range from a revision on, as one list per revision.
    pub(crate) fn changes(&self, key_range: &KeyRange, from: u64) -> Vec<Vec<Record>> {
        let select = |records: &Vec<Record>| -> Vec<Record> {
            records.iter().filter(|record| key_range.contains(&record.key)).cloned().collect()
        };
        let lists = self.changes.range(from..).map(|(_, records)| select(records));
        lists.filter(|records| !records.is_empty()).collect()
    }

    /// Discards versions that were superseded at or before a revision.
    pub(crate) fn compact(&mut self, revision: u64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let compacted = self.compacted;
        self.changes = self.changes.split_off(&compacted);
        self.history_bytes = self.changes.values().flatten().map(Record::size).sum();
        for versions in self.keys.values_mut() {
            let keep = versions.iter().rposition(|version| version.revision <= compacted);
            versions.drain(..keep.unwrap_or(0));
        }
        self.keys.retain(|_, versions| {
            versions.len() > 1
                || versions.iter().any(|last| last.value.is_some() || last.revision > compacted)
        });
    }

    pub(crate) fn grant(&mut self, now: Time, id: i64, ttl: Duration) -> Result<i64, StoreError> {
        let id = if id == 0 { self.next_lease } else { id };
        if self.leases.contains_key(&id) {
            return Err(StoreError::LeaseExists);
        }
        self.next_lease = self.next_lease.max(id) + 1;
        self.leases.insert(id, Lease { ttl, expires: now + ttl, keys: BTreeSet::new() });
        Ok(id)
    }

    /// Renews a lease and returns its time to live; `None` if it does not exist.
    pub(crate) fn keep_alive(&mut self, now: Time, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    pub(crate) fn revoke(&mut self, id: i64) -> Result<(), StoreError> {
        let lease = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let mut records = Vec::new();
        let next_revision = self.revision + 1;
        for key in lease.keys {
            self.remove(&key, next_revision, &mut records);
        }
        self.commit(records);
        Ok(())
    }

    /// Ends expired leases; returns whether keys were deleted.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        let before = self.revision;
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let expired: Vec<i64> = expired.map(|(&id, _)| id).collect();
        for id in expired {
            // Cannot fail: the id was just read from the table of leases.
            let _ = self.revoke(id);
        }
        self.revision > before
    }

    pub(crate) fn leases(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    fn validate(&self, operation: &Operation) -> Result<(), StoreError> {
        match operation {
            Operation::Range { revision, .. } if *revision > self.revision => {
                Err(StoreError::FutureRevision)
            }
            Operation::Range { revision, .. } if *revision != 0 && *revision < self.compacted => {
                Err(StoreError::Compacted)
            }
            Operation::Put { value, .. } if value.len() > MAX_VALUE_BYTES => {
                Err(StoreError::TooLarge)
            }
            Operation::Put { lease, .. } if *lease != 0 && !self.leases.contains_key(lease) => {
                Err(StoreError::LeaseNotFound)
            }
            _ => Ok(()),
        }
    }

    fn execute(
        &mut self,
        operation: &Operation,
        next_revision: u64,
        records: &mut Vec<Record>,
    ) -> Outcome {
        match operation {
            Operation::Range { key_range, revision } => {
                Outcome::Range(self.range(key_range, *revision))
            }
            Operation::Put { key, value, lease } => {
                self.put(key, value, *lease, next_revision, records);
                Outcome::Put
            }
            Operation::Delete { key_range } => {
                let found = self.range(key_range, 0);
                for record in &found {
                    self.remove(&record.key, next_revision, records);
                }
                Outcome::Delete(found.len())
            }
        }
    }

    fn range(&self, key_range: &KeyRange, revision: u64) -> Vec<Record> {
        let at = if revision == 0 { u64::MAX } else { revision };
        let found = self.keys.range::<[u8], _>(key_range.bounds()).filter_map(|(key, versions)| {
            let version = versions.iter().rev().find(|version| version.revision <= at)?;
            version.value.as_ref()?;
            Some(Record { key: key.clone(), version: version.clone() })
        });
        found.collect()
    }

    fn put(
        &mut self,
        key: &Bytes,
        value: &Bytes,
        lease: i64,
        next_revision: u64,
        records: &mut Vec<Record>,
    ) {
        self.detach(key);
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.insert(key.clone());
        }
        let versions = self.keys.entry(key.clone()).or_default();
        let last = versions.last().filter(|last| last.value.is_some());
        let created = last.map_or(next_revision, |last| last.created);
        let version =
            Version { revision: next_revision, created, lease, value: Some(value.clone()) };
        versions.push(version.clone());
        records.push(Record { key: key.clone(), version });
    }

    fn remove(&mut self, key: &Bytes, next_revision: u64, records: &mut Vec<Record>) {
        self.detach(key);
        let version = Version { revision: next_revision, created: 0, lease: 0, value: None };
        self.keys.entry(key.clone()).or_default().push(version.clone());
        records.push(Record { key: key.clone(), version });
    }

    /// Detaches a key from the lease that it was written with.
    fn detach(&mut self, key: &Bytes) {
        let last = self.keys.get(key).and_then(|versions| versions.last());
        let lease = last.map_or(0, |last| last.lease);
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.remove(key);
        }
    }

    fn commit(&mut self, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        self.revision += 1;
        self.history_bytes += records.iter().map(Record::size).sum::<usize>();
        self.changes.insert(self.revision, records);
        if self.history_bytes > MAX_HISTORY_BYTES {
            self.compact(self.revision - self.changes.len() as u64 / 2);
        }
    }
}
