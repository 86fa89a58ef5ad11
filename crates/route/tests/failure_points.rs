//! Checks that each failure point listed in docs/VERDICTS.md gives the verdict stated there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use model::AccountId;
use model::Class;
use model::Incarnation;
use model::RequestId;
use model::Revision;
use model::ServiceId;
use model::Time;
use model::Verdict;
use route::AccountPolicy;
use route::Action;
use route::Answer;
use route::AttemptResult;
use route::Backend;
use route::Call;
use route::Cause;
use route::Event;
use route::HealthSignal;
use route::Message;
use route::Peer;
use route::Policy;
use route::PoolId;
use route::Reason;
use route::Reuse;
use route::Router;
use route::ServicePolicy;
use route::Settings;
use route::Ticket;

/// A router with a clock and a record of its actions.
struct Harness {
    router: Router,
    now: Time,
    tickets: u64,
    answers: BTreeMap<u64, Answer>,
    dispatched: Vec<(RequestId, u32, String, Reuse)>,
    sent: Vec<(Incarnation, Message)>,
    aborted: Vec<RequestId>,
    drained: bool,
}

fn policy() -> Policy {
    let service = |pool: &str, class, idempotent, depends: &[&str]| {
        let mut policy = ServicePolicy::new(PoolId::new(pool), class);
        policy.idempotent = idempotent;
        policy.depends = depends.iter().map(|name| ServiceId::new(name)).collect();
        policy.timeout = Duration::from_secs(2);
        policy
    };
    let mut refusing = service("hub", Class::Interactive, false, &[]);
    refusing.safe_503 = true;
    let services = BTreeMap::from([
        (ServiceId::new("check"), service("hub", Class::Interactive, true, &[])),
        (ServiceId::new("posting"), service("hub", Class::Interactive, false, &[])),
        (ServiceId::new("sorting"), service("hub", Class::Batch, false, &[])),
        (ServiceId::new("gate"), refusing),
        (ServiceId::new("dispatch"), service("hub", Class::Interactive, false, &["scales"])),
        (ServiceId::new("scales"), service("scales", Class::Interactive, false, &[])),
        (ServiceId::new("nowhere"), service("empty", Class::Interactive, false, &[])),
    ]);
    let limited = AccountPolicy { rate: Some(1), burst: 1, ..AccountPolicy::default() };
    let narrow = AccountPolicy { queue_limit: 1, ..AccountPolicy::default() };
    let accounts = BTreeMap::from([
        (AccountId::new("coop"), AccountPolicy::default()),
        (AccountId::new("limited"), limited),
        (AccountId::new("narrow"), narrow),
    ]);
    Policy { revision: Revision(1), services, accounts }
}

fn backend(name: &str, pool: &str, slots: u32) -> Backend {
    Backend {
        id: name.into(),
        pool: pool.into(),
        zone: "z1".into(),
        region: "r1".into(),
        slots,
        connections: 64,
        leaving: false,
    }
}

fn peer(number: u64) -> Peer {
    let incarnation = Incarnation(number);
    Peer { incarnation, vm: "vm".into(), zone: "z1".into(), region: "r1".into() }
}

impl Harness {
    fn new(number: u64) -> Harness {
        let me = Incarnation(number);
        let router = Router::new(Settings::default(), me, "z1".into(), "r1".into(), 1);
        let mut harness = Harness {
            router,
            now: Time::from_millis(1),
            tickets: 0,
            answers: BTreeMap::new(),
            dispatched: Vec::new(),
            sent: Vec::new(),
            aborted: Vec::new(),
            drained: false,
        };
        harness.handle(Event::Policy { policy: Arc::new(policy()) });
        harness
    }

