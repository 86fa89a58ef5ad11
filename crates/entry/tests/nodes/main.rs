//! Entry VMs as processes and as callers see them, one module a feature.

mod bad_input;
mod kept_connections;
mod rolling_replacement;
mod stage;
mod store_outage;
mod three_processes;
mod traffic;
