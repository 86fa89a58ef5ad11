//! Ages of the views of the outside world on which starts rest.

use std::collections::BTreeMap;
use std::time::Duration;

use strum::AsRefStr;
use strum::VariantArray;

use crate::Planner;
use model::Time;

/// A view of the outside world that the owner reads from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, AsRefStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum View {
    /// The directory of workers: which are draining, their zones and addresses.
    Directory,
    /// The evacuated availability zones.
    Evacuations,
    /// The cancelled jobs.
    Cancellations,
}

/// Times after an acknowledged change from which starts have to respect it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewBounds {
    /// After a worker has announced that it drains; `None` sets no bound.
    pub drain: Option<Duration>,
    /// After an availability zone has been evacuated; `None` sets no bound.
    pub evacuate: Option<Duration>,
    /// After a job has been cancelled; `None` sets no bound.
    pub cancel: Option<Duration>,
}

/// When each view was last known to be complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct Views(BTreeMap<View, Time>);

impl Views {
    /// Records that a view includes all changes that were acknowledged before `at`.
    pub fn confirm(&mut self, view: View, at: Time) {
        let known = self.0.entry(view).or_insert(at);
        *known = (*known).max(at);
    }
}

impl Planner {
    /// Time up to which a view is known to be complete; `None` before its first confirmation.
    pub fn view_confirmed(&self, view: View) -> Option<Time> {
        self.views.0.get(&view).copied()
    }
}
