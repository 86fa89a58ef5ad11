//! The state charts agree with the enums that name their states.

use gang::JobState;
use gang::WorkerState;
use model::Verdict;

#[test]
fn final_states_are_those_of_the_chart() {
    assert!(JobState::Done.is_final());
    assert!(JobState::Unknown.is_final());
    assert!(!JobState::Stopping.is_final());
    assert_eq!(JobState::Unknown.verdict(), Some(Verdict::Unknown));
    assert_eq!(JobState::Done.verdict(), Some(Verdict::Ran));
    assert_eq!(JobState::Running.verdict(), None);
}

#[test]
fn worker_states_have_names() {
    assert_eq!(WorkerState::Quarantined.to_string(), "quarantined");
}
