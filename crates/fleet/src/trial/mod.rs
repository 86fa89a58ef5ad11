//! Seeded runs of whole fleets against a stand-in store and a lossy network.
//!
//! One seed decides everything: delays, losses, pauses, cuts, restarts and what operators do. The
//! run asserts what must hold at any moment, then lets the faults end and asserts that the fleet
//! agrees within [`MAX_CONVERGENCE`].

mod checks;
mod faults;
mod operator;
mod plan;
mod report;
mod stand_in;
mod world;

pub use checks::MAX_CONVERGENCE;
pub use plan::Faults;
pub use plan::Plan;
pub use plan::Site;
pub use report::Report;
pub use world::run;
