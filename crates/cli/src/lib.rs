//! The operators' command line: changes the configuration, reads what the system says back, and
//! runs a whole system in one process for trials.

pub mod app;
pub mod dev;
pub mod error;
pub mod options;
pub mod run;
pub mod status;
