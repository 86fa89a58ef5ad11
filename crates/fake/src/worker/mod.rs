//! Simulated workers.
//!
//! A worker grants leases on its accelerators, runs simulated tasks under these leases, and kills
//! the tasks of a lease that lapses. All workers of a fleet share one listener, each under its own
//! path:
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
//! An attempt that was released, stopped or lapsed is never leased again, and neither is an attempt
//! below the highest that the worker has seen, so a delayed call has no effect. Calls are
//! idempotent: a repeated call that has already taken effect gets the same answer.

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
