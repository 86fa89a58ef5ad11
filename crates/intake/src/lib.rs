//! Bounds on what clients outside our control hold in this process: bytes, connections and time.
//!
//! An [`Intake`] is shared by all listeners of a process. Each connection is registered with a
//! [`Lease`], through which the web server reports what the connection is doing. When the bytes or
//! the connections reach their limits, the oldest connection without a complete request is closed.
//! A request that has been passed on is never interrupted, because it may have run.
//!
//! There is no timer per connection: [`Intake::sweep`] closes what is overdue and returns the time
//! of its next call.

mod body;
mod connection;
mod intake;
mod limits;
mod socket;

pub use body::BodyError;
pub use body::read_body;
pub use connection::Port;
pub use connection::Reason;
pub use intake::Intake;
pub use intake::Lease;
pub use intake::Usage;
pub use limits::Limits;
pub use limits::Vm;
pub use socket::Socket;
pub use socket::refuse;
pub use socket::shrink_buffers;
