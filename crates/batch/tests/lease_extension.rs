//! Extension of leases by an owner that the store no longer confirms.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::Event;
use batch::Need;
use batch::Planner;
use batch::RenewalReport;
use batch::Settings;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

const LEASE: Duration = Duration::from_secs(6);
/// How long leases are extended without a confirmation.
const SOLO: Duration = Duration::from_secs(3);
/// Longest outage of the store on the users' platform.
const OUTAGE: Duration = Duration::from_millis(6_300);

fn worker() -> WorkerInfo {
    WorkerInfo {
        id: WorkerId("i-1".into()),
        service: "service".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        zone: "north-a".to_owned(),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: Need { cpu: 8_000, memory: 8_000, gpu: 8 },
        incarnation: Some(1),
        drain_left: None,
        cold_left: None,
    }
}

/// An owner with a worker whose clock shows the same time, and which has a run of another owner, so
/// that it gets renewals.
struct Owner {
    planner: Planner,
}

impl Owner {
    fn new(confirmed: Time) -> Owner {
        let settings = Settings {
            lease: LEASE,
            stop: Duration::from_millis(200),
            retention: Duration::from_secs(120),
            bounds: ViewBounds::default(),
        };
        let mut planner = Planner::new(settings, confirmed, SOLO);
        planner.apply(confirmed, Event::Confirmed(confirmed));
        planner.apply(confirmed, Event::Configured(Arc::default()));
        planner.apply(confirmed, Event::Listed(vec![worker()]));
        planner.handle(confirmed, Stamp(0), Event::RestoreComplete);
        Owner { planner }
    }

    /// The worker answers a renewal at `now`; returns the end of the lease in the next one.
    fn renew(&mut self, now: Time) -> Time {
        let task = batch::TaskKey {
            job: batch::JobId("00000000000000aa".into()),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let run = batch::RunReport { task, run: 1, saved: String::new(), percent: 0 };
        let report = RenewalReport {
            sent: now,
            clock: now.micros() / 1_000,
            incarnation: 1,
            running: vec![run],
            ended: Vec::new(),
            truncated: false,
        };
        let actions = self.planner.handle(now, Stamp(0), Event::Renewed(worker().id, report));
        let deadline = actions.into_iter().find_map(|action| match action {
            Action::Renew { deadline, .. } => deadline,
            _ => None,
        });
        Time::from_millis(deadline.expect("a renewal with a lease"))
    }
}

/// Guards against tasks that run twice: an owner that had lost the store, or was suspended, went on
/// extending leases for longer than the next owner assumed.
#[test]
fn unconfirmed_owner() {
    let confirmed = Time::from_millis(10_000);
    let mut owner = Owner::new(confirmed);
    let early = confirmed + Duration::from_secs(1);
    assert_eq!(owner.renew(early), early + LEASE);
    for late in [4, 8, 60] {
        let now = confirmed + Duration::from_secs(late);
        assert!(!owner.planner.extends_leases(now));
        assert_eq!(owner.renew(now), confirmed + SOLO + LEASE, "{late} s later");
    }
    let again = confirmed + Duration::from_secs(61);
    owner.planner.apply(again, Event::Confirmed(again));
    assert_eq!(owner.renew(again), again + LEASE);
}

/// Runs outlast an outage of the store, in which no ownership is confirmed.
#[test]
fn store_outage() {
    let confirmed = Time::from_millis(10_000);
    let mut owner = Owner::new(confirmed);
    let end = owner.renew(confirmed + OUTAGE);
    assert!(end > confirmed + OUTAGE + Duration::from_secs(2), "no time for a takeover");
}
