//! Workers and their resources, as the search sees them.

/// Amount of resources, such as cores, memory and accelerators together.
pub trait Amount: Copy + Default {
    /// Whether this amount fits into `free`.
    fn fits(&self, free: &Self) -> bool;

    /// How many times `need` fits into this amount.
    fn copies(&self, need: &Self) -> u64;

    /// Adds `other`, saturating at the largest amount.
    fn add(&mut self, other: &Self);

    /// Returns the difference to `other`, saturating at zero.
    fn less(&self, other: &Self) -> Self;
}

/// A worker on which tasks of the step may be placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Site<'a, A> {
    /// Free capacity beside reservations.
    pub free: A,
    /// Reserved capacity that runs being stopped still use. What further runs free covers this
    /// first.
    pub owed: A,
    /// Number of further tasks of the step that may be placed here, whatever is free; zero for a
    /// site that does not suit the step.
    pub room: u32,
    /// Rack of the worker.
    pub rack: &'a str,
    /// Whether the worker may be the cause of recent failures.
    pub suspect: bool,
    /// Whether runs make less progress on the worker than elsewhere.
    pub slow: bool,
}

impl<A: Amount> Site<'_, A> {
    /// Adds the capacity of a run that could be stopped here, as far as no reservation needs it.
    pub(crate) fn release(&mut self, amount: &A) {
        let owed = self.owed;
        self.owed = owed.less(amount);
        self.free.add(&amount.less(&owed));
    }

    /// Number of tasks of `need` that fit into the free capacity.
    pub(crate) fn copies(&self, need: &A) -> u32 {
        if self.room == 0 || !need.fits(&self.free) {
            return 0;
        }
        self.room.min(u32::try_from(self.free.copies(need)).unwrap_or(u32::MAX))
    }
}
