//! Reservations for steps that need many or whole workers.
//!
//! Without reservations, small tasks keep taking the capacity that a wide step waits for. A
//! [`Reservation`] names workers and the time at which the step is expected to fit on them. Other
//! tasks may use these workers if they end before that time or fit beside the reservation
//! (backfilling). [`search`] finds the reservation that begins first, [`RunTimes`] corrects the
//! callers' estimates of run times, and [`expected_end`] adds the reported progress.
//!
//! All functions are pure and work on borrowed views, so that any scheduler can use them.

mod amount;
mod expectation;
mod run_times;
mod search;

pub use amount::Amount;
pub use expectation::MIN_PROGRESS_PERCENT;
pub use expectation::Progress;
pub use expectation::expected_end;
pub use run_times::RunTimes;
pub use search::Demand;
pub use search::Hold;
pub use search::Release;
pub use search::Reservation;
pub use search::Tier;
pub use search::Worker;
pub use search::available_at;
pub use search::search;
