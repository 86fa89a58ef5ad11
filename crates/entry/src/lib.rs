//! One entry VM: connects the decision crates to sockets.
//!
//! Each part is one task that owns one decision machine and takes commands from a bounded queue:
//! [`requests`] the router, [`jobs`] the placement shards, [`members`] the fleet machine.
//! [`web`] serves callers and operators, [`relay`] asks other entry VMs, and [`node`] starts and
//! stops it all.

pub mod app;
pub mod attempt;
pub mod bounded;
pub mod clock;
pub mod configuration;
pub mod directory;
pub mod error;
pub mod jobs;
pub mod keys;
pub mod ledger;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod node;
pub mod options;
pub mod pages;
pub mod policies;
pub mod relay;
pub mod requests;
pub mod run;
pub mod views;
pub mod vms;
pub mod web;
pub mod workers;

pub use error::Error;
pub use node::Listeners;
pub use node::Node;
