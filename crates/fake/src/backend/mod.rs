//! Backend servers of a service pool.
//!
//! A backend server runs `POST /run` once it has read the whole request and a slot is free, and
//! goes on running when the caller hangs up, as a real one does. Its answer names the request and
//! a digest of id and body, so an answer that meets the wrong request shows.

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
