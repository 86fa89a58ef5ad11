//! The operators' command line: changes the configuration, reads what the system says back, and
//! runs a whole system in one process for trials.

pub mod app;
pub mod chart;
pub mod client;
pub mod command;
pub mod dev;
pub mod error;
pub mod files;
pub mod options;
pub mod output;
pub mod run;
pub mod status;
