//! An entry VM that keeps its persistent state in the platform's store.
//!
//! Every entry VM serves callers; a job is accepted once it is in the store. One entry VM at a time
//! owns the jobs: it holds a lease in the store, schedules with [`batch::Planner`] and sends orders
//! to the workers with its fencing token. The whole process runs on one thread.

pub mod clock;
pub mod confirm;
pub mod directory;
pub mod error;
pub mod evacuation;
pub mod freshness;
pub mod metrics;
pub mod outage;
pub mod owner;
pub mod run;
pub mod state;
pub mod transactions;
pub mod web;

mod claim;
mod clients;
mod commit;
mod orders;
mod peers;
mod views;

pub use clients::check;
pub use error::Error;
pub use run::run;
