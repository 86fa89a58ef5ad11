//! Follows one request through the router, from the call to the answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use model::AccountId;
use model::Class;
use model::Incarnation;
use model::RegionId;
use model::Revision;
use model::ServiceId;
use model::Time;
use model::Verdict;
use model::ZoneId;
use route::AccountPolicy;
use route::Action;
use route::AttemptResult;
use route::Backend;
use route::Call;
use route::Event;
use route::Policy;
use route::PoolId;
use route::Router;
use route::ServicePolicy;
use route::Settings;
use route::Ticket;

#[test]
fn answered_call() {
    let service = ServicePolicy::new(PoolId::new("hub"), Class::Interactive);
    let policy = Policy {
        revision: Revision(1),
        services: BTreeMap::from([(ServiceId::new("intake"), service)]),
        accounts: BTreeMap::from([(AccountId::new("coop"), AccountPolicy::default())]),
    };
    let zone = ZoneId::new("z1");
    let region = RegionId::new("r1");
    let backend = Backend {
        id: "b1".into(),
        pool: "hub".into(),
        zone: zone.clone(),
        region: region.clone(),
        slots: 8,
        connections: 64,
        leaving: false,
    };
    let mut router = Router::new(Settings::default(), Incarnation(1), zone, region, 1);
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    router.handle(now, Event::Policy { policy: Arc::new(policy) }, &mut out);
    router.handle(now, Event::Backends { list: vec![backend] }, &mut out);
    out.clear();
    let id = router.issue_id();
    let call = Call {
        id,
        service: "intake".into(),
        account: "coop".into(),
        deadline: Duration::from_secs(1),
        body: Bytes::from_static(b"ticket"),
    };
    router.handle(now, Event::Call { ticket: Ticket(7), call }, &mut out);
    let [Action::Dispatch { id: sent, attempt, body, .. }] = &out[..] else {
        panic!("expected one dispatch, got {out:?}");
    };
    assert_eq!((*sent, body.as_ref()), (id, b"ticket".as_ref()));
    let attempt = *attempt;
    out.clear();
    let result = AttemptResult::Answered { status: 200, body: Bytes::from_static(b"done") };
    router.handle(Time::from_millis(5), Event::Attempt { id, attempt, result }, &mut out);
    let [Action::Answer { ticket: Ticket(7), answer }] = &out[..] else {
        panic!("expected one answer, got {out:?}");
    };
    assert_eq!((answer.verdict, answer.last, answer.status), (Verdict::Ran, true, 200));
    assert_eq!(answer.body.as_ref(), b"done");
}
