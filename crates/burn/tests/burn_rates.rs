//! Window counts, alerts and coverage in the burn report.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use burn::Alert;
use burn::Ledger;
use burn::Outcome;
use burn::Record;
use burn::Report;
use burn::Series;
use model::ServiceId;
use model::Stamp;
use model::VmId;

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;
/// Milliseconds since the Unix epoch, at a time in 2026.
const START: u64 = 1_780_000_000_000;

fn series() -> Series {
    Series { service: "tickets".into(), account: "growers".into() }
}

fn objectives() -> BTreeMap<ServiceId, f64> {
    BTreeMap::from([("tickets".into(), 0.99)])
}

fn count(ledger: &mut Ledger, at: u64, good: u64, bad: u64, unknown: u64) {
    for (number, outcome) in
        [(good, Outcome::Good), (bad, Outcome::Bad), (unknown, Outcome::Unknown)]
    {
        for _ in 0..number {
            ledger.count(Stamp(at), &series(), outcome);
        }
    }
}

fn report(records: &[Record], live: &[&str], now: u64) -> Report {
    let live: BTreeSet<VmId> = live.iter().map(|vm| VmId::new(vm)).collect();
    burn::report(records, &live, &objectives(), Stamp(now))
}

#[test]
fn sustained_failure() {
    let mut ledger = Ledger::new("a".into(), Stamp(START));
    for minute in 0..60 {
        count(&mut ledger, START + minute * MINUTE, 80, 10, 10);
    }
    let now = START + 60 * MINUTE;
    let report = report(&[ledger.record(Stamp(now))], &["a"], now);
    let line = &report.lines[0];
    assert!((line.windows[0].burn - 20.0).abs() < 1e-9, "{line:?}");
    assert_eq!(line.windows[1].counts.unknown * 8, line.windows[1].counts.good);
    assert_eq!(line.alert, Some(Alert::Fast));
    assert_eq!(line.left, 0.0);
}

#[test]
fn short_burst() {
    let mut ledger = Ledger::new("a".into(), Stamp(START));
    for minute in 0..59 {
        count(&mut ledger, START + minute * MINUTE, 1_000, 0, 0);
    }
    count(&mut ledger, START + 59 * MINUTE, 50, 50, 0);
    let now = START + 60 * MINUTE;
    let report = report(&[ledger.record(Stamp(now))], &["a"], now);
    let line = &report.lines[0];
    assert_eq!(line.alert, None, "the fast alert needs a high burn rate over the whole hour too");
    assert!(line.windows[0].burn > line.windows[1].burn);
}

#[test]
fn gap_between_processes() {
    let mut first = Ledger::new("a".into(), Stamp(START));
    count(&mut first, START + MINUTE, 10, 0, 0);
    let last_record = first.record(Stamp(START + 30 * MINUTE));
    // The process crashes 1 minute after its last record; its successor starts 1 minute later.
    let mut second = Ledger::new("a".into(), Stamp(START + 32 * MINUTE));
    second.inherit(&last_record);
    count(&mut second, START + 40 * MINUTE, 5, 0, 0);
    let now = START + 60 * MINUTE;
    let report = report(&[second.record(Stamp(now))], &["a"], now);
    let hour = &report.lines[0].windows[1];
    assert_eq!(hour.counts.good, 15);
    assert!((hour.covered - 58.0 / 60.0).abs() < 1e-9, "{hour:?}");
}

#[test]
fn time_before_recording() {
    let mut ledger = Ledger::new("a".into(), Stamp(START));
    count(&mut ledger, START, 1, 0, 0);
    let now = START + 3 * HOUR;
    let report = report(&[ledger.record(Stamp(now))], &["a"], now);
    let coverage: Vec<f64> = report.lines[0].windows.iter().map(|w| w.covered).collect();
    assert_eq!(coverage[..2], [1.0, 1.0]);
    assert!((coverage[2] - 0.5).abs() < 1e-9, "the time before the first span is not covered");
}

#[test]
fn outdated_record() {
    let mut running = Ledger::new("a".into(), Stamp(START));
    let mut outdated = Ledger::new("b".into(), Stamp(START));
    count(&mut running, START + MINUTE, 1, 0, 0);
    count(&mut outdated, START + MINUTE, 0, 1, 0);
    let now = START + HOUR;
    let records = [running.record(Stamp(now)), outdated.record(Stamp(START + HOUR / 2))];
    let if_stopped = report(&records, &["a"], now);
    assert_eq!(
        if_stopped.lines[0].windows[1].covered, 1.0,
        "a stopped VM does not reduce the coverage"
    );
    let if_live = report(&records, &["a", "b"], now);
    assert!((if_live.lines[0].windows[1].covered - 0.75).abs() < 1e-9);
    assert_eq!(if_live.lines[0].windows[1].counts.total(), 2);
}

#[test]
fn inherited_overlap_ignored() {
    let mut ledger = Ledger::new("a".into(), Stamp(START));
    count(&mut ledger, START, 3, 0, 0);
    let record = ledger.record(Stamp(START + MINUTE));
    ledger.inherit(&record);
    let report = report(&[ledger.record(Stamp(START + MINUTE))], &["a"], START + MINUTE);
    assert_eq!(report.lines[0].windows[0].counts.good, 3);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        cases: 64,
        ..ProptestConfig::default()
    })]

    #[test]
    fn order_is_irrelevant(events in prop::collection::vec((0..HOUR, 0..3_u8), 0..200)) {
        let record_of = |events: &[(u64, u8)]| {
            let mut ledger = Ledger::new("a".into(), Stamp(START));
            for (at, kind) in events {
                let outcome = [Outcome::Good, Outcome::Bad, Outcome::Unknown][usize::from(*kind)];
                ledger.count(Stamp(START + at), &series(), outcome);
            }
            ledger.record(Stamp(START + HOUR))
        };
        let mut reversed = events.clone();
        reversed.reverse();
        prop_assert_eq!(record_of(&events), record_of(&reversed));
        let whole = report(&[record_of(&events)], &["a"], START + HOUR);
        let halves = events.split_at(events.len() / 2);
        let halves = [record_of(halves.0), record_of(halves.1)];
        let split = report(&halves, &["a"], START + HOUR);
        prop_assert_eq!(whole, split);
    }
}
