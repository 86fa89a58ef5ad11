//! Operations of the key-value store, independent of the transport.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;
use tokio::time::Instant;

use crate::error::Error;
use crate::watch::Watch;

/// Purpose of a call, which sets its priority in the queue: the first variant is the most
/// urgent.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, AsRefStr, Display, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// Acquiring or renewing the ownership of a placement shard.
    Ownership,
    /// Registering this process as a member of the entry VMs.
    Membership,
    /// Persisting a decision.
    Commit,
    /// Reading or writing the configuration.
    Configuration,
    /// Reading data to show to an operator.
    Report,
}

/// Id of a lease, assigned by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Store revision of the last change to the key.
    pub version: u64,
}

/// All entries under a prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Entries, ordered by key.
    pub entries: Vec<Entry>,
    /// Store revision of the listing. A watch from the next revision continues it without gaps.
    pub revision: u64,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cas {
    /// The change took effect.
    Committed {
        /// The new version of the key.
        version: u64,
    },
    /// The key did not have the expected version; nothing changed.
    Conflict {
        /// Current entry of the key, or `None` if it is absent.
        current: Option<Entry>,
    },
}

/// Newly granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// Time to live granted by the store.
    pub ttl: Duration,
    /// When the request was made. The holder counts the time to live from here.
    pub sent: Instant,
}

/// Outcome of a lease renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The lease was renewed.
    Renewed {
        /// Time to live granted by the store.
        ttl: Duration,
        /// When the request was made. The holder counts the time to live from here.
        sent: Instant,
    },
    /// The lease has expired or was revoked, and its keys are gone.
    Gone,
}

/// Event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was set.
    Put(Entry),
    /// A key was deleted, or expired with its lease.
    Delete {
        /// The key.
        key: String,
        /// Store revision of the deletion.
        version: u64,
    },
    /// All changes up to this revision have been reported.
    Current {
        /// The revision.
        revision: u64,
    },
    /// Changes before this revision are no longer available and may be missing. The receiver
    /// must list the prefix again; the watch continues from here.
    Compacted {
        /// First revision that the watch can still report.
        revision: u64,
    },
    /// The store is unreachable. Later events are delayed, but none are missing.
    Lost {
        /// Last revision that was reported.
        revision: u64,
    },
}

/// The platform's key-value store.
///
/// # Errors
/// Every call may fail; [`Error::verdict`] tells whether it may have taken effect.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(
        &self,
        purpose: Purpose,
        key: &str,
    ) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys under a prefix at one revision.
    fn list(
        &self,
        purpose: Purpose,
        prefix: &str,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Sets a key unconditionally and returns its new version.
    fn put(
        &self,
        purpose: Purpose,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Sets a key if its version is `expect`; 0 means that the key must be absent.
    fn cas(
        &self,
        purpose: Purpose,
        key: &str,
        expect: u64,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Cas, Error>> + Send;

    /// Deletes a key if its version is `expect`.
    fn delete(
        &self,
        purpose: Purpose,
        key: &str,
        expect: u64,
    ) -> impl Future<Output = Result<Cas, Error>> + Send;

    /// Creates a lease. Keys attached to it are deleted when it expires or is revoked.
    fn grant(
        &self,
        purpose: Purpose,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease.
    fn keep_alive(
        &self,
        purpose: Purpose,
        lease: LeaseId,
    ) -> impl Future<Output = Result<KeepAlive, Error>> + Send;

    /// Revokes a lease. Succeeds if the lease no longer exists.
    fn revoke(
        &self,
        purpose: Purpose,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches a prefix: reports every change from revision `from` on, in order; 0 means from
    /// the next change.
    fn watch(&self, purpose: Purpose, prefix: &str, from: u64) -> Watch;
}
