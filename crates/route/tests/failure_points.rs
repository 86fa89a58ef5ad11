//! Each failure point of docs/VERDICTS.md gives the verdict that stands there.

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

/// A router with what it asked for, and a clock.
struct Bench {
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

impl Bench {
    fn new(number: u64) -> Bench {
        let me = Incarnation(number);
        let router = Router::new(Settings::default(), me, "z1".into(), "r1".into(), 1);
        let mut bench = Bench {
            router,
            now: Time::from_millis(1),
            tickets: 0,
            answers: BTreeMap::new(),
            dispatched: Vec::new(),
            sent: Vec::new(),
            aborted: Vec::new(),
            drained: false,
        };
        bench.on(Event::Policy { policy: Arc::new(policy()) });
        bench
    }

    /// With two backend servers of `slots` slots.
    fn with_slots(slots: u32) -> Bench {
        let mut bench = Bench::new(1);
        let list = vec![backend("b1", "hub", slots), backend("b2", "hub", slots)];
        bench.on(Event::Backends { list });
        bench
    }

    fn on(&mut self, event: Event) {
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

    /// Passes time in small steps, as the shell's timer would.
    fn pass(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(wake) = self.router.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.on(Event::Tick);
        }
        self.now = end;
    }

    fn make(&mut self, service: &str) -> Call {
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
        self.on(Event::Call { ticket: Ticket(self.tickets), call: call.clone() });
        self.tickets
    }

    fn call(&mut self, service: &str) -> (u64, RequestId) {
        let call = self.make(service);
        (self.send(&call), call.id)
    }

