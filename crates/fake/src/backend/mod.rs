//! Simulated backend servers of a service pool.
//!
//! A backend server executes a `POST /run` request once the body is read and a slot is free. As
//! with a real backend server, execution continues when the caller disconnects. The answer contains
//! the request id and a digest of id and body, so that a misrouted answer is detected.

mod faults;
mod pool;
mod record;
mod server;
mod timing;

pub use faults::BackendFaults;
pub use pool::Backend;
pub use pool::BackendOptions;
pub use pool::BackendPool;
pub use record::BackendCounts;
pub use server::ATTEMPT_HEADER;
pub use server::Answer;
pub use server::REQUEST_HEADER;
pub use server::VERDICT_HEADER;
pub use server::digest;
pub use timing::ServiceTime;
