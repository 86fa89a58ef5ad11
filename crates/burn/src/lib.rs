//! Error budgets and burn rates of services and client accounts.
//!
//! A [`Ledger`] counts the requests of one entry VM in time buckets; older counts are kept at a
//! coarser resolution. Its [`Record`] is sent to other entry VMs and written to the store.
//! [`report`] sums the records of many entry VMs and states how much of each window they cover,
//! since an entry VM that crashes loses up to a minute of counts. Requests whose verdict is unknown
//! are counted separately, but consume the error budget like failed ones, because they are not
//! known to have succeeded.
//!
//! An alert fires only if the burn rate is too high in both a short and a long window, as in the
//! multi-window, multi-burn-rate alerts of the Site Reliability Workbook (Beyer et al., 2018,
//! chapter 5).

mod bucket;
mod coverage;
mod ledger;
mod report;

pub use bucket::Counts;
pub use coverage::Span;
pub use ledger::Ledger;
pub use ledger::MAX_SERIES;
pub use ledger::Outcome;
pub use ledger::Record;
pub use ledger::Series;
pub use report::Alert;
pub use report::Report;
pub use report::SeriesReport;
pub use report::Window;
pub use report::WindowReport;
pub use report::report;
