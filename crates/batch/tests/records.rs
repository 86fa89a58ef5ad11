//! Serialized form of job records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use batch::Fate;
use batch::JobState;
use batch::Record;
use batch::TaskRecord;
use batch::WorkerId;

fn record() -> Record {
    let worker = |name: &str| Some(WorkerId(name.into()));
    let task = |run, done, place, saved: &str| TaskRecord {
        run,
        failures: BTreeSet::new(),
        done,
        place,
        saved: saved.to_owned(),
        ..TaskRecord::default()
    };
    let mut failed = task(3, false, worker("i-2"), "a;b=c!d@e");
    failed.failures = BTreeSet::from([1, 2]);
    failed.incarnation = 1_781_234_567_890;
    failed.losses =
        BTreeMap::from([(1, Fate::Crashed), (3, Fate::Silent(WorkerId("i-9".into()), 17))]);
    let step = vec![
        TaskRecord::default(),
        task(1, true, None, ""),
        task(2, false, worker("i-1"), ""),
        failed,
    ];
    Record {
        state: JobState::Running,
        begun: true,
        occurrences: vec![vec![step.clone(), Vec::new()], vec![step]],
    }
}

#[test]
fn round_trip() {
    let record = record();
    let text = serde_json::to_string(&record).expect("a JSON form");
    assert_eq!(serde_json::from_str::<Record>(&text).expect("read back"), record);
}

#[test]
fn short_form() {
    let tasks = (0..100).map(|run| TaskRecord {
        run: 1,
        place: Some(WorkerId(format!("i-{:010}", run / 8).into())),
        incarnation: 1_781_234_567_890,
        ..TaskRecord::default()
    });
    let record =
        Record { state: JobState::Running, begun: true, occurrences: vec![vec![tasks.collect()]] };
    let text = serde_json::to_string(&record).expect("a JSON form");
    assert!(text.len() < 1_200, "{} bytes: {text}", text.len());
}

#[test]
fn unreadable() {
    for task in ["x", "1@0", "1!a", "d1"] {
        let text = format!(r#"{{"state":"running","turns":[[["{task}"]]]}}"#);
        assert!(serde_json::from_str::<Record>(&text).is_err(), "{task}");
    }
}