    fn end(&mut self, id: RequestId, attempt: u32, result: AttemptResult) {
        self.on(Event::Attempt { id, attempt, result });
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
    let mut bench = Bench::with_slots(1);
    let (first, _) = bench.call("nowhere");
    bench.expect(first, Verdict::NotRun, true, Reason::NoBackend);
    let (second, _) = bench.call("absent");
    bench.expect(second, Verdict::NotRun, true, Reason::NoService);
    let mut stranger = bench.make("posting");
    stranger.account = "stranger".into();
    let third = bench.send(&stranger);
    bench.expect(third, Verdict::NotRun, true, Reason::NoAccount);
    assert!(bench.dispatched.is_empty());
}

#[test]
fn connecting() {
    let mut bench = Bench::with_slots(1);
    let (ticket, id) = bench.call("posting");
    for attempt in 1..=4 {
        assert_eq!(bench.dispatched.len(), attempt);
        assert_eq!(bench.dispatched[attempt - 1].3, Reuse::Proven);
        bench.end(id, attempt as u32, not_sent());
        bench.pass(100);
    }
    bench.expect(ticket, Verdict::NotRun, true, Reason::ConnectFailed);
}

#[test]
fn bytes_written() {
    let mut bench = Bench::with_slots(1);
    let (ticket, id) = bench.call("posting");
    bench.end(id, 1, broken());
    bench.expect(ticket, Verdict::Unknown, true, Reason::ConnectionLost);
    bench.pass(5_000);
    assert_eq!(bench.dispatched.len(), 1);
    let (retried, id) = bench.call("check");
    bench.end(id, 1, broken());
    bench.pass(200);
    bench.end(id, 2, answer(200));
    bench.expect(retried, Verdict::Ran, true, Reason::Answered);
}

#[test]
fn answer_cut() {
    let mut bench = Bench::with_slots(1);
    let (ticket, id) = bench.call("posting");
    bench.end(id, 1, AttemptResult::Broken { cause: Cause::Truncated });
    bench.expect(ticket, Verdict::Unknown, true, Reason::ConnectionLost);
    assert_eq!(bench.dispatched.len(), 1);
}

#[test]
fn timeout() {
    let mut bench = Bench::with_slots(1);
    let mut call = bench.make("posting");
    call.deadline = Duration::from_secs(5);
    let ticket = bench.send(&call);
    bench.end(call.id, 1, AttemptResult::TimedOut { sent: true });
    bench.expect(ticket, Verdict::Unknown, true, Reason::Timeout);
    let (unsent, id) = bench.call("posting");
    bench.end(id, 1, AttemptResult::TimedOut { sent: false });
    bench.end(id, 2, answer(200));
    bench.expect(unsent, Verdict::Ran, true, Reason::Answered);
}

#[test]
fn unreported_attempt() {
    let mut bench = Bench::with_slots(1);
    let mut call = bench.make("posting");
    call.deadline = Duration::from_secs(9);
    let ticket = bench.send(&call);
    bench.pass(3_100);
    bench.expect(ticket, Verdict::Unknown, true, Reason::Timeout);
    assert_eq!(bench.aborted, [call.id]);
    bench.end(call.id, 1, answer(200));
    assert_eq!(bench.router.snapshot().running, 0);
}

#[test]
fn deadline_while_running() {
    let mut bench = Bench::with_slots(1);
    let call = bench.make("posting");
    let ticket = bench.send(&call);
    bench.pass(1_100);
    bench.expect(ticket, Verdict::Unknown, false, Reason::DeadlinePassed);
    bench.end(call.id, 1, answer(200));
    let repeat = bench.send(&call);
    bench.expect(repeat, Verdict::Ran, true, Reason::Answered);
    assert_eq!(bench.dispatched.len(), 1);
}

#[test]
fn unavailable() {
    let mut bench = Bench::with_slots(1);
    let (ticket, id) = bench.call("posting");
    bench.end(id, 1, answer(503));
    bench.expect(ticket, Verdict::Unknown, true, Reason::Unavailable);
    let (gate, id) = bench.call("gate");
    assert_ne!(bench.dispatched[0].2, bench.dispatched[1].2, "work for a refusing backend server");
    bench.end(id, 1, answer(503));
    bench.pass(1_100);
    bench.expect(gate, Verdict::NotRun, true, Reason::Expired);
}

#[test]
fn expired() {
    let mut bench = Bench::with_slots(1);
    let mut tickets = Vec::new();
    for _ in 0..3 {
        tickets.push(bench.call("posting").0);
    }
    bench.pass(1_100);
    bench.expect(tickets[2], Verdict::NotRun, true, Reason::Expired);
    assert_eq!(bench.dispatched.len(), 2);
}

#[test]
fn shed() {
    let mut bench = Bench::with_slots(1);
    let ids: Vec<RequestId> = (0..2).map(|_| bench.call("posting").1).collect();
    bench.pass(900);
    for id in ids {
        bench.end(id, 1, answer(200));
    }
    for _ in 0..4 {
        bench.call("posting");
    }
    let (ticket, _) = bench.call("posting");
    bench.expect(ticket, Verdict::NotRun, true, Reason::Shed);
    assert!(bench.answers[&ticket].retry.is_some());
}

#[test]
fn account_limits() {
    let mut bench = Bench::with_slots(1);
    let mut tickets = Vec::new();
    for account in ["limited", "limited", "coop", "narrow", "narrow"] {
        let mut call = bench.make("posting");
        call.account = account.into();
        tickets.push(bench.send(&call));
    }
    bench.expect(tickets[1], Verdict::NotRun, true, Reason::RateLimit);
    bench.expect(tickets[4], Verdict::NotRun, true, Reason::QueueLimit);
}

#[test]
fn dependency_down() {
    let mut bench = Bench::with_slots(1);
    let (ticket, _) = bench.call("dispatch");
    bench.expect(ticket, Verdict::NotRun, true, Reason::DependencyDown);
    assert_eq!(bench.answers[&ticket].dependency, Some(ServiceId::new("scales")));
}

#[test]
fn cancelled() {
    let mut bench = Bench::with_slots(1);
    bench.call("posting");
    bench.call("posting");
    let call = bench.make("posting");
    let ticket = bench.send(&call);
    bench.on(Event::Hangup { ticket: Ticket(ticket) });
    let repeat = bench.send(&call);
    bench.expect(repeat, Verdict::NotRun, true, Reason::Cancelled);
}

#[test]
fn repeats_and_conflicts() {
    let mut bench = Bench::with_slots(1);
    let call = bench.make("posting");
    let first = bench.send(&call);
    let joined = bench.send(&call);
    let mut other = call.clone();
    other.body = Bytes::from_static(b"lot 8");
    let conflict = bench.send(&other);
    bench.expect(conflict, Verdict::Unknown, false, Reason::Conflict);
    bench.end(call.id, 1, answer(200));
    bench.expect(first, Verdict::Ran, true, Reason::Answered);
    bench.expect(joined, Verdict::Ran, true, Reason::Answered);
    bench.pass(130_000);
    let late = bench.send(&call);
    bench.expect(late, Verdict::Ran, true, Reason::AnswerDropped);
    assert_eq!(bench.dispatched.len(), 1);
}

#[test]
fn foreign_ids() {
    let mut bench = Bench::with_slots(1);
    let mut call = bench.make("posting");
    call.id.sequence += 1_000;
    let ticket = bench.send(&call);
    bench.expect(ticket, Verdict::NotRun, true, Reason::NotIssued);
    call.id.home = Incarnation(77);
    let ticket = bench.send(&call);
    bench.expect(ticket, Verdict::Unknown, false, Reason::HomeGone);
    assert!(bench.dispatched.is_empty());
}

#[test]
fn home_gone() {
    let mut bench = Bench::with_slots(1);
    bench.on(Event::PeerUp { peer: peer(2) });
    let id = RequestId { home: Incarnation(2), sequence: 5 };
    let posting = Call { id, ..bench.make("posting") };
    let lost = bench.send(&posting);
    let id = RequestId { home: Incarnation(2), sequence: 6 };
    let check = Call { id, ..bench.make("check") };
    bench.on(Event::PeerDown { peer: Incarnation(2), gone: true });
    bench.expect(lost, Verdict::Unknown, true, Reason::HomeGone);
    let again = bench.send(&posting);
    bench.expect(again, Verdict::Unknown, true, Reason::HomeGone);
    assert!(bench.dispatched.is_empty());
    let adopted = bench.send(&check);
    bench.pass(1_500);
    if !bench.answers.contains_key(&adopted) {
        bench.end(check.id, 1, answer(200));
    }
    let known = &bench.answers[&adopted];
    assert_ne!(known.verdict, Verdict::NotRun, "a home that ended may have run it");
}

#[test]
fn home_unreachable() {
    let mut bench = Bench::with_slots(1);
    bench.on(Event::PeerUp { peer: peer(2) });
    let id = RequestId { home: Incarnation(2), sequence: 5 };
    let mut call = Call { id, ..bench.make("posting") };
    call.deadline = Duration::from_secs(9);
    let ticket = bench.send(&call);
    bench.on(Event::PeerDown { peer: Incarnation(2), gone: false });
    bench.pass(1_100);
    bench.expect(ticket, Verdict::Unknown, false, Reason::HomeUnreachable);
    assert!(bench.dispatched.is_empty());
}

#[test]
fn drained() {
    let mut bench = Bench::with_slots(1);
    bench.on(Event::PeerUp { peer: peer(2) });
    bench.pass(3_000);
    let running = bench.call("posting");
    let mut waiting = None;
    while bench.router.snapshot().queues.is_empty() {
        waiting = Some(bench.call("posting"));
    }
    let (waiting, moved) = waiting.expect("one request waits");
    let before = bench.dispatched.len();
    bench.on(Event::Drain);
    let parts = bench.sent.iter().filter(|(_, m)| matches!(m, Message::Handover { .. }));
    assert!(parts.count() > 0, "nothing was handed over");
    let told = Answer { id: moved, ..bench_answer(moved) };
    bench.on(Event::Peer { from: Incarnation(2), message: Message::Answer { answer: told } });
    bench.expect(waiting, Verdict::Ran, true, Reason::Answered);
    for (id, attempt, ..) in bench.dispatched.clone() {
        bench.end(id, attempt, answer(200));
    }
    if bench.dispatched.iter().any(|(id, ..)| *id == running.1) {
        bench.expect(running.0, Verdict::Ran, true, Reason::Answered);
    }
    for _ in 0..8 {
        let parts: Vec<(Incarnation, u64)> =
            bench.sent.drain(..).filter_map(|(_, message)| part_of(&message)).collect();
        for (home, part) in parts {
            let message = Message::Taken { home, part };
            bench.on(Event::Peer { from: Incarnation(2), message });
        }
        bench.pass(300);
    }
    assert!(bench.drained);
    assert_eq!(bench.dispatched.len(), before, "dispatched while draining");
}

fn bench_answer(id: RequestId) -> Answer {
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
    let mut bench = Bench::with_slots(2);
    bench.on(Event::BackendSignal { backend: "b1".into(), sign: HealthSignal::Unavailable });
    let (running, id) = bench.call("posting");
    bench.call("posting");
    assert!(bench.dispatched.iter().all(|(_, _, backend, _)| backend == "b2"));
    let mut leaving = backend("b2", "hub", 2);
    leaving.leaving = true;
    let list = vec![backend("b1", "hub", 2), leaving];
    bench.on(Event::Backends { list });
    let before = bench.dispatched.len();
    let (ticket, _) = bench.call("posting");
    bench.pass(500);
    bench.end(id, 1, answer(200));
    bench.expect(running, Verdict::Ran, true, Reason::Answered);
    bench.pass(600);
    assert_eq!(bench.dispatched.len(), before, "work for a leaving backend server");
    bench.expect(ticket, Verdict::NotRun, true, Reason::Expired);
}

#[test]
fn late_answers_match_nothing() {
    let mut bench = Bench::with_slots(1);
    let call = bench.make("check");
    let first = bench.send(&call);
    bench.pass(1_100);
    bench.expect(first, Verdict::Unknown, false, Reason::DeadlinePassed);
    assert_eq!(bench.aborted, [call.id]);
    let repeat = bench.send(&call);
    bench.end(call.id, 1, AttemptResult::Answered { status: 200, body: Bytes::from("late") });
    assert!(!bench.answers.contains_key(&repeat), "a late answer met the new attempt");
    bench.end(call.id, 2, answer(200));
    bench.expect(repeat, Verdict::Ran, true, Reason::Answered);
}
