//! Spread of the configuration in simulated time.

fn main() {}
