//! Entry VMs as processes and as callers see them, one module a feature.

mod bad_input;
mod kept_connections;
mod stage;
mod three_processes;
