//! Error budgets and burn rates of services and client accounts.
//!
//! A [`Ledger`] counts the requests of one entry VM in buckets that grow coarser with age. Its
//! [`Record`] travels to peers and to the store. [`report`] adds records of many entry VMs up and
//! says how much of each window they cover, since an entry VM that dies takes up to a minute of
//! counts with it. Requests whose verdict is unknown are counted apart; they spend the budget like
//! failed ones, because nobody can say that they were good.
//!
//! Alerts need two windows to agree, after the multi-window, multi-burn-rate alerts of the Site
//! Reliability Workbook (Beyer et al., 2018, chapter 5).

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
