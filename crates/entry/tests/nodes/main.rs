//! Entry VMs as processes and as callers see them, one module a feature.

mod bad_input;
mod stage;
mod three_processes;
