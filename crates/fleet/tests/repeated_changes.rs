//! Tests that a change repeated under the same write id takes effect only once.

use fleet::Answer;
use fleet::Apply;
use fleet::Outcome;
use fleet::Step;
use fleet::WriteId;
use model::Revision;
use model::Stamp;
use model::Verdict;

/// Builds a configuration that differs from others in the number of slots.
fn text(slots: u32) -> String {
    format!(
        r#"{{ "services": {{}}, "accounts": {{}},
             "pools": {{ "hub": {{ "slots": {slots}, "connections": 64 }} }} }}"#
    )
}

/// Store with one versioned key.
#[derive(Default)]
struct Store {
    version: u64,
    value: Option<String>,
}

impl Store {
    /// Applies a change without any state of earlier attempts, as through another entry VM.
    fn change(&mut self, slots: u32, base: Option<u64>, write: u64) -> Outcome {
        let base = base.map(Revision);
        let mut apply = Apply::new(&text(slots), base, "a test", WriteId(write), Stamp(0));
        loop {
            let answer = match apply.step() {
                Step::Finished(outcome) => return outcome.clone(),
                Step::Read => Answer::Value { version: self.version, value: self.value.clone() },
                Step::Write { expect, value } if *expect == self.version => {
                    self.version += 1;
                    self.value = Some(value.clone());
                    Answer::Written
                }
                Step::Write { .. } => Answer::Conflict,
            };
            apply.answer(answer);
        }
    }
}

#[track_caller]
fn assert_applied(outcome: &Outcome, expected: u64) {
    let Outcome::Applied { revision, changes } = outcome else { panic!("{outcome:?}") };
    assert_eq!(*revision, Revision(expected));
    assert!(!changes.is_empty(), "{outcome:?}");
}

#[test]
fn immediate_repeat() {
    let mut store = Store::default();
    for base in [None, Some(1), None] {
        assert_applied(&store.change(4, base, 7), 1);
        assert_eq!(store.version, 1, "stored again");
    }
}

#[test]
fn repeat_after_others() {
    let mut store = Store::default();
    store.change(4, None, 1);
    assert_applied(&store.change(5, Some(1), 2), 2);
    assert_applied(&store.change(6, Some(2), 3), 3);
    for base in [None, Some(1)] {
        assert_applied(&store.change(5, base, 2), 2);
        assert_eq!(store.version, 3, "restored an old configuration");
    }
}

#[test]
fn different_write_id() {
    let mut store = Store::default();
    store.change(4, None, 1);
    store.change(5, Some(1), 2);
    let outcome = store.change(6, Some(1), 3);
    assert!(matches!(outcome, Outcome::Raced { .. }), "{outcome:?}");
    assert_eq!(outcome.verdict(), Verdict::NotRun);
    assert_eq!(store.version, 2);
}
