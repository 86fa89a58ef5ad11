//! Simulated platform services with fault injection, for tests and `basilrack dev`.
//!
//! Each service is an HTTP server on its own loopback port. It runs on the caller's tokio runtime
//! until it is dropped. Faults can be changed while it runs, and all random behaviour is derived
//! from a seed. The services record the calls that they received and what they executed, so that a
//! test can compare these records with the answers that callers got.

mod backend;
mod client;
mod hosted;
mod http;
mod store;
mod vms;
mod worker;

pub use backend::ATTEMPT_HEADER;
pub use backend::Answer;
pub use backend::Backend;
pub use backend::BackendCounts;
pub use backend::BackendFaults;
pub use backend::BackendOptions;
pub use backend::BackendPool;
pub use backend::REQUEST_HEADER;
pub use backend::ServiceTime;
pub use backend::VERDICT_HEADER;
pub use backend::digest;
pub use client::Connection;
pub use client::Reply;
pub use client::get;
pub use client::post;
pub use client::send;
pub use hosted::HostedAdvice;
pub use hosted::HostedConfiguration;
pub use hosted::HostedStore;
pub use hosted::HostedStoreFaults;
pub use hosted::HostedStorePort;
pub use hosted::HostedWorker;
pub use hosted::RunStarted;
pub use hosted::hosted_job;
pub use http::Address;
pub use store::AnswerLoss;
pub use store::CallKind;
pub use store::StoreFaults;
pub use store::StoreServer;
pub use vms::Place;
pub use vms::VmServer;
pub use worker::Ending;
pub use worker::Gang;
pub use worker::Run;
pub use worker::TaskTimes;
pub use worker::Violation;
pub use worker::WorkerFaults;
pub use worker::WorkerFleet;
pub use worker::WorkerOptions;
