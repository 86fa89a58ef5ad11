//! Request and response types of the gateway, generated from `schema/gateway.schema.json`.
//!
//! `GENERATE=1 cargo test -p store --test generated_types` regenerates them.

#![allow(clippy::all, dead_code, missing_docs, reason = "generated code")]

include!("generated.rs");
