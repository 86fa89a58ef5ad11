//! Jobs with very many tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::Event;
use batch::JobId;
use batch::JobState;
use batch::MAX_JOB_TASKS;
use batch::Need;
use batch::Note;
use batch::Planner;
use batch::Policy;
use batch::Queue;
use batch::Settings;
use batch::Spec;
use batch::StepSpec;
use batch::Submission;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

const NOW: Time = Time::from_millis(1_000);

fn id(number: usize) -> JobId {
    JobId(format!("{number:016x}").into())
}

/// A job whose tasks need `cpu` thousandths of a core each.
fn submission(count: u32, cpu: u64, repeats: u32) -> Submission {
    let step = StepSpec { count, need: Need { cpu, memory: 1, gpu: 0 }, ..StepSpec::default() };
    let first = (repeats > 0).then_some(Stamp(1));
    let spec = Spec { steps: vec![step], first, interval_ms: 1, repeats, ..Spec::default() };
    Submission {
        queue: "queue".to_owned(),
        admitted: None,
        account: None,
        taken: Stamp(0),
        cancelled: false,
        spec: Arc::new(spec),
    }
}

/// An owner with one worker of eight cores.
fn planner() -> Planner {
    let settings = Settings {
        lease: Duration::from_secs(6),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
        bounds: ViewBounds::default(),
    };
    let queue = Queue {
        host: String::new(),
        prefix: String::new(),
        service: "service".to_owned(),
        priority: 1,
        attempts: 4,
        stretch: 2.0,
        objective_ms: 1_000,
        public: true,
        advised: false,
    };
    let queues = BTreeMap::from([("queue".to_owned(), queue)]);
    let worker = WorkerInfo {
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
    };
    let mut planner = Planner::new(settings, NOW, Duration::from_secs(2));
    for event in [
        Event::Configured(Arc::new(Policy { queues, ..Policy::default() })),
        Event::Listed(vec![worker]),
    ] {
        planner.handle(NOW, Stamp(0), event);
    }
    planner
}

/// Final states of the jobs that the actions end.
fn ended(actions: &[Action]) -> Vec<(JobId, JobState)> {
    let end = |action: &Action| match action {
        Action::Note(Note::Ends { job, state, .. }) => Some((job.clone(), *state)),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}

/// Guards against owners that end one after another: a stored job had more tasks than fit into
/// their memory.
#[test]
fn oversized_jobs() {
    let mut planner = planner();
    let jobs = [
        submission(u32::MAX, 200_000, 0),
        submission(1, 100, u32::MAX),
        submission(MAX_JOB_TASKS as u32 + 1, 100, 0),
        submission(MAX_JOB_TASKS as u32, 100, 0),
    ];
    for (number, job) in jobs.into_iter().enumerate() {
        planner.apply(NOW, Event::Restored(id(number), job, None));
    }
    let actions = planner.handle(NOW, Stamp(1_000), Event::RestoreComplete);
    assert_eq!(ended(&actions), [0, 1, 2].map(|number| (id(number), JobState::Failed)));
}

/// Jobs with many tasks that no worker can run take no memory, and the others only up to a limit.
#[test]
fn deferred_jobs() {
    let mut planner = planner();
    planner.handle(NOW, Stamp(1_000), Event::RestoreComplete);
    let mut accept = |number, submission| {
        planner.handle(NOW, Stamp(1_000), Event::Accepted(id(number), submission));
        planner.summary(NOW).deferred
    };
    let many = MAX_JOB_TASKS as u32;
    let hopeless = (0..10).map(|number| accept(number, submission(many, 200_000, 0)));
    assert_eq!(hopeless.last(), Some(10));
    let runnable = (10..20).map(|number| accept(number, submission(many, 100, 0)));
    assert_eq!(runnable.last(), Some(15), "five jobs are open");
    assert_eq!(accept(20, submission(3, 100, 0)), 15, "small jobs are not held up");
    planner.handle(NOW, Stamp(1_000), Event::Cancelled(id(10)));
    assert_eq!(planner.summary(NOW).deferred, 14, "the next job is opened");
}