    /// A harness with two backend servers of `slots` slots each.
    fn with_slots(slots: u32) -> Harness {
        let mut harness = Harness::new(1);
        let list = vec![backend("b1", "hub", slots), backend("b2", "hub", slots)];
        harness.handle(Event::Backends { list });
        harness
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Answer { ticket, answer } => {
                    let old = self.answers.insert(ticket.0, answer);
                    assert!(old.is_none(), "{ticket:?} was answered twice");
                }
                Action::Dispatch { id, attempt, backend, reuse, .. } => {
                    self.dispatched.push((id, attempt, backend.to_string(), reuse));
                }
                Action::Send { to, message } => self.sent.push((to, message)),
                Action::Abort { id, .. } => self.aborted.push(id),
                Action::Drained => self.drained = true,
                Action::DropIdle { .. } | Action::Probe { .. } | Action::Limit { .. } => {}
            }
        }
    }

    /// Advances the clock by `millis`, with a tick at each time that the router asks for.
    fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(wake) = self.router.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    fn new_call(&mut self, service: &str) -> Call {
        Call {
            id: self.router.issue_id(),
            service: service.into(),
            account: "coop".into(),
            deadline: Duration::from_secs(1),
            body: Bytes::from_static(b"lot 7"),
        }
    }

    fn send(&mut self, call: &Call) -> u64 {
        self.tickets += 1;
        self.handle(Event::Call { ticket: Ticket(self.tickets), call: call.clone() });
        self.tickets
    }

    fn call(&mut self, service: &str) -> (u64, RequestId) {
        let call = self.new_call(service);
        (self.send(&call), call.id)
    }

    fn finish_attempt(&mut self, id: RequestId, attempt: u32, result: AttemptResult) {
        self.handle(Event::Attempt { id, attempt, result });
    }

    #[track_caller]
    fn expect(&self, ticket: u64, verdict: Verdict, last: bool, reason: Reason) {
        let answer = self.answers.get(&ticket).expect("no answer");
        assert_eq!((answer.verdict, answer.last, answer.reason), (verdict, last, reason));
    }
}

fn broken() -> AttemptResult {
    AttemptResult::Broken { cause: Cause::Reset }
}

fn not_sent() -> AttemptResult {
    AttemptResult::NotSent { cause: Cause::ConnectTimeout }
}

fn answer(status: u16) -> AttemptResult {
    AttemptResult::Answered { status, body: Bytes::from_static(b"done") }
}

#[test]
fn before_connect() {
    let mut harness = Harness::with_slots(1);
    let (first, _) = harness.call("nowhere");
    harness.expect(first, Verdict::NotRun, true, Reason::NoBackend);
    let (second, _) = harness.call("absent");
    harness.expect(second, Verdict::NotRun, true, Reason::NoService);
    let mut stranger = harness.new_call("posting");
    stranger.account = "stranger".into();
    let third = harness.send(&stranger);
    harness.expect(third, Verdict::NotRun, true, Reason::NoAccount);
    assert!(harness.dispatched.is_empty());
}

#[test]
fn connecting() {
    let mut harness = Harness::with_slots(1);
    let (ticket, id) = harness.call("posting");
    for attempt in 1..=4 {
        assert_eq!(harness.dispatched.len(), attempt);
        assert_eq!(harness.dispatched[attempt - 1].3, Reuse::Proven);
        harness.finish_attempt(id, attempt as u32, not_sent());
        harness.advance(100);
    }
    harness.expect(ticket, Verdict::NotRun, true, Reason::ConnectFailed);
}

#[test]
fn bytes_written() {
    let mut harness = Harness::with_slots(1);
    let (ticket, id) = harness.call("posting");
    harness.finish_attempt(id, 1, broken());
    harness.expect(ticket, Verdict::Unknown, true, Reason::ConnectionLost);
    harness.advance(5_000);
    assert_eq!(harness.dispatched.len(), 1);
    let (retried, id) = harness.call("check");
    harness.finish_attempt(id, 1, broken());
    harness.advance(200);
    harness.finish_attempt(id, 2, answer(200));
    harness.expect(retried, Verdict::Ran, true, Reason::Answered);
}

