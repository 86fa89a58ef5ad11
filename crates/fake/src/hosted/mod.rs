//! The platform's store and workers, as entry VMs of `basilrackd host` meet them.

mod store;
mod worker;

pub use store::HostedStore;
pub use store::StoreTrouble;
pub use worker::HostedWorker;
pub use worker::RunStarted;
