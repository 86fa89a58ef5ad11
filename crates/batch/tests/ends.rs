//! Acknowledgement of the ends of runs that workers report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::End;
use batch::Event;
use batch::JobId;
use batch::Need;
use batch::Outcome;
use batch::Planner;
use batch::RenewalReport;
use batch::Settings;
use batch::TaskKey;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

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

/// A planner with one worker, at a given time in ms, whose commits succeed at once.
struct Owner {
    planner: Planner,
    now: u64,
    /// Store revision of its last transaction.
    revision: u64,
}

impl Owner {
    /// An owner that took over long ago, and calls no worker because of starts of the former one.
    fn new() -> Owner {
        let settings = Settings {
            lease: Duration::from_secs(6),
            stop: Duration::from_millis(200),
            retention: Duration::from_secs(120),
            bounds: ViewBounds::default(),
        };
        let planner = Planner::new(settings, Time::from_millis(1_000), Duration::from_secs(2));
        let mut owner = Owner { planner, now: 60_000, revision: 0 };
        owner.handle(Event::Configured(Arc::default()));
        owner.handle(Event::Listed(vec![worker()]));
        owner
    }

    /// Handles an event a second later. Returns what a renewal that is sent then acknowledges.
    fn handle(&mut self, event: Event) -> Option<u64> {
        self.now += 1_000;
        let now = Time::from_millis(self.now);
        let mut actions = self.planner.handle(now, Stamp(self.now), event);
        if actions.iter().any(|action| matches!(action, Action::Commit(_))) {
            self.revision += 1;
            for event in [Event::Stored(self.revision), Event::Committed] {
                actions.extend(self.planner.handle(now, Stamp(self.now), event));
            }
        }
        actions.into_iter().find_map(|action| match action {
            Action::Renew { seen, .. } => Some(seen),
            _ => None,
        })
    }

    /// Reports the ends of `numbers` from an incarnation of the worker.
    fn report(&mut self, incarnation: u64, numbers: &[u64]) -> Option<u64> {
        let task =
            TaskKey { job: JobId("00000000000000aa".into()), occurrence: 0, step: 0, index: 0 };
        let end = |&number: &u64| End {
            number,
            task: task.clone(),
            run: number as u32,
            outcome: Outcome::Failed,
            saved: String::new(),
        };
        let report = RenewalReport {
            sent: Time::from_millis(self.now),
            clock: self.now,
            incarnation,
            running: Vec::new(),
            ended: numbers.iter().map(end).collect(),
            truncated: false,
        };
        self.handle(Event::Renewed(worker().id, report))
    }
}

/// Guards against failures that are never counted: an acknowledgement that went unanswered was sent
/// again, and the worker, which had restarted meanwhile, discarded its first ends unreported.
#[test]
fn restarted_worker() {
    let mut owner = Owner::new();
    assert_eq!(owner.handle(Event::RestoreComplete), Some(0));
    assert_eq!(owner.report(1, &[1, 2]), Some(2));
    assert_eq!(owner.handle(Event::RenewalFailed(worker().id)), Some(0));
    assert_eq!(owner.report(2, &[1]), Some(1), "the ends of the new incarnation");
}

/// An acknowledgement that was lost is sent again once the same incarnation answers.
#[test]
fn lost_acknowledgement() {
    let mut owner = Owner::new();
    assert_eq!(owner.handle(Event::RestoreComplete), Some(0));
    assert_eq!(owner.report(1, &[1, 2]), Some(2));
    assert_eq!(owner.handle(Event::RenewalFailed(worker().id)), Some(0));
    assert_eq!(owner.report(1, &[1, 2]), Some(2));
    assert_eq!(owner.report(1, &[]), None, "nothing is left to acknowledge");
}
