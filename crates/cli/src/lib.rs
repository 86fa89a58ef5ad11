//! The operators' command line `basilrack`: applies configurations, submits jobs, reports the state
//! of the system, and runs a complete system in one process for local testing.

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
