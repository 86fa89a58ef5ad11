//! What really happened, against which every answer is checked.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Incarnation;
use model::RequestId;
use model::Time;
use model::Verdict;
use route::Answer;
use route::Reason;

/// Time after the first sign of leaving from which a backend server must get no work.
pub const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Truth about one request.
#[derive(Debug, Default)]
struct Fate {
    idempotent: bool,
    runs: u32,
    refused: bool,
    ran: bool,
    lost: bool,
}

/// What really happened.
#[derive(Debug, Default)]
pub struct Oracle {
    fates: BTreeMap<RequestId, Fate>,
    leaving: BTreeMap<usize, Time>,
    /// Requests that run at each backend server, by entry VM.
    running: BTreeMap<(usize, Incarnation), u32>,
    /// Answers by verdict, to see that a schedule exercised something.
    pub answers: BTreeMap<Verdict, u64>,
}

impl Oracle {
    /// A caller uses an id.
    pub fn used(&mut self, id: RequestId, idempotent: bool) {
        self.fates.entry(id).or_default().idempotent = idempotent;
    }

    /// A backend server got bytes of a request.
    pub fn saw(&mut self, id: RequestId) {
        let fate = self.fates.entry(id).or_default();
        fate.runs += 1;
        assert!(fate.idempotent || fate.runs == 1, "{id} ran {} times", fate.runs);
        assert!(!fate.refused, "{id} ran after it was refused as not run");
        assert!(!fate.lost || fate.idempotent, "{id} ran after its last unknown");
    }

    /// A caller got an answer.
    pub fn answered(&mut self, id: RequestId, answer: &Answer) {
        assert_eq!(answer.id, id, "an answer went to another request");
        *self.answers.entry(answer.verdict).or_default() += 1;
        let fate = self.fates.entry(id).or_default();
        if answer.reason == Reason::Answered {
            assert_eq!(answer.body.as_ref(), id.to_string().as_bytes(), "answer of another");
            assert_eq!(answer.verdict, Verdict::Ran);
        }
        if answer.reason == Reason::Conflict {
            return;
        }
        match answer.verdict {
            Verdict::NotRun => {
                assert_eq!(fate.runs, 0, "{id} was refused as not run but ran: {answer:?}");
                fate.refused |= answer.last;
            }
            Verdict::Ran => {
                assert!(fate.runs > 0, "{id} is said to have run but did not");
                assert!(!fate.refused, "{id} is said to have run after it was refused");
                fate.ran = true;
            }
            Verdict::Unknown => {
                fate.lost |= answer.last && answer.reason != Reason::HomeGone;
                let final_once = fate.ran && answer.last && !fate.idempotent;
                assert!(!final_once || is_forgotten(answer.reason), "{id} ran, now unknown");
            }
        }
    }

    /// A backend server showed for the first time that it leaves, or is back.
    pub fn leaving(&mut self, backend: usize, since: Option<Time>) {
        match since {
            Some(time) => {
                self.leaving.entry(backend).or_insert(time);
            }
            None => {
                self.leaving.remove(&backend);
            }
        }
    }

    /// A request is sent to a backend server.
    pub fn dispatched(&mut self, vm: Incarnation, backend: usize, now: Time) {
        *self.running.entry((backend, vm)).or_default() += 1;
        if let Some(since) = self.leaving.get(&backend) {
            assert!(now < *since + LEAVE_BOUND, "work for leaving backend b{backend}");
        }
    }

    /// An attempt is over for the entry VM.
    pub fn ended(&mut self, vm: Incarnation, backend: usize) {
        if let Some(count) = self.running.get_mut(&(backend, vm)) {
            *count -= 1;
        }
    }

    /// An entry VM has ended with all its attempts.
    pub fn vm_ended(&mut self, vm: Incarnation) {
        self.running.retain(|(_, other), _| *other != vm);
    }

    /// Requests in progress at a backend server, over all entry VMs.
    pub fn load(&self, backend: usize) -> u32 {
        let here = self.running.iter().filter(|((other, _), _)| *other == backend);
        here.map(|(_, count)| count).sum()
    }
}

/// Reasons for which a verdict may be less certain than before: the record went with its home.
fn is_forgotten(reason: Reason) -> bool {
    matches!(reason, Reason::HomeGone | Reason::TooOld | Reason::AnswerDropped)
}
