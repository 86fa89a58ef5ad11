//! Job decisions.
