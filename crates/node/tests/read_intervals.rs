//! Intervals at which the directory of workers is read.

use std::time::Duration;

use node::directory::Intervals;

/// Part of the bound that is left for the order itself.
const ORDER_MARGIN: Duration = Duration::from_millis(500);
/// Most entries in a page of the store.
const PAGE_ENTRIES: usize = 500;
/// Interval to which the rate of 200 entries a second amounted for each 350 workers.
const USUAL_PAUSE: Duration = Duration::from_millis(1_750);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Largest age of a view of `entries` entries, read in pages that each take `page`, if an attempt
/// to read a page hangs.
fn largest_age(intervals: &Intervals, entries: usize, page: Duration) -> Duration {
    let pages = entries.div_ceil(PAGE_ENTRIES) as u32;
    let pause = intervals.pause(entries, pages as usize, page * pages);
    (pause + page) * pages + intervals.timeout + page
}

/// Guards against starts on workers that have drained for seconds: the pause between two reads grew
/// with the number of entries up to 15 s, and an attempt could hang for 4 s.
#[test]
fn bounded_age() {
    for bound in [3_000, 4_000].map(millis) {
        let intervals = Intervals::new(Some(bound));
        // A page of 500 entries, a quarter of a megabyte, takes 0.25 s at 10 Mbit/s and a round trip
        // of 60 ms.
        for (entries, page) in [(48, 70), (350, 160), (3_000, 250)] {
            let age = largest_age(&intervals, entries, millis(page));
            assert!(age + ORDER_MARGIN <= bound, "{entries} entries within {bound:?}: {age:?}");
        }
    }
}

/// Guards against more frequent reads in fleets whose reads suffice for the bound.
#[test]
fn usual_fleets() {
    for bound in [None, Some(millis(3_000)), Some(millis(4_000))] {
        let intervals = Intervals::new(bound);
        assert_eq!(intervals.pause(48, 1, millis(5)), millis(1_000));
        assert_eq!(intervals.pause(350, 1, millis(12)), USUAL_PAUSE);
    }
    assert_eq!(Intervals::new(None).pause(3_000, 6, millis(300)), millis(15_000) / 6);
}
