//! The entry VM process: connects the state machines of route, gang, fleet and burn to the network.
//!
//! Each state machine is owned by one task that takes commands from a bounded queue: [`requests`]
//! owns the router, [`jobs`] the placement shards and [`members`] the fleet membership. [`web`]
//! serves callers and operators, [`relay`] sends questions to other entry VMs, and [`node`] starts
//! and stops all of them.

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
