//! Time for which the watch of configuration and evacuations waits.

use std::time::Duration;

use node::confirm::held_time;
use node::confirm::watch_wait;

/// Bound on starts after an evacuation.
const BOUND: Duration = Duration::from_millis(5_000);
/// Part of the bound that a start needs for its call.
const START_MARGIN: Duration = Duration::from_millis(550);
/// Longest wait that the configuration allows.
const LONGEST: Duration = Duration::from_millis(3_000);

/// Guards against starts that are held up although the store answers: a change of the configuration
/// late in a wait confirmed the evacuations only up to the beginning of that wait, and the next watch
/// waited as long again.
#[test]
fn late_change() {
    let first = watch_wait(LONGEST, Some(BOUND), Duration::ZERO);
    assert_eq!(first, BOUND / 2);
    for changed_after in [0, 500, 2_170, 2_499].map(Duration::from_millis) {
        let second = watch_wait(LONGEST, Some(BOUND), changed_after);
        assert!(changed_after + second + START_MARGIN < BOUND, "{changed_after:?}, {second:?}");
    }
    assert_eq!(
        watch_wait(LONGEST, None, BOUND),
        LONGEST,
        "without a bound the age does not matter"
    );
}

/// Guards against a configuration that counts as confirmed after the store has sent its answer: an
/// answer with a change was taken to be as recent as its arrival, however long it was on its way.
#[test]
fn changed_answer() {
    let wait = Duration::from_millis(2_000);
    for took in [30, 500, 1_990, 2_300].map(Duration::from_millis) {
        assert_eq!(held_time(took, wait, true), Duration::ZERO, "{took:?}");
        assert!(held_time(took, wait, false) < took.min(wait));
    }
    let cut_short = Duration::from_millis(800);
    assert_eq!(held_time(cut_short, wait, false), Duration::ZERO, "the watch was cut");
}
