//! Border types and peer frames.
