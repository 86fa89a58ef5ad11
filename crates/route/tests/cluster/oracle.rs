//! Test oracle: records what really happened and checks every answer against it.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Incarnation;
use model::RequestId;
use model::Time;
use model::Verdict;
use route::Answer;
use route::Reason;

/// Time after the first sign that a backend server stops, from which it must get no work.
pub const MAX_LEAVE_LAG: Duration = Duration::from_secs(3);

/// What really happened to one request, and what callers were told.
#[derive(Debug, Default)]
struct RequestHistory {
    idempotent: bool,
    calls: u32,
    runs: u32,
    /// Whether a final answer said that it did not run.
    refused: bool,
    /// Whether an answer said that it ran.
    ran: bool,
    /// Whether a final answer said that the outcome is unknown.
    lost: bool,
}

/// Records what really happened and checks answers against it.
#[derive(Debug, Default)]
pub struct Oracle {
    histories: BTreeMap<RequestId, RequestHistory>,
    /// When each entry VM got the first sign that a backend server stops.
    leaving: BTreeMap<(usize, Incarnation), Time>,
    /// Number of attempts in progress by backend server and entry VM.
    running: BTreeMap<(usize, Incarnation), u32>,
    /// Number of answers by verdict, to check that schedules cover all of them.
    pub answers: BTreeMap<Verdict, u64>,
}

impl Oracle {
    /// Records that a caller sent a request.
    pub fn record_call(&mut self, id: RequestId, idempotent: bool) {
        let history = self.histories.entry(id).or_default();
        history.idempotent = idempotent;
        history.calls += 1;
    }

    /// Records that a backend server received a request, and checks that it may run.
    pub fn record_run(&mut self, id: RequestId) {
        let history = self.histories.entry(id).or_default();
        history.runs += 1;
        assert!(history.idempotent || history.runs == 1, "{id} ran {} times", history.runs);
        // A repeat may run an idempotent request that was refused; see `Answer::last`.
        assert!(!history.refused || history.idempotent, "{id} ran after it was refused as not run");
        assert!(!history.lost || history.idempotent, "{id} ran after a final unknown verdict");
    }

    /// Checks an answer to a caller.
    pub fn check_answer(&mut self, id: RequestId, answer: &Answer) {
        assert_eq!(answer.id, id, "answer has the id of another request");
        *self.answers.entry(answer.verdict).or_default() += 1;
        let history = self.histories.entry(id).or_default();
        if answer.reason == Reason::Answered {
            assert_eq!(
                answer.body.as_ref(),
                id.to_string().as_bytes(),
                "answer has the body of another request"
            );
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
                assert!(history.runs > 0, "{id} did not run but was answered as run");
                assert!(!history.refused || history.idempotent, "{id} ran after it was refused");
                history.ran = true;
            }
            Verdict::Unknown => {
                history.lost |= answer.last && answer.reason != Reason::HomeGone;
                let final_once = history.ran && answer.last && !history.idempotent;
                assert!(
                    !final_once || is_record_lost(answer.reason),
                    "{id} ran but was later answered as unknown"
                );
            }
        }
    }

    /// Records that an entry VM got a sign that a backend server stops.
    pub fn record_leaving(&mut self, backend: usize, vm: Incarnation, now: Time) {
        self.leaving.entry((backend, vm)).or_insert(now);
    }

    /// Records that a backend server is back.
    pub fn record_return(&mut self, backend: usize) {
        self.leaving.retain(|(other, _), _| *other != backend);
    }

    /// Records a dispatch to a backend server and checks that the server is not known to stop. A
    /// sign counts for the entry VM that got it and, if entry VMs could communicate without
    /// disturbance since `stable_since`, for all others.
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
                "request dispatched to stopping backend b{backend}"
            );
        }
    }

    /// Records that an attempt of an entry VM has ended.
    pub fn record_attempt_end(&mut self, vm: Incarnation, backend: usize) {
        if let Some(count) = self.running.get_mut(&(backend, vm)) {
            *count -= 1;
        }
    }

    /// Records that an entry VM has ended, and all its attempts with it.
    pub fn record_vm_end(&mut self, vm: Incarnation) {
        self.running.retain(|(_, other), _| *other != vm);
    }

    /// Number of attempts in progress at a backend server, over all entry VMs.
    pub fn load(&self, backend: usize) -> u32 {
        let here = self.running.iter().filter(|((other, _), _)| *other == backend);
        here.map(|(_, count)| count).sum()
    }
}

/// Whether the reason permits an unknown verdict after a known one, as the record was lost with its
/// home or evicted.
fn is_record_lost(reason: Reason) -> bool {
    matches!(reason, Reason::HomeGone | Reason::TooOld | Reason::AnswerDropped)
}
