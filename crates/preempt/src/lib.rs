//! Choice of the runs to stop in favour of an urgent step.
//!
//! Pure functions over borrowed views: a scheduler describes its workers as [`Site`]s and the runs
//! that may be stopped as [`Victims`], and gets back a [`Plan`] that places all missing tasks of a
//! step, or nothing. Runs that have to be stopped together form one [`Group`], whose cost is paid
//! once and whose capacity is freed on all of its sites. [`plan_groups`] searches for a cheap set of
//! groups; [`plan_runs`] chooses task by task and counts what a group frees on one site only.

mod cost;
mod groups;
mod runs;
mod site;
mod trial;
mod victims;

pub use cost::Loss;
pub use groups::plan_groups;
pub use runs::plan_runs;
pub use site::Amount;
pub use site::Site;
pub use victims::Ending;
pub use victims::Group;
pub use victims::Plan;
pub use victims::Request;
pub use victims::Victims;
