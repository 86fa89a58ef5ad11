//! Tests of a change to the configuration: races, lost answers and history.

use fleet::Answer;
use fleet::Apply;
use fleet::Outcome;
use fleet::Record;
use fleet::Step;
use fleet::WriteId;
use model::Revision;
use model::Stamp;
use model::Verdict;

fn text(weight: u32) -> String {
    format!(
        r#"{{ "services": {{}}, "pools": {{}}, "accounts": {{ "mill": {{ "weight": {weight} }} }} }}"#
    )
}

/// Versioned key of a store.
#[derive(Default)]
struct Register {
    version: u64,
    value: Option<String>,
}

impl Register {
    fn answer(&mut self, step: &Step) -> Answer {
        match step {
            Step::Read => Answer::Value { version: self.version, value: self.value.clone() },
            Step::Write { expect, .. } if *expect != self.version => Answer::Conflict,
            Step::Write { value, .. } => {
                self.version += 10;
                self.value = Some(value.clone());
                Answer::Written
            }
            Step::Finished(outcome) => panic!("the change is already finished: {outcome}"),
        }
    }

    fn record(&self) -> Record {
        Record::decode(self.value.as_deref().expect("a value is stored")).expect("it decodes")
    }
}

fn apply(weight: u32, base: Option<u64>, author: &str, write: u64) -> Apply {
    let at = Stamp(1_700_000_000_000);
    Apply::new(&text(weight), base.map(Revision), author, WriteId(write), at)
}

fn finish(apply: &mut Apply, register: &mut Register) -> Outcome {
    loop {
        if let Step::Finished(outcome) = apply.step() {
            return outcome.clone();
        }
        let answer = register.answer(apply.step());
        apply.answer(answer);
    }
}

fn revision(outcome: &Outcome) -> Option<u64> {
    match outcome {
        Outcome::Applied { revision, .. } => Some(revision.0),
        _ => None,
    }
}

#[test]
fn first_two_revisions() {
    let mut register = Register::default();
    assert_eq!(revision(&finish(&mut apply(1, None, "ana", 1), &mut register)), Some(1));
    let second = finish(&mut apply(2, Some(1), "ben", 2), &mut register);
    let Outcome::Applied { changes, .. } = &second else { panic!("{second}") };
    assert_eq!(changes[0].to_string(), "~ accounts.mill.weight: 1 -> 2");
    assert_eq!(finish(&mut apply(2, None, "cy", 3), &mut register).verdict(), Verdict::Ran);
    assert_eq!(register.record().revision, Revision(2));
    assert_eq!(register.record().text_at(Revision(1)).as_deref(), Some(text(1).as_str()));
}

#[test]
fn lost_race_names_the_winner() {
    let mut register = Register::default();
    finish(&mut apply(1, None, "ana", 1), &mut register);
    let mut late = apply(3, None, "ben", 2);
    late.answer(register.answer(&Step::Read));
    finish(&mut apply(2, None, "cy", 3), &mut register);
    let outcome = finish(&mut late, &mut register);
    let Outcome::Raced { revision, authors, theirs } = &outcome else { panic!("{outcome}") };
    assert_eq!((*revision, authors.as_slice()), (Revision(2), ["cy".to_owned()].as_slice()));
    assert_eq!(theirs[0].to_string(), "~ accounts.mill.weight: 1 -> 2");
    assert_eq!(outcome.verdict(), Verdict::NotRun);
}

#[test]
fn stale_base_is_a_race() {
    let mut register = Register::default();
    for weight in 1..=3 {
        finish(&mut apply(weight, None, "ana", u64::from(weight)), &mut register);
    }
    let outcome = finish(&mut apply(9, Some(1), "ben", 9), &mut register);
    let Outcome::Raced { theirs, .. } = &outcome else { panic!("{outcome}") };
    assert_eq!(theirs[0].to_string(), "~ accounts.mill.weight: 1 -> 3");
    let outcome = finish(&mut apply(9, Some(4), "ben", 10), &mut Register::default());
    assert_eq!(outcome, Outcome::Missing { base: Revision(4) });
}

