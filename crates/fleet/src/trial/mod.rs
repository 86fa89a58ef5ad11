//! Simulation of whole fleets with a fake store and a lossy network.
//!
//! The seed determines everything: delays, losses, pauses, cuts, restarts and the operators'
//! changes. A run asserts the invariants while faults are injected; then the faults end, and the
//! run asserts that all members agree within [`CONVERGENCE_TIMEOUT`].

mod checks;
mod fake_store;
mod faults;
mod operator;
mod plan;
mod report;
mod world;

pub use checks::CONVERGENCE_TIMEOUT;
pub use plan::Faults;
pub use plan::Plan;
pub use plan::Site;
pub use report::Report;
pub use world::run;
