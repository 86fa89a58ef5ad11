//! Learned run times and expected ends.

use std::time::Duration;

use model::Time;
use reserve::Progress;
use reserve::RunTimes;
use reserve::expected_end;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// The ratio counts from the third run, follows a change, and is not shared by queues and steps.
#[test]
fn learned_ratio() {
    let mut times = RunTimes::default();
    let expected = |times: &RunTimes, queue, step| times.expected(queue, step, ms(2_000));
    for _ in 0..2 {
        times.record("usual", 0, ms(1_000), ms(1_500));
    }
    assert_eq!(expected(&times, "usual", 0), Some(ms(2_000)));
    times.record("usual", 0, ms(1_000), ms(1_500));
    assert_eq!(expected(&times, "usual", 0), Some(ms(3_000)));
    assert_eq!(expected(&times, "usual", 1), Some(ms(2_000)));
    assert_eq!(expected(&times, "patient", 0), Some(ms(2_000)));
    for _ in 0..100 {
        times.record("usual", 0, ms(1_000), ms(500));
    }
    let changed = expected(&times, "usual", 0).expect("estimated");
    assert!(changed < ms(1_050), "{changed:?}");
    assert_eq!(times.expected("usual", 0, Duration::ZERO), None, "no estimate to correct");
}

/// Guards against memory that grows with the names of queues, and against absurd measurements.
#[test]
fn bounded_ratios() {
    let mut times = RunTimes::default();
    for number in 0..1_000 {
        times.record(&format!("q{number}"), number, ms(1), Duration::MAX);
        times.record("steady", usize::MAX, ms(1_000), ms(2_000));
    }
    assert!(times.len() <= 128, "{} queues", times.len());
    assert_eq!(times.expected("steady", 50, ms(1_000)), Some(ms(2_000)));
    assert!(times.expected("q999", 999, Duration::MAX).is_some());
}

/// Progress decides from a tenth on; before, the estimate does. A run that outruns either is
/// expected to go on for a part of the time that it has run.
#[test]
fn expected_ends() {
    let (now, began) = (Time::from_millis(10_000), Time::from_millis(6_000));
    let end = |run_time, percent, took| {
        let progress = Progress { at: Time::from_millis(9_000), percent, took };
        expected_end(now, began, run_time, Some(progress)).micros() / 1_000
    };
    assert_eq!(end(Some(ms(5_000)), 9, Some(ms(3_000))), 11_000);
    assert_eq!(end(Some(ms(5_000)), 50, Some(ms(3_000))), 12_000);
    assert_eq!(end(Some(ms(5_000)), 60, None), 11_000);
    assert_eq!(end(Some(ms(3_000)), 5, None), 11_000);
    assert_eq!(end(Some(ms(3_000)), 99, Some(ms(3_000))), 10_200);
    assert_eq!(expected_end(now, began, None, None), Time::NEVER);
}
