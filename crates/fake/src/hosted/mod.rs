//! The platform's store and workers, as entry VMs of `basilrackd host` meet them.

mod advice;
mod store;
mod worker;

pub use advice::HostedAdvice;
pub use store::HostedStore;
pub use store::StoreTrouble;
pub use worker::HostedWorker;
pub use worker::RunStarted;
