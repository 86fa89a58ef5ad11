//! Simulated store, workers and advice service of the platform that `basilrackd host` connects to.

mod advice;
mod bodies;
mod store;
mod worker;

pub use advice::HostedAdvice;
pub use bodies::HostedConfiguration;
pub use bodies::hosted_job;
pub use store::HostedStore;
pub use store::HostedStoreFaults;
pub use store::HostedStorePort;
pub use worker::HostedWorker;
pub use worker::RunStarted;
