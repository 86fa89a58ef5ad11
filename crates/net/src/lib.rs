//! Networking: links between entry VMs, connections to backend servers, and HTTP clients.
//!
//! [`peer`] links entry VMs with each other. [`pool`] sends requests to backend servers and proves
//! whether they were sent. [`call`] sends single HTTP calls on keep-alive connections and returns
//! the raw response. [`rest`] is a JSON client for the platform's interfaces.

pub mod call;
mod counted;
pub mod peer;
pub mod pool;
pub mod rest;

pub use call::CallError;
pub use call::Caller;
pub use call::Reply;
pub use peer::PeerEvent;
pub use peer::Peers;
pub use peer::SendError;
pub use pool::Dispatch;
pub use pool::Outcome;
pub use pool::Pool;
pub use pool::Reuse;
pub use rest::Rest;
pub use rest::RestError;
