//! What crosses a socket: border types and peer frames.
//!
//! [`border`] is generated from `schema/border.schema.json` and committed, so that a build needs
//! no generator; `cargo test -p wire` fails when the two differ. Convert border types into those of
//! `model` where a decision begins.

pub mod border;
