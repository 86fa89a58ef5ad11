//! Division of an owner's commit into transactions.

use batch::JobId;
use batch::JobState;
use batch::Record;
use batch::TaskRecord;
use node::transactions::Write;
use node::transactions::split;

/// Maximum number of changes that the store takes in one transaction beside those that every
/// transaction has.
const MAX_CHANGES: usize = 30;

fn id(number: usize) -> JobId {
    JobId(format!("{number:016x}").into())
}

/// The record of a job of some tasks.
fn record(tasks: usize) -> Record {
    let tasks = vec![TaskRecord { run: 1, done: true, ..TaskRecord::default() }; tasks];
    Record { state: JobState::Running, begun: true, occurrences: vec![vec![tasks]] }
}

/// The job that a key belongs to.
fn job((key, _): &Write) -> &str {
    key.split_once('/').expect("a key of a job").1
}

/// Guards against completed jobs that run again: the owner ended between the transactions that
/// removed a job's record and its submission.
#[test]
fn removed_jobs() {
    for changed in 0..4 {
        let records = (0..changed).map(|number| (id(number), Some(record(1))));
        let removals = (changed..changed + 400).map(|number| (id(number), None));
        let transactions = split(&records.chain(removals).collect::<Vec<_>>());
        for changes in &transactions {
            assert!(changes.len() <= MAX_CHANGES, "{} changes", changes.len());
        }
        for pair in transactions.windows(2) {
            let (last, first) = (pair[0].last().expect("a change"), &pair[1][0]);
            assert_ne!(job(last), job(first), "a job is removed in two transactions");
        }
        let changes: Vec<&Write> = transactions.iter().flatten().collect();
        assert_eq!(changes.len(), changed + 800);
        assert!(changes.is_sorted_by_key(|change| job(change)));
    }
}

/// A commit is divided by size as well; a single large record has a transaction of its own.
#[test]
fn large_records() {
    let records: Vec<_> = [10, 20_000, 10, 10].into_iter().map(record).map(Some).collect();
    let records: Vec<_> = (0..).map(id).zip(records).collect();
    let sizes: Vec<usize> = split(&records).iter().map(Vec::len).collect();
    assert_eq!(sizes, [1, 1, 2]);
    assert!(split(&[]).is_empty());
}

/// Guards against commits that are refused for ever: a record grew larger than the store takes.
#[test]
fn oversized_record() {
    let mut large = record(20_000);
    for task in large.occurrences.iter_mut().flatten().flatten() {
        task.saved = "x".repeat(60);
    }
    let transactions = split(&[(id(1), Some(large))]);
    let value = transactions[0][0].1.as_ref().expect("a record");
    assert!(value.len() <= 1 << 20, "{} bytes", value.len());
    let stored: Record = serde_json::from_slice(value).expect("a record");
    assert_eq!(stored, record(20_000));
}
