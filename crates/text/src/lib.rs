//! The operators' configuration and the settings of an entry VM, both JSON with comments.
//!
//! [`parse`] reads the configuration. It rejects unknown fields, references to undeclared names,
//! dependency cycles and values out of range, and reports every fault with its line, its column and
//! a correction. [`check_guarantees`] finds guarantees that do not fit into the workers together.
//! [`diff`] compares two configurations. [`parse_settings`] and [`parse_host_settings`] read the
//! settings of one entry VM.

mod account;
mod change;
mod check;
mod config;
mod fault;
mod host;
mod pack;
mod reader;
mod service;
mod settings;
mod unit;

pub use account::Account;
pub use account::Rate;
pub use change::Change;
pub use change::diff;
pub use config::MAX_TEXT_BYTES;
pub use config::Text;
pub use config::parse;
pub use fault::Fault;
pub use fault::Position;
pub use host::HostSettings;
pub use host::IntakeBounds;
pub use host::JobBounds;
pub use host::parse_host_settings;
pub use pack::FleetSize;
pub use pack::WorkerSize;
pub use pack::ZoneSize;
pub use pack::check_guarantees;
pub use service::Objective;
pub use service::Pool;
pub use service::Service;
pub use settings::Bounds;
pub use settings::Endpoints;
pub use settings::LogFormat;
pub use settings::LogLevel;
pub use settings::Settings;
pub use settings::parse_settings;
pub use unit::Bytes;
pub use unit::Share;
