//! The state machine that the shell drives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::Action;
use crate::Answer;
use crate::AttemptResult;
use crate::Backend;
use crate::BackendView;
use crate::Call;
use crate::Event;
use crate::Policy;
use crate::Reason;
use crate::RequestState;
use crate::Reuse;
use crate::Settings;
use crate::Snapshot;
use crate::Step;
use crate::Ticket;
use crate::life::Charts;
use crate::life::RequestEvent;
use model::BackendId;
use model::Incarnation;
use model::RegionId;
use model::RequestId;
use model::Time;
use model::Verdict;
use model::ZoneId;

#[derive(Debug)]
struct Entry {
    call: Call,
    ticket: Ticket,
    backend: BackendId,
    state: RequestState,
}

/// Request decisions of one run of an entry VM's process.
#[derive(Debug)]
pub struct Router {
    _settings: Settings,
    me: Incarnation,
    charts: Charts,
    next: u64,
    policy: Arc<Policy>,
    backends: Vec<Backend>,
    entries: BTreeMap<RequestId, Entry>,
    turn: usize,
    draining: bool,
}

impl Router {
    /// Makes the router of incarnation `me`; the same `seed` gives the same decisions.
    pub fn new(
        settings: Settings,
        me: Incarnation,
        _zone: ZoneId,
        _region: RegionId,
        _seed: u64,
    ) -> Router {
        Router {
            _settings: settings,
            me,
            charts: Charts::load(),
            next: 1,
            policy: Arc::default(),
            backends: Vec::new(),
            entries: BTreeMap::new(),
            turn: 0,
            draining: false,
        }
    }

    /// Gives out a fresh id, whose home is this router.
    pub fn issue_id(&mut self) -> RequestId {
        let sequence = self.next;
        self.next += 1;
        RequestId { home: self.me, sequence }
    }

    /// When to send [`Event::Tick`], if nothing else happens before.
    pub fn next_wake(&self) -> Option<Time> {
        None
    }

    /// The present state.
    pub fn snapshot(&self) -> Snapshot {
        let view = |b: &Backend| BackendView {
            id: b.id.clone(),
            pool: b.pool.clone(),
            state: self.charts.backend.initial(),
            lender: self.me,
            held: b.slots,
            used: 0,
            lent: 0,
        };
        Snapshot {
            revision: self.policy.revision,
            draining: self.draining,
            running: self.entries.len(),
            backends: self.backends.iter().map(view).collect(),
            ..Snapshot::default()
        }
    }

    /// Path of a request through its chart, as far as it is kept.
    pub fn explain(&self, _id: RequestId) -> Option<Vec<Step>> {
        None
    }

    /// Decides about `event` and appends what is to be done to `out`.
    pub fn handle(&mut self, _now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Call { ticket, call } => self.call(ticket, call, out),
            Event::Attempt { id, result, .. } => self.attempt(id, result, out),
            Event::Backends { list } => self.backends = list,
            Event::Policy { policy } => self.policy = policy,
            Event::Drain => self.draining = true,
            _ => {}
        }
        if self.draining && self.entries.is_empty() {
            out.push(Action::Drained);
        }
    }

    fn call(&mut self, ticket: Ticket, call: Call, out: &mut Vec<Action>) {
        let id = call.id;
        let Some(service) = self.policy.services.get(&call.service) else {
            return out.push(refuse(ticket, id, Reason::NoService, 404));
        };
        let usable = |b: &&Backend| b.pool == service.pool && !b.leaving;
        let count = self.backends.iter().filter(usable).count();
        if count == 0 {
            return out.push(refuse(ticket, id, Reason::NoBackend, 503));
        }
        self.turn += 1;
        let chosen = self.backends.iter().filter(usable).nth(self.turn % count);
        let Some(backend) = chosen.map(|b| b.id.clone()) else { return };
        out.push(Action::Dispatch {
            id,
            attempt: 1,
            backend: backend.clone(),
            service: call.service.clone(),
            body: call.body.clone(),
            timeout: service.timeout,
            reuse: Reuse::Proven,
        });
        let mut state = self.charts.request.initial();
        self.charts.request.advance(&mut state, RequestEvent::Dispatch);
        self.entries.insert(id, Entry { call, ticket, backend, state });
    }

    fn attempt(&mut self, id: RequestId, result: AttemptResult, out: &mut Vec<Action>) {
        let Some(mut entry) = self.entries.remove(&id) else { return };
        let (verdict, reason, status, body) = match result {
            AttemptResult::Answered { status, body } => {
                (Verdict::Ran, Reason::Answered, status, body)
            }
            AttemptResult::NotSent { .. } | AttemptResult::TimedOut { sent: false } => {
                (Verdict::NotRun, Reason::ConnectFailed, 503, Bytes::new())
            }
            AttemptResult::Broken { .. } => {
                (Verdict::Unknown, Reason::ConnectionLost, 502, Bytes::new())
            }
            AttemptResult::TimedOut { sent: true } => {
                (Verdict::Unknown, Reason::Timeout, 504, Bytes::new())
            }
        };
        let event = match verdict {
            Verdict::Ran => RequestEvent::Answer,
            Verdict::NotRun => RequestEvent::Refuse,
            Verdict::Unknown => RequestEvent::Lose,
        };
        self.charts.request.advance(&mut entry.state, event);
        let answer = Answer {
            id: entry.call.id,
            verdict,
            last: true,
            reason,
            retry: None,
            status,
            body,
            backend: Some(entry.backend),
            dependency: None,
        };
        out.push(Action::Answer { ticket: entry.ticket, answer });
    }
}

fn refuse(ticket: Ticket, id: RequestId, reason: Reason, status: u16) -> Action {
    let answer = Answer {
        id,
        verdict: Verdict::NotRun,
        last: true,
        reason,
        retry: Some(Duration::from_secs(1)),
        status,
        body: Bytes::new(),
        backend: None,
        dependency: None,
    };
    Action::Answer { ticket, answer }
}
