//! Peer channels, connections to backend servers, and a JSON client.
//!
//! [`call`] sends one call on a kept connection, [`peer`] links entry VMs with each other, [`pool`] sends requests to backend servers and proves
//! what was sent, and [`rest`] talks JSON with the platform's interfaces.

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
