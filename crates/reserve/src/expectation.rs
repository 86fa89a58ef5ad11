//! Expected end of a run, from its estimated run time and its reported progress.

use std::time::Duration;

use model::Time;

/// Minimum progress from which a run's end is projected. Progress is reported in whole percent, so
/// that below it rounding and the startup of the run distort the projection.
pub const MIN_PROGRESS_PERCENT: u32 = 10;
/// Time that a run is expected to go on after its estimated end has passed, in percent of the time
/// that it has run. Estimates are rough, so such a run may take far longer.
const ESTIMATE_OVERRUN_PERCENT: u32 = 25;
/// The same after an end that was projected from progress, which is off by little.
const PROGRESS_OVERRUN_PERCENT: u32 = 5;

/// Progress that a run has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// When it was reported.
    pub at: Time,
    /// Part of the work that was done by then, in percent.
    pub percent: u32,
    /// Time in which the run did that work; `None` if that is not known, such as after a restart
    /// from a checkpoint or a takeover.
    pub took: Option<Duration>,
}

/// When a run is expected to end that began at `began` and is expected to take `run_time`.
/// [`Time::NEVER`] if neither the run time nor enough progress is known.
pub fn expected_end(
    now: Time,
    began: Time,
    run_time: Option<Duration>,
    progress: Option<Progress>,
) -> Time {
    let progress = progress.filter(|progress| progress.percent >= MIN_PROGRESS_PERCENT);
    let (end, overrun) = match (progress, run_time) {
        (Some(progress), run_time) => {
            let left = 100_u32.saturating_sub(progress.percent);
            let rest = match (progress.took, run_time) {
                (Some(took), _) => took * left / progress.percent,
                (None, Some(run_time)) => run_time * left / 100,
                (None, None) => return Time::NEVER,
            };
            (progress.at + rest, PROGRESS_OVERRUN_PERCENT)
        }
        (None, Some(run_time)) => (began + run_time, ESTIMATE_OVERRUN_PERCENT),
        (None, None) => return Time::NEVER,
    };
    if end > now { end } else { now + now.since(began) * overrun / 100 }
}
