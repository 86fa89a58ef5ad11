//! What crosses a socket: border types and peer frames.
//!
//! [`border`] is generated from `schema/border.schema.json` and committed, so that a build needs
//! no generator; `cargo test -p wire` fails when the two differ. Convert border types into those of
//! `model` where a decision begins. A [`Frame`] is one message between entry VMs.

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
