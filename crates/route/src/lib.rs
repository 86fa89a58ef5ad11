//! Request decisions.
