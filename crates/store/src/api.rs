//! What the store offers, apart from how it is reached.

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

/// Why a call is made, most urgent first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, AsRefStr, Display, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// Holding a placement shard.
    Ownership,
    /// Holding a place among the entry VMs.
    Membership,
    /// Making a decision durable.
    Commit,
    /// Reading or changing the configuration.
    Configuration,
    /// Showing something to an operator.
    Report,
}

/// Id of a lease of the store.
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

/// All entries under a prefix, as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The entries, by key.
    pub entries: Vec<Entry>,
    /// The store revision that they show. A watch goes on from the next one.
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
    /// The key had another version; nothing changed.
    Conflict {
        /// What the key holds instead.
        current: Option<Entry>,
    },
}

/// A lease that was just granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// Time to live, as the store granted it.
    pub ttl: Duration,
    /// When the call left. The holder counts the time to live from here.
    pub sent: Instant,
}

/// Outcome of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The lease goes on.
    Renewed {
        /// Time to live, as the store granted it.
        ttl: Duration,
        /// When the call left. The holder counts the time to live from here.
        sent: Instant,
    },
    /// The lease has expired or was revoked, and its keys are gone.
    Gone,
}

/// What a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was set.
    Put(Entry),
    /// A key was deleted or its lease expired.
    Delete {
        /// The key.
        key: String,
        /// Store revision of the deletion.
        version: u64,
    },
    /// Everything up to a revision has been reported.
    Current {
        /// The revision.
        revision: u64,
    },
    /// Changes before a revision are lost. List again; the watch itself goes on from there.
    Compacted {
        /// The first revision that the watch can still report.
        revision: u64,
    },
    /// The store is out of reach. What comes next is late, but complete.
    Lost {
        /// The last revision that was reported.
        revision: u64,
    },
}

/// The platform's key-value store.
///
/// # Errors
/// Every call may fail; [`Error::verdict`] says whether it may have taken effect.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(
        &self,
        purpose: Purpose,
        key: &str,
    ) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys under a prefix, as of one revision.
    fn list(
        &self,
        purpose: Purpose,
        prefix: &str,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Sets a key whatever it holds.
    fn put(
        &self,
        purpose: Purpose,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Sets a key if its version is `expect`; 0 stands for an absent key.
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

    /// Takes out a lease. Keys set under it vanish with it.
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

    /// Ends a lease; one that is already gone is no error.
    fn revoke(
        &self,
        purpose: Purpose,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reports every change under a prefix from revision `from` on, in order.
    fn watch(&self, purpose: Purpose, prefix: &str, from: u64) -> Watch;
}
