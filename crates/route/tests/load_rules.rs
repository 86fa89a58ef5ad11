//! Behaviour under load: queue order, reserved slots, fair shares, ejection, hedging, and the
//! budgets of retries and of the link to other regions.

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
use route::AccountPolicy;
use route::Action;
use route::AttemptResult;
use route::Backend;
use route::BackendState;
use route::Call;
use route::Cause;
use route::Event;
use route::HealthSignal;
use route::Policy;
use route::PoolId;
use route::Router;
use route::ServicePolicy;
use route::Settings;
use route::Ticket;

/// A router with a clock and a record of its actions.
struct Harness {
    router: Router,
    now: Time,
    tickets: u64,
    dispatched: Vec<Sent>,
    probes: Vec<String>,
}

#[derive(Clone, Debug)]
struct Sent {
    id: RequestId,
    attempt: u32,
    backend: String,
}

fn service(class: Class, idempotent: bool, hedge: bool) -> ServicePolicy {
    let mut policy = ServicePolicy::new(PoolId::new("hub"), class);
    (policy.idempotent, policy.hedge) = (idempotent, hedge);
    policy
}

fn backend(name: &str, region: &str, slots: u32) -> Backend {
    Backend {
        id: name.into(),
        pool: "hub".into(),
        zone: "z1".into(),
        region: region.into(),
        slots,
        connections: 64,
        leaving: false,
    }
}

