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
pub const MAX_LEAVE_LAG: Duration = Duration::from_secs(3);

/// Truth about one request.
#[derive(Debug, Default)]
struct RequestHistory {
    idempotent: bool,
    calls: u32,
    runs: u32,
    refused: bool,
    ran: bool,
    lost: bool,
}

/// What really happened.
#[derive(Debug, Default)]
pub struct Oracle {
    histories: BTreeMap<RequestId, RequestHistory>,
    /// First sign of leaving that each entry VM got.
    leaving: BTreeMap<(usize, Incarnation), Time>,
    /// Requests that run at each backend server, by entry VM.
    running: BTreeMap<(usize, Incarnation), u32>,
    /// Answers by verdict, to see that a schedule exercised something.
    pub answers: BTreeMap<Verdict, u64>,
}

impl Oracle {
    /// A caller uses an id.
    pub fn record_call(&mut self, id: RequestId, idempotent: bool) {
        let history = self.histories.entry(id).or_default();
        history.idempotent = idempotent;
        history.calls += 1;
    }

    /// A backend server got bytes of a request.
    pub fn record_run(&mut self, id: RequestId) {
        let history = self.histories.entry(id).or_default();
        history.runs += 1;
        assert!(history.idempotent || history.runs == 1, "{id} ran {} times", history.runs);
        // A repeat may run an idempotent request that was refused; see `Answer::last`.
        assert!(!history.refused || history.idempotent, "{id} ran after it was refused as not run");
        assert!(!history.lost || history.idempotent, "{id} ran after its last unknown");
    }

    /// A caller got an answer.
    pub fn check_answer(&mut self, id: RequestId, answer: &Answer) {
        assert_eq!(answer.id, id, "an answer went to another request");
        *self.answers.entry(answer.verdict).or_default() += 1;
        let history = self.histories.entry(id).or_default();
        if answer.reason == Reason::Answered {
            assert_eq!(answer.body.as_ref(), id.to_string().as_bytes(), "answer of another");
            assert_eq!(answer.verdict, Verdict::Ran);
        }
        if answer.reason == Reason::Conflict {
            return;
        }
        match answer.verdict {
            Verdict::NotRun => {
                let again = history.idempotent && history.calls > 1;
                assert!(history.runs == 0 || again, "{id} ran but was refused: {answer:?}");
                history.refused |= answer.last;
            }
            Verdict::Ran => {
                assert!(history.runs > 0, "{id} is said to have run but did not");
                assert!(!history.refused || history.idempotent, "{id} ran after it was refused");
                history.ran = true;
            }
            Verdict::Unknown => {
                history.lost |= answer.last && answer.reason != Reason::HomeGone;
                let final_once = history.ran && answer.last && !history.idempotent;
                assert!(!final_once || is_record_lost(answer.reason), "{id} ran, now unknown");
            }
        }
    }

    /// A leaving backend server showed so to an entry VM.
    pub fn record_leaving(&mut self, backend: usize, vm: Incarnation, now: Time) {
        self.leaving.entry((backend, vm)).or_insert(now);
    }

    /// A backend server is back.
    pub fn record_return(&mut self, backend: usize) {
        self.leaving.retain(|(other, _), _| *other != backend);
    }

    /// A request is sent to a backend server. What one entry VM saw binds itself, and all others
    /// if nothing has kept entry VMs apart since `calm`.
    pub fn record_dispatch(
        &mut self,
        vm: Incarnation,
        backend: usize,
        now: Time,
        stable_since: Time,
    ) {
        *self.running.entry((backend, vm)).or_default() += 1;
        for ((_, other), since) in self.leaving.iter().filter(|((b, _), _)| *b == backend) {
            let is_informed = *other == vm || *since > stable_since;
            assert!(
                !is_informed || now < *since + MAX_LEAVE_LAG,
                "work for leaving backend b{backend}"
            );
        }
    }

    /// An attempt is over for the entry VM.
    pub fn record_attempt_end(&mut self, vm: Incarnation, backend: usize) {
        if let Some(count) = self.running.get_mut(&(backend, vm)) {
            *count -= 1;
        }
    }

    /// An entry VM has ended with all its attempts.
    pub fn record_vm_end(&mut self, vm: Incarnation) {
        self.running.retain(|(_, other), _| *other != vm);
    }

    /// Requests in progress at a backend server, over all entry VMs.
    pub fn load(&self, backend: usize) -> u32 {
        let here = self.running.iter().filter(|((other, _), _)| *other == backend);
        here.map(|(_, count)| count).sum()
    }
}

/// Reasons for which a verdict may be less certain than before: the record went with its home.
fn is_record_lost(reason: Reason) -> bool {
    matches!(reason, Reason::HomeGone | Reason::TooOld | Reason::AnswerDropped)
}
