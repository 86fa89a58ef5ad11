//! Client of the platform's key-value store.
//!
//! The store serves the JSON gateway of etcd v3, of which this crate uses a subset: range, put,
//! transactions with one comparison, leases and watches. Every call has a purpose, which sets its
//! priority, and a deadline. Calls pass one bounded priority queue with a rate limit. Reads and
//! lease calls that get no response are retried once on a new connection. Writes are not retried:
//! [`Error::verdict`] tells whether a failed one may have taken effect, and [`resolve_cas`]
//! determines the outcome of a compare-and-swap.

mod api;
mod attempt;
mod client;
mod config;
mod connection;
mod counters;
mod error;
mod gate;
mod gateway;
mod queue;
mod settle;
mod types;
mod watch;

pub use api::Cas;
pub use api::Entry;
pub use api::KeepAlive;
pub use api::Lease;
pub use api::LeaseId;
pub use api::Listing;
pub use api::Purpose;
pub use api::Store;
pub use api::WatchEvent;
pub use client::Client;
pub use config::Config;
pub use counters::Count;
pub use counters::Counters;
pub use counters::Outcome;
pub use error::Error;
pub use gateway::DecodeError;
pub use gateway::LeaseGrant;
pub use gateway::WatchLine;
pub use gateway::parse_grant;
pub use gateway::parse_range;
pub use gateway::parse_renewal;
pub use gateway::parse_txn;
pub use gateway::parse_watch;
pub use queue::Admission;
pub use queue::Queue;
pub use queue::Ticket;
pub use settle::CasResolution;
pub use settle::resolve_cas;
pub use watch::Watch;