#[test]
fn answer_cut() {
    let mut harness = Harness::with_slots(1);
    let (ticket, id) = harness.call("posting");
    harness.finish_attempt(id, 1, AttemptResult::Broken { cause: Cause::Truncated });
    harness.expect(ticket, Verdict::Unknown, true, Reason::ConnectionLost);
    assert_eq!(harness.dispatched.len(), 1);
}

#[test]
fn timeout() {
    let mut harness = Harness::with_slots(1);
    let mut call = harness.new_call("posting");
    call.deadline = Duration::from_secs(5);
    let ticket = harness.send(&call);
    harness.finish_attempt(call.id, 1, AttemptResult::TimedOut { sent: true });
    harness.expect(ticket, Verdict::Unknown, true, Reason::Timeout);
    let (unsent, id) = harness.call("posting");
    harness.finish_attempt(id, 1, AttemptResult::TimedOut { sent: false });
    harness.finish_attempt(id, 2, answer(200));
    harness.expect(unsent, Verdict::Ran, true, Reason::Answered);
}

#[test]
fn unreported_attempt() {
    let mut harness = Harness::with_slots(1);
    let mut call = harness.new_call("posting");
    call.deadline = Duration::from_secs(9);
    let ticket = harness.send(&call);
    harness.advance(3_100);
    harness.expect(ticket, Verdict::Unknown, true, Reason::Timeout);
    assert_eq!(harness.aborted, [call.id]);
    harness.finish_attempt(call.id, 1, answer(200));
    assert_eq!(harness.router.snapshot().running, 0);
}

#[test]
fn deadline_while_running() {
    let mut harness = Harness::with_slots(1);
    let call = harness.new_call("posting");
    let ticket = harness.send(&call);
    harness.advance(1_100);
    harness.expect(ticket, Verdict::Unknown, false, Reason::DeadlinePassed);
    harness.finish_attempt(call.id, 1, answer(200));
    let repeat = harness.send(&call);
    harness.expect(repeat, Verdict::Ran, true, Reason::Answered);
    assert_eq!(harness.dispatched.len(), 1);
}

#[test]
fn unavailable() {
    let mut harness = Harness::with_slots(1);
    let (ticket, id) = harness.call("posting");
    harness.finish_attempt(id, 1, answer(503));
    harness.expect(ticket, Verdict::Unknown, true, Reason::Unavailable);
    let (gate, id) = harness.call("gate");
    assert_ne!(
        harness.dispatched[0].2, harness.dispatched[1].2,
        "work for a refusing backend server"
    );
    harness.finish_attempt(id, 1, answer(503));
    harness.advance(1_100);
    harness.expect(gate, Verdict::NotRun, true, Reason::Expired);
}

#[test]
fn expired() {
    let mut harness = Harness::with_slots(1);
    let mut tickets = Vec::new();
    for _ in 0..3 {
        tickets.push(harness.call("posting").0);
    }
    harness.advance(1_100);
    harness.expect(tickets[2], Verdict::NotRun, true, Reason::Expired);
    assert_eq!(harness.dispatched.len(), 2);
}

#[test]
fn shed() {
    let mut harness = Harness::with_slots(1);
    let ids: Vec<RequestId> = (0..2).map(|_| harness.call("posting").1).collect();
    harness.advance(900);
    for id in ids {
        harness.finish_attempt(id, 1, answer(200));
    }
    for _ in 0..4 {
        harness.call("posting");
    }
    let (ticket, _) = harness.call("posting");
    harness.expect(ticket, Verdict::NotRun, true, Reason::Shed);
    assert!(harness.answers[&ticket].retry.is_some());
}

#[test]
fn account_limits() {
    let mut harness = Harness::with_slots(1);
    let mut tickets = Vec::new();
    for account in ["limited", "limited", "coop", "narrow", "narrow"] {
        let mut call = harness.new_call("posting");
        call.account = account.into();
        tickets.push(harness.send(&call));
    }
    harness.expect(tickets[1], Verdict::NotRun, true, Reason::RateLimit);
    harness.expect(tickets[4], Verdict::NotRun, true, Reason::QueueLimit);
}

