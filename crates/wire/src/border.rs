//! Types of the HTTP API, generated from `schema/border.schema.json`.
//!
//! `GENERATE=1 cargo test -p wire --test generated_types` regenerates them.

#![allow(clippy::all, missing_docs, reason = "generated code")]

include!("generated.rs");
