//! Implementations of the commands, one module each.

pub mod apply;
pub mod burn;
pub mod check;
pub mod completions;
pub mod diff;
pub mod explain;
pub mod history;
pub mod jobs;
pub mod man;
pub mod status;
pub mod submit;
pub mod text;
pub mod trace;
