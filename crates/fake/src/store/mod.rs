//! Simulated key-value store with the JSON gateway of etcd.

mod answer;
mod faults;
mod feeder;
mod gateway;
mod kv;
mod record;
mod server;

pub use faults::AnswerLoss;
pub use faults::StoreFaults;
pub use record::CallKind;
pub use server::StoreServer;
