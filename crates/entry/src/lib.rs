//! One entry VM.
