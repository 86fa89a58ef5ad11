//! Border types, generated from `schema/border.schema.json`.
//!
//! `GENERATE=1 cargo test -p wire --test generated_types` writes them anew.

#![allow(clippy::all, missing_docs, reason = "generated code")]

include!("generated.rs");
