//! Pages round-trip through their encoding, and corrupt bytes give an error instead of a panic.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use gang::Attempt;
use gang::PageValue;
use gang::Part;
use gang::Record;
use gang::Stage;
use gang::WriteId;
use model::Adjacency;
use model::Epoch;
use model::Incarnation;
use model::Stamp;
use model::WorkerId;
use trial::sample;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(22),
        cases: 256,
        ..ProptestConfig::default()
    }
}

fn record(number: u64, tasks: u32, attempt: u64, cancel: bool) -> Record {
    let shape = sample::shape(tasks, 2, Adjacency::Zone);
    let mut record = Record::new(sample::job(number, "mill", shape), Stamp(number));
    record.stage = Stage::Placed;
    record.attempt = Attempt(attempt);
    record.cancel = cancel;
    let part = |first| Part {
        worker: WorkerId::new(&format!("w{first}")),
        accelerators: vec![0, 1],
        first,
        tasks: 1,
    };
    record.parts = (0..tasks).map(part).collect();
    record
}

fn encode(records: &[Record]) -> Vec<u8> {
    let borrowed: Vec<&Record> = records.iter().collect();
    PageValue::encode(Epoch(3), Incarnation(9), WriteId(7), &borrowed)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn pages_round_trip(
        jobs in prop::collection::vec((any::<u64>(), 0_u32..9, any::<u64>(), any::<bool>()), 0..20),
    ) {
        let records: Vec<Record> =
            jobs.into_iter().map(|(n, tasks, a, cancel)| record(n, tasks, a, cancel)).collect();
        let value = encode(&records);
        let page = PageValue::decode("jobs/z/000000", &value).expect("own pages decode");
        prop_assert_eq!(page.jobs, records);
        prop_assert_eq!(page.epoch, Epoch(3));
        prop_assert_eq!(page.write, WriteId(7));
    }

    #[test]
    fn broken_pages_are_errors(at in any::<prop::sample::Index>(), bits in 1_u8.., cut in any::<bool>()) {
        let records = [record(1, 3, 5, false)];
        let mut value = encode(&records);
        let at = at.index(value.len());
        match cut {
            true => value.truncate(at),
            false => value[at] ^= bits,
        }
        if let Err(error) = PageValue::decode("jobs/z/000004", &value) {
            prop_assert!(error.to_string().contains("jobs/z/000004"));
        }
        prop_assert!(!cut || PageValue::decode("k", &value).is_err());
    }
}

#[test]
fn stale_records_are_those_that_ended_long_ago() {
    let mut record = record(1, 1, 1, false);
    let keep = Duration::from_secs(10);
    assert!(!record.is_stale(Stamp(1_000_000), keep));
    record.stage = Stage::Done;
    record.ended = Stamp(1_000);
    assert!(!record.is_stale(Stamp(11_000), keep));
    assert!(record.is_stale(Stamp(11_001), keep));
}