#[test]
fn dependency_down() {
    let mut harness = Harness::with_slots(1);
    let (ticket, _) = harness.call("dispatch");
    harness.expect(ticket, Verdict::NotRun, true, Reason::DependencyDown);
    assert_eq!(harness.answers[&ticket].dependency, Some(ServiceId::new("scales")));
}

#[test]
fn cancelled() {
    let mut harness = Harness::with_slots(1);
    harness.call("posting");
    harness.call("posting");
    let call = harness.new_call("posting");
    let ticket = harness.send(&call);
    harness.handle(Event::Hangup { ticket: Ticket(ticket) });
    let repeat = harness.send(&call);
    harness.expect(repeat, Verdict::NotRun, true, Reason::Cancelled);
}

#[test]
fn repeats_and_conflicts() {
    let mut harness = Harness::with_slots(1);
    let call = harness.new_call("posting");
    let first = harness.send(&call);
    let joined = harness.send(&call);
    let mut other = call.clone();
    other.body = Bytes::from_static(b"lot 8");
    let conflict = harness.send(&other);
    harness.expect(conflict, Verdict::Unknown, false, Reason::Conflict);
    harness.finish_attempt(call.id, 1, answer(200));
    harness.expect(first, Verdict::Ran, true, Reason::Answered);
    harness.expect(joined, Verdict::Ran, true, Reason::Answered);
    harness.advance(130_000);
    let late = harness.send(&call);
    harness.expect(late, Verdict::Ran, true, Reason::AnswerDropped);
    assert_eq!(harness.dispatched.len(), 1);
}

#[test]
fn foreign_ids() {
    let mut harness = Harness::with_slots(1);
    let mut call = harness.new_call("posting");
    call.id.sequence += 1_000;
    let ticket = harness.send(&call);
    harness.expect(ticket, Verdict::NotRun, true, Reason::NotIssued);
    call.id.home = Incarnation(77);
    let ticket = harness.send(&call);
    harness.expect(ticket, Verdict::Unknown, false, Reason::HomeGone);
    assert!(harness.dispatched.is_empty());
}

#[test]
fn home_gone() {
    let mut harness = Harness::with_slots(1);
    harness.handle(Event::PeerUp { peer: peer(2) });
    let id = RequestId { home: Incarnation(2), sequence: 5 };
    let posting = Call { id, ..harness.new_call("posting") };
    let lost = harness.send(&posting);
    let id = RequestId { home: Incarnation(2), sequence: 6 };
    let check = Call { id, ..harness.new_call("check") };
    harness.handle(Event::PeerDown { peer: Incarnation(2), gone: true });
    harness.expect(lost, Verdict::Unknown, true, Reason::HomeGone);
    let again = harness.send(&posting);
    harness.expect(again, Verdict::Unknown, true, Reason::HomeGone);
    assert!(harness.dispatched.is_empty());
    let adopted = harness.send(&check);
    harness.advance(1_500);
    if !harness.answers.contains_key(&adopted) {
        harness.finish_attempt(check.id, 1, answer(200));
    }
    let known = &harness.answers[&adopted];
    assert_ne!(known.verdict, Verdict::NotRun, "a home that has ended may have run the request");
}

#[test]
fn home_unreachable() {
    let mut harness = Harness::with_slots(1);
    harness.handle(Event::PeerUp { peer: peer(2) });
    let id = RequestId { home: Incarnation(2), sequence: 5 };
    let mut call = Call { id, ..harness.new_call("posting") };
    call.deadline = Duration::from_secs(9);
    let ticket = harness.send(&call);
    harness.handle(Event::PeerDown { peer: Incarnation(2), gone: false });
    harness.advance(1_100);
    harness.expect(ticket, Verdict::Unknown, false, Reason::HomeUnreachable);
    assert!(harness.dispatched.is_empty());
}

