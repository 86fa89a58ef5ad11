//! Exports the ages of the owner's views of the outside world.

use crate::state::State;
use batch::Planner;
use batch::View;
use model::Time;

/// Gauges of the views' ages.
const AGE_GAUGES: [(View, &str); 3] = [
    (View::Directory, "view_age_ms_directory"),
    (View::Evacuations, "view_age_ms_evacuations"),
    (View::Cancellations, "view_age_ms_cancellations"),
];

/// Sets the gauges of the ages of the planner's views.
pub fn show_ages(state: &State, planner: &Planner, now: Time) {
    for (view, name) in AGE_GAUGES {
        if let Some(at) = planner.view_confirmed(view) {
            state.metrics.set_gauge(name, now.since(at).as_millis() as u64);
        }
    }
}

/// Resets the ages when the ownership has ended, since only an owner follows the views.
pub fn clear_ages(state: &State) {
    for (_, name) in AGE_GAUGES {
        state.metrics.set_gauge(name, 0);
    }
}
