//! Evacuation of availability zones: their workers get no new runs.

use std::collections::BTreeSet;

use crate::Planner;

impl Planner {
    /// Replaces the set of evacuated availability zones.
    pub(crate) fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        if self.evacuated != zones {
            self.evacuated = zones;
            self.replan = true;
        }
    }

    /// Evacuated availability zones.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }
}
