//! Exports the ages of the owner's views of the outside world.

use crate::state::State;
use batch::Planner;
use batch::View;
use model::Time;

/// Sets the gauges of the ages of the planner's views.
pub fn show_ages(state: &State, planner: &Planner, now: Time) {
    for (view, name) in [
        (View::Directory, "view_age_ms_directory"),
        (View::Evacuations, "view_age_ms_evacuations"),
        (View::Cancellations, "view_age_ms_cancellations"),
    ] {
        if let Some(at) = planner.view_confirmed(view) {
            state.metrics.set_gauge(name, now.since(at).as_millis() as u64);
        }
    }
}