#[test]
fn lost_answer_after_effect_is_settled() {
    let mut register = Register::default();
    let mut change = apply(1, None, "ana", 1);
    change.answer(register.answer(&Step::Read));
    register.answer(&change.step().clone());
    change.answer(Answer::Lost);
    assert_eq!(revision(&finish(&mut change, &mut register)), Some(1));
    assert_eq!(register.record().revision, Revision(1));
}

#[test]
fn lost_answer_is_settled_after_later_changes() {
    let mut register = Register::default();
    let mut change = apply(1, None, "ana", 1);
    change.answer(register.answer(&Step::Read));
    register.answer(&change.step().clone());
    change.answer(Answer::Lost);
    finish(&mut apply(2, None, "ben", 2), &mut register);
    assert_eq!(revision(&finish(&mut change, &mut register)), Some(1));
}

#[test]
fn lost_answer_before_effect_is_settled() {
    let mut register = Register::default();
    let mut change = apply(1, None, "ana", 1);
    change.answer(register.answer(&Step::Read));
    change.answer(Answer::Lost);
    finish(&mut apply(2, None, "ben", 2), &mut register);
    let outcome = finish(&mut change, &mut register);
    assert!(matches!(outcome, Outcome::Raced { .. }), "{outcome}");
}

#[test]
fn lost_answers_before_and_after_a_write() {
    let mut unread = apply(1, None, "ana", 1);
    let mut unsettled = apply(1, None, "ana", 1);
    unsettled.answer(Answer::Value { version: 0, value: None });
    for _ in 0..10 {
        unread.answer(Answer::Lost);
        unsettled.answer(Answer::Lost);
    }
    assert_eq!(*unread.step(), Step::Finished(Outcome::Unreachable));
    assert_eq!(*unsettled.step(), Step::Finished(Outcome::Unsettled));
    assert_eq!(Outcome::Unsettled.verdict(), Verdict::Unknown);
}

#[test]
fn faulty_text_is_never_written() {
    let change = Apply::new("{ \"service\": {} }", None, "ana", WriteId(1), Stamp(0));
    assert!(matches!(change.step(), Step::Finished(Outcome::Refused { .. })));
}

#[test]
fn large_changes_keep_their_write_ids() {
    let mut register = Register::default();
    let padding = "x".repeat(200_000);
    for weight in 1..=5_u32 {
        let text = format!("// {weight} {padding}\n{}", text(weight));
        let write = WriteId(u64::from(weight));
        finish(&mut Apply::new(&text, None, "ana", write, Stamp(0)), &mut register);
    }
    let record = register.record();
    assert_eq!(record.text_at(Revision(1)), None, "its text exceeds the history limit");
    assert_eq!(record.write_of(Revision(1)), Some(WriteId(1)));
    assert!(register.value.is_some_and(|value| value.len() <= 1_000_000));
}

#[test]
fn history_stays_below_the_bound() {
    let mut register = Register::default();
    let padding = "x".repeat(100_000);
    let text_of = text;
    for weight in 1..=230_u32 {
        let text = format!("// {padding}\n{}", text(weight));
        let mut change =
            Apply::new(&text, None, "ana", WriteId(u64::from(weight)), Stamp(u64::from(weight)));
        assert_eq!(revision(&finish(&mut change, &mut register)), Some(u64::from(weight)));
        assert!(register.value.as_ref().is_some_and(|value| value.len() <= 1_000_000));
    }
    let record = register.record();
    assert_eq!(record.past.len(), 200);
    assert!(record.text_at(Revision(100)).is_some_and(|text| text.ends_with(&text_of(100))));
    assert_eq!(record.text_at(Revision(29)), None);
}
