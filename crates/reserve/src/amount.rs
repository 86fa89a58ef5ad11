//! Amounts of resources, whose dimensions each scheduler defines itself.

use std::fmt::Debug;

/// Amount of resources that a task needs or a worker has.
pub trait Amount: Copy + Debug + Default {
    /// How many times `need` fits into this amount.
    fn copies(&self, need: &Self) -> u64;

    /// Adds `other`, saturating at the largest number in each dimension.
    fn add(&mut self, other: &Self);

    /// Returns the difference to `other`, saturating at zero in each dimension.
    fn less(&self, other: &Self) -> Self;
}
