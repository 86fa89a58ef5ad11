//! Tells the planner how old its views of the outside world are, and exports their ages.

use crate::state::State;
use batch::Event;
use batch::Planner;
use batch::View;
use model::Time;

/// Gauges of the views' ages.
const AGE_GAUGES: [(View, &str); 3] = [
    (View::Directory, "view_age_ms_directory"),
    (View::Evacuations, "view_age_ms_evacuations"),
    (View::Cancellations, "view_age_ms_cancellations"),
];

/// Passes the times up to which the views are complete to the planner, before each decision.
///
/// The directory and the cancellations are confirmed in the order of their events, by
/// [`Event::Viewed`] behind them. The evacuations are read together with the configuration; those
/// known have to be passed on before the confirmation.
pub fn confirm_views(state: &State, planner: &mut Planner, now: Time) {
    planner.apply(now, Event::Viewed(View::Evacuations, state.confirmed_at.get()));
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