#[test]
fn drained() {
    let mut harness = Harness::with_slots(1);
    harness.handle(Event::PeerUp { peer: peer(2) });
    harness.advance(3_000);
    let running = harness.call("posting");
    let mut waiting = None;
    while harness.router.snapshot().queues.is_empty() {
        waiting = Some(harness.call("posting"));
    }
    let (waiting, moved) = waiting.expect("one request waits");
    let before = harness.dispatched.len();
    harness.handle(Event::Drain);
    let parts = harness.sent.iter().filter(|(_, m)| matches!(m, Message::Handover { .. }));
    assert!(parts.count() > 0, "nothing was handed over");
    let told = Answer { id: moved, ..sample_answer(moved) };
    harness.handle(Event::Peer { from: Incarnation(2), message: Message::Answer { answer: told } });
    harness.expect(waiting, Verdict::Ran, true, Reason::Answered);
    for (id, attempt, ..) in harness.dispatched.clone() {
        harness.finish_attempt(id, attempt, answer(200));
    }
    if harness.dispatched.iter().any(|(id, ..)| *id == running.1) {
        harness.expect(running.0, Verdict::Ran, true, Reason::Answered);
    }
    for _ in 0..8 {
        let parts: Vec<(Incarnation, u64)> =
            harness.sent.drain(..).filter_map(|(_, message)| part_of(&message)).collect();
        for (home, part) in parts {
            let message = Message::Taken { home, part };
            harness.handle(Event::Peer { from: Incarnation(2), message });
        }
        harness.advance(300);
    }
    assert!(harness.drained);
    assert_eq!(harness.dispatched.len(), before, "dispatched while draining");
}

fn sample_answer(id: RequestId) -> Answer {
    Answer {
        id,
        verdict: Verdict::Ran,
        last: true,
        reason: Reason::Answered,
        retry: None,
        status: 200,
        body: Bytes::new(),
        backend: None,
        dependency: None,
    }
}

fn part_of(message: &Message) -> Option<(Incarnation, u64)> {
    match message {
        Message::Handover { home, part, .. } => Some((*home, *part)),
        _ => None,
    }
}

#[test]
fn leaving_backend() {
    let mut harness = Harness::with_slots(2);
    harness.handle(Event::BackendSignal { backend: "b1".into(), sign: HealthSignal::Unavailable });
    let (running, id) = harness.call("posting");
    harness.call("posting");
    assert!(harness.dispatched.iter().all(|(_, _, backend, _)| backend == "b2"));
    let mut leaving = backend("b2", "hub", 2);
    leaving.leaving = true;
    let list = vec![backend("b1", "hub", 2), leaving];
    harness.handle(Event::Backends { list });
    let before = harness.dispatched.len();
    let (ticket, _) = harness.call("posting");
    harness.advance(500);
    harness.finish_attempt(id, 1, answer(200));
    harness.expect(running, Verdict::Ran, true, Reason::Answered);
    harness.advance(600);
    assert_eq!(harness.dispatched.len(), before, "request dispatched to a stopping backend server");
    harness.expect(ticket, Verdict::NotRun, true, Reason::Expired);
}

#[test]
fn late_answers_match_nothing() {
    let mut harness = Harness::with_slots(1);
    let call = harness.new_call("check");
    let first = harness.send(&call);
    harness.advance(1_100);
    harness.expect(first, Verdict::Unknown, false, Reason::DeadlinePassed);
    assert_eq!(harness.aborted, [call.id]);
    let repeat = harness.send(&call);
    harness.finish_attempt(
        call.id,
        1,
        AttemptResult::Answered { status: 200, body: Bytes::from("late") },
    );
    assert!(
        !harness.answers.contains_key(&repeat),
        "a late answer was taken for that of the new attempt"
    );
    harness.finish_attempt(call.id, 2, answer(200));
    harness.expect(repeat, Verdict::Ran, true, Reason::Answered);
}
