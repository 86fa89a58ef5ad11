//! Workers.
//!
//! A worker leases accelerators, runs simulated tasks under leases, and ends whatever runs under a
//! lease that lapses. All workers of a fleet share one listener, each under a path of its own:
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /w/<worker>/lease` | `LeaseCall` | `LeaseAnswer` |
//! | `POST /w/<worker>/renew` | `RenewCall` | `RenewAnswer` |
//! | `POST /w/<worker>/release` | `LeaseKey` | `TaskAnswer` |
//! | `POST /w/<worker>/start` | `StartCall` | `StartAnswer` |
//! | `POST /w/<worker>/task` | `TaskCall` | `TaskAnswer` |
//! | `GET /w/<worker>/report` | | `WorkerReport` |
//!
//! A released, stopped or lapsed attempt is never leased again, nor is one below the highest that
//! the worker has seen, so a call that arrives late does nothing. A repeated call that has already
//! taken effect is answered as before.

mod faults;
mod fleet;
mod history;
mod machine;
mod report;
mod server;
mod task;

pub use faults::WorkerFaults;
pub use fleet::WorkerFleet;
pub use fleet::WorkerOptions;
pub use history::Ending;
pub use history::Gang;
pub use history::Run;
pub use history::Violation;
pub use task::TaskTimes;
