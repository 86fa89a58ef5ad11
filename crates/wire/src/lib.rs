//! Message types of the HTTP API and framing of messages between entry VMs.
//!
//! [`border`] holds the API types. They are generated from `schema/border.schema.json` and
//! committed, so that a build needs no generator; `cargo test -p wire` fails when the two differ.
//! Convert API types into those of `model` before applying any logic to them. A [`Frame`] is one
//! message between entry VMs.

pub mod border;
mod frame;

pub use frame::DecodeError;
pub use frame::EncodeError;
pub use frame::Frame;
pub use frame::Hello;
pub use frame::MAX_BODY_LEN;
pub use frame::MAX_FRAME_LEN;
pub use frame::PROTOCOL_VERSION;
pub use frame::Subsystem;
pub use frame::decode;
pub use frame::encode;
