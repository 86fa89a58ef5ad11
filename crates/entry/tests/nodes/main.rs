//! Tests of entry VM processes over HTTP, one module per feature.

mod bad_input;
mod kept_connections;
mod long_heads;
mod rolling_replacement;
mod stage;
mod store_outage;
mod three_processes;
mod traffic;