impl Harness {
    fn new(list: Vec<Backend>) -> Harness {
        let settings = Settings { link_rate: 1_000, ..Settings::default() };
        let router = Router::new(settings, Incarnation(1), "z1".into(), "r1".into(), 1);
        let now = Time::from_millis(1);
        let mut harness =
            Harness { router, now, tickets: 0, dispatched: Vec::new(), probes: Vec::new() };
        let services = BTreeMap::from([
            (ServiceId::new("ticket"), service(Class::Interactive, false, false)),
            (ServiceId::new("check"), service(Class::Interactive, true, true)),
            (ServiceId::new("review"), service(Class::Batch, true, false)),
            (ServiceId::new("sorting"), service(Class::Batch, false, false)),
        ]);
        let account = |weight| AccountPolicy { weight, ..AccountPolicy::default() };
        let accounts = BTreeMap::from([
            (AccountId::new("large"), account(3)),
            (AccountId::new("small"), account(1)),
        ]);
        let policy = Policy { revision: Revision(1), services, accounts };
        harness.handle(Event::Policy { policy: Arc::new(policy) });
        harness.handle(Event::Backends { list });
        harness
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Dispatch { id, attempt, backend, .. } => {
                    self.dispatched.push(Sent { id, attempt, backend: backend.to_string() });
                }
                Action::Probe { backend } => self.probes.push(backend.to_string()),
                _ => {}
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(wake) = self.router.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    fn call(&mut self, service: &str, account: &str, millis: u64) -> RequestId {
        let id = self.router.issue_id();
        let call = Call {
            id,
            service: service.into(),
            account: account.into(),
            deadline: Duration::from_millis(millis),
            body: Bytes::new(),
        };
        self.tickets += 1;
        self.handle(Event::Call { ticket: Ticket(self.tickets), call });
        id
    }

    fn finish_attempt(&mut self, sent: &Sent, result: AttemptResult) {
        self.handle(Event::Attempt { id: sent.id, attempt: sent.attempt, result });
    }

    fn state(&self, name: &str) -> BackendState {
        let view = self.router.snapshot();
        let found = view.backends.iter().find(|backend| backend.id.as_str() == name);
        found.expect("the backend server is listed").state
    }
}

fn ok() -> AttemptResult {
    AttemptResult::Answered { status: 200, body: Bytes::new() }
}

#[test]
fn earliest_deadline_first() {
    let mut harness = Harness::new(vec![backend("b1", "r1", 1)]);
    harness.call("ticket", "large", 1_000);
    let late = harness.call("ticket", "large", 5_000);
    let soon = harness.call("ticket", "large", 2_000);
    harness.advance(1);
    let first = harness.dispatched[0].clone();
    harness.finish_attempt(&first, ok());
    assert_eq!(harness.dispatched[1].id, soon);
    let second = harness.dispatched[1].clone();
    harness.finish_attempt(&second, ok());
    assert_eq!(harness.dispatched[2].id, late);
}

#[test]
fn reserved_slots() {
    let mut harness = Harness::new(vec![backend("b1", "r1", 8)]);
    for _ in 0..20 {
        harness.call("review", "large", 60_000);
        harness.call("sorting", "small", 60_000);
    }
    assert_eq!(harness.dispatched.len(), 6, "batch work used reserved slots");
    for count in 7..=8 {
        harness.call("ticket", "large", 1_000);
        assert_eq!(harness.dispatched.len(), count, "interactive work waited behind batch work");
    }
}

#[test]
fn straggler_bound() {
    let mut harness = Harness::new(vec![backend("b1", "r1", 8)]);
    for _ in 0..20 {
        harness.call("sorting", "large", 60_000);
    }
    assert_eq!(
        harness.dispatched.len(),
        4,
        "non-idempotent batch work used more slots than its bound"
    );
}

#[test]
fn weighted_shares() {
    let mut harness = Harness::new(vec![backend("b1", "r1", 2)]);
    let mut owners = BTreeMap::new();
    for _ in 0..400 {
        for account in ["large", "small"] {
            owners.insert(harness.call("review", account, 600_000), account);
        }
    }
    let mut counts = BTreeMap::new();
    for index in 0..400 {
        harness.advance(20);
        let sent = harness.dispatched[index].clone();
        *counts.entry(owners[&sent.id]).or_insert(0) += 1;
        harness.finish_attempt(&sent, ok());
    }
    let large = counts["large"];
    assert!(
        (285..=315).contains(&large),
        "the account with weight 3 of 4 got {large} of 400 slots"
    );
}

#[test]
fn ejection_and_probes() {
    let list = (0..4).map(|i| backend(&format!("b{i}"), "r1", 8)).collect();
    let mut harness = Harness::new(list);
    harness.call("ticket", "large", 1_000);
    let bad = harness.dispatched[0].backend.clone();
    harness
        .handle(Event::BackendSignal { backend: bad.as_str().into(), sign: HealthSignal::Refused });
    assert_eq!(harness.state(&bad), BackendState::Ejected);
    let before = harness.dispatched.len();
    for _ in 0..20 {
        harness.call("ticket", "large", 1_000);
    }
    assert!(harness.dispatched[before..].iter().all(|sent| sent.backend != bad));
    harness.advance(1_500);
    assert_eq!(harness.probes, std::slice::from_ref(&bad));
    harness.handle(Event::BackendSignal {
        backend: bad.as_str().into(),
        sign: HealthSignal::Connected,
    });
    assert_eq!(harness.state(&bad), BackendState::Warming);
    let before = harness.dispatched.len();
    for _ in 0..11 {
        harness.call("ticket", "large", 1_000);
    }
    let sent = harness.dispatched[before..].iter().filter(|sent| sent.backend == bad);
    assert!(sent.count() <= 1, "a backend server in slow start got more than one request");
}

#[test]
fn failures_eject() {
    let list = (0..4).map(|i| backend(&format!("b{i}"), "r1", 1)).collect();
    let mut harness = Harness::new(list);
    for _ in 0..12 {
        harness.call("ticket", "large", 1_000);
        let sent = harness.dispatched.last().expect("a slot is free").clone();
        let bad = sent.backend == "b0";
        harness.advance(10);
        harness.finish_attempt(
            &sent,
            if bad { AttemptResult::Broken { cause: Cause::Reset } } else { ok() },
        );
    }
    assert_eq!(harness.state("b0"), BackendState::Ejected);
    assert_eq!(harness.state("b1"), BackendState::Up);
}

#[test]
fn hedges_only_idempotent() {
    let mut harness = Harness::new(vec![backend("b1", "r1", 2), backend("b2", "r1", 2)]);
    for service in ["check", "ticket"] {
        for _ in 0..10 {
            harness.call(service, "large", 1_000);
            let sent = harness.dispatched.last().expect("a slot is free").clone();
            harness.advance(10);
            harness.finish_attempt(&sent, ok());
        }
    }
    let (check, ticket) =
        (harness.call("check", "large", 900), harness.call("ticket", "large", 900));
    harness.advance(500);
    let to = |id| harness.dispatched.iter().filter(move |sent| sent.id == id);
    let hedged: Vec<&Sent> = to(check).collect();
    assert_eq!(hedged.len(), 2);
    assert_ne!(hedged[0].backend, hedged[1].backend);
    assert_eq!(to(ticket).count(), 1, "a non-idempotent request got a second attempt");
}

#[test]
fn retry_budget() {
    let mut harness = Harness::new(vec![backend("b1", "r1", 200), backend("b2", "r1", 200)]);
    for _ in 0..100 {
        harness.call("check", "large", 100_000);
        let sent = harness.dispatched.last().expect("a slot is free").clone();
        harness.finish_attempt(&sent, AttemptResult::TimedOut { sent: true });
    }
    harness.advance(5_000);
    let retries = harness.dispatched.iter().filter(|sent| sent.attempt > 1).count();
    assert!(retries <= 10, "{retries} retries without any success");
}

#[test]
fn link_budget() {
    let mut harness = Harness::new(vec![backend("near", "r1", 1), backend("far", "r2", 100)]);
    harness.call("ticket", "large", 20_000);
    assert_eq!(harness.dispatched[0].backend, "near");
    for _ in 0..30 {
        harness.call("ticket", "large", 20_000);
    }
    assert_eq!(harness.dispatched.len(), 1, "request sent to another region without having waited");
    harness.advance(3_000);
    let far = harness.dispatched.iter().filter(|sent| sent.backend == "far").count();
    assert!((1..=8).contains(&far), "{far} requests of 512 bytes were sent in 3 s at 1000 bytes/s");
}
