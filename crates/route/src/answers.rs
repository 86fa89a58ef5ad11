//! Construction of answers and their delivery to waiting callers and peers.

use bytes::Bytes;

use crate::Action;
use crate::Answer;
use crate::Message;
use crate::Reason;
use crate::Router;
use crate::table::Waiter;
use model::RequestId;
use model::Verdict;

impl Router {
    /// Delivers an answer to a local caller or a peer; a caller that has disconnected is skipped.
    pub(crate) fn deliver(&mut self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Ticket(ticket) => {
                if self.tickets.remove(&ticket).is_none() {
                    return;
                }
                let key = (answer.verdict, answer.reason);
                *self.totals.answers.entry(key).or_default() += 1;
                self.out.push(Action::Answer { ticket, answer });
            }
            Waiter::Peer(peer) => self.send(peer, Message::Answer { answer }),
        }
    }

    /// Answer to a repeat of a request of which only the verdict is kept. An unknown verdict on an
    /// id of another home is not final: a later handover from another heir may still settle it.
    pub(crate) fn verdict_answer(&self, id: RequestId, verdict: Verdict) -> Answer {
        let mut answer = empty_answer(id, verdict, Reason::AnswerDropped);
        answer.last = verdict != Verdict::Unknown || id.home == self.me;
        answer
    }
}

/// A final answer without body, with the HTTP status of `reason`.
pub(crate) fn empty_answer(id: RequestId, verdict: Verdict, reason: Reason) -> Answer {
    Answer {
        id,
        verdict,
        last: true,
        reason,
        retry: None,
        status: http_status(reason),
        body: Bytes::new(),
        backend: None,
        dependency: None,
    }
}

fn http_status(reason: Reason) -> u16 {
    match reason {
        Reason::Answered
        | Reason::AnswerDropped
        | Reason::Queued
        | Reason::Running
        | Reason::Unused => 200,
        Reason::NotIssued | Reason::NoService => 404,
        Reason::NoAccount => 403,
        Reason::TooOld => 410,
        Reason::Conflict => 409,
        Reason::RateLimit | Reason::QueueLimit => 429,
        Reason::Cancelled => 499,
        Reason::ConnectionLost | Reason::HomeGone => 502,
        Reason::Timeout | Reason::DeadlinePassed | Reason::HomeUnreachable => 504,
        Reason::Shed
        | Reason::Expired
        | Reason::DependencyDown
        | Reason::NoBackend
        | Reason::ConnectFailed
        | Reason::Unavailable
        | Reason::Draining => 503,
    }
}
