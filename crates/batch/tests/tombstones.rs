//! Jobs that were cancelled before they were stored.

use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::Event;
use batch::JobId;
use batch::Planner;
use batch::Record;
use batch::Settings;
use batch::Spec;
use batch::StepSpec;
use batch::Submission;
use batch::ViewBounds;
use model::Stamp;
use model::Time;

const RETENTION: Duration = Duration::from_secs(120);

fn id() -> JobId {
    JobId("00000000000000aa".into())
}

fn tombstone() -> Submission {
    Submission::tombstone("queue".to_owned(), None, Stamp(0))
}

fn planner() -> Planner {
    let settings = Settings {
        lease: Duration::from_secs(6),
        stop: Duration::from_millis(200),
        retention: RETENTION,
        bounds: ViewBounds::default(),
    };
    Planner::new(settings, Time::ZERO, Duration::from_secs(2))
}

/// Records that an event makes the owner store.
fn stored(planner: &mut Planner, at: Duration, event: Event) -> Vec<(JobId, Option<Record>)> {
    let actions = planner.handle(Time::ZERO + at, Stamp(0), event);
    let records = actions.into_iter().find_map(|action| match action {
        Action::Commit(records) => Some(records),
        _ => None,
    });
    records.unwrap_or_default()
}

/// A tombstone has no record, and is removed once after its retention time.
#[test]
fn retention_time() {
    for restored in [true, false] {
        let mut planner = planner();
        if restored {
            planner.apply(Time::ZERO, Event::Restored(id(), tombstone(), None));
        }
        assert!(stored(&mut planner, Duration::ZERO, Event::RestoreComplete).is_empty());
        let again = Event::Accepted(id(), tombstone());
        assert!(stored(&mut planner, Duration::from_millis(1), again).is_empty());
        assert!(stored(&mut planner, Duration::from_millis(1), Event::Cancelled(id())).is_empty());
        assert_eq!(planner.summary(Time::ZERO).live, 0);
        assert!(stored(&mut planner, RETENTION / 2, Event::Tick).is_empty());
        let after = RETENTION + Duration::from_millis(1);
        assert_eq!(stored(&mut planner, after, Event::Tick), [(id(), None)]);
    }
}

/// The id can be used again afterwards.
#[test]
fn next_job() {
    let mut planner = planner();
    stored(&mut planner, Duration::ZERO, Event::RestoreComplete);
    stored(&mut planner, Duration::ZERO, Event::Accepted(id(), tombstone()));
    stored(&mut planner, RETENTION, Event::Tick);
    stored(&mut planner, RETENTION, Event::Committed);
    let steps = vec![StepSpec { count: 1, ..StepSpec::default() }];
    let spec = Arc::new(Spec { steps, ..Spec::default() });
    let job = Submission { cancelled: false, spec, ..tombstone() };
    stored(&mut planner, RETENTION, Event::Accepted(id(), job));
    assert_eq!(planner.summary(Time::ZERO + RETENTION).live, 1);
}
