//! HTTP server that all simulated services use.

mod body;
mod link;
mod server;

pub(crate) use body::Body;
pub(crate) use body::json;
pub(crate) use body::read;
pub(crate) use body::status;
pub use server::Address;
pub(crate) use server::CloseConnection;
pub(crate) use server::Handler;
pub(crate) use server::Server;
