//! An entry VM whose lasting state lives in the platform's store.
//!
//! Any entry VM takes callers' requests: a job is accepted once the store holds it. One entry VM
//! at a time owns the jobs under a lease in the store, decides with [`batch::Planner`], and orders
//! workers under its fencing token. All of a process runs on one thread.

pub mod clock;
pub mod confirm;
pub mod error;
pub mod metrics;
pub mod owner;
pub mod run;
pub mod state;
pub mod web;

mod claim;
mod commit;
mod orders;
mod peers;

pub use error::Error;
pub use run::run;
