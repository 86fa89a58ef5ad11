//! Time of a decision of the owner while long-running tasks stay in an evacuated zone because the
//! other zones are full, on 3,000 workers. Prints a JSON line.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use batch::Action;
use batch::Event;
use batch::JobId;
use batch::JobState;
use batch::Need;
use batch::Planner;
use batch::Policy;
use batch::Queue;
use batch::Record;
use batch::RenewalReport;
use batch::RunReport;
use batch::Settings;
use batch::Spec;
use batch::StepSpec;
use batch::Submission;
use batch::TaskKey;
use batch::TaskRecord;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

const WORKERS: u32 = 3_000;
const ZONES: u32 = 3;
/// Each task fills a worker, and each job may miss one of its tasks.
const JOB_TASKS: u32 = 2;
const PASSES: u64 = 40;
/// Time between two decisions, more than that between two passes that move tasks.
const INTERVAL_MS: u64 = 300;
const CAPACITY: Need = Need { cpu: 8_000, memory: 8_000, gpu: 8 };

fn worker_id(number: u32) -> WorkerId {
    WorkerId(format!("i-{number:04}").into())
}

fn worker(number: u32) -> WorkerInfo {
    let port = 8_000 + u16::try_from(number).unwrap_or(0);
    WorkerInfo {
        id: worker_id(number),
        service: "service".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: format!("zone-{}", number % ZONES),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: CAPACITY,
        incarnation: Some(1),
        drain_left: None,
        cold_left: None,
    }
}

fn policy() -> Policy {
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
    Policy { queues: BTreeMap::from([("queue".to_owned(), queue)]), ..Policy::default() }
}

fn job_id(number: u32) -> JobId {
    JobId(format!("{number:016x}").into())
}

/// A long-running job whose tasks run on the workers from `JOB_TASKS * number` on.
fn restored(number: u32) -> Event {
    let lasting = StepSpec {
        count: JOB_TASKS,
        need: CAPACITY,
        lasting: true,
        may_miss: 1,
        ..StepSpec::default()
    };
    let submission = Submission {
        queue: "queue".to_owned(),
        admitted: None,
        account: None,
        taken: Stamp(0),
        cancelled: false,
        spec: Arc::new(Spec { steps: vec![lasting], ..Spec::default() }),
    };
    let task = |index| TaskRecord {
        run: 1,
        place: Some(worker_id(number * JOB_TASKS + index)),
        incarnation: 1,
        ..TaskRecord::default()
    };
    let occurrences = vec![vec![(0..JOB_TASKS).map(task).collect()]];
    let record = Record { state: JobState::Running, begun: true, occurrences };
    Event::Restored(job_id(number), submission, Some(record))
}

/// Answer to a renewal of a worker, whose task has started up.
fn renewed(number: u32, now: Time) -> Event {
    let (job, index) = (job_id(number / JOB_TASKS), number % JOB_TASKS);
    let task = TaskKey { job, occurrence: 0, step: 0, index };
    let running = vec![RunReport { task, run: 1, percent: 100, saved: String::new() }];
    let (clock, ended) = (now.micros() / 1_000, Vec::new());
    let report =
        RenewalReport { sent: now, clock, incarnation: 1, running, ended, truncated: false };
    Event::Renewed(worker_id(number), report)
}

fn main() {
    let settings = Settings {
        lease: Duration::from_secs(60),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
        bounds: ViewBounds::default(),
    };
    let start = Time::from_millis(1_000);
    let mut planner = Planner::new(settings, start, Duration::from_secs(2));
    planner.apply(start, Event::Configured(Arc::new(policy())));
    planner.apply(start, Event::Listed((0..WORKERS).map(worker).collect()));
    (0..WORKERS / JOB_TASKS).for_each(|number| planner.apply(start, restored(number)));
    planner.apply(start, Event::RestoreComplete);
    planner.decide(start, Stamp(0));
    (0..WORKERS).for_each(|number| planner.apply(start, renewed(number, start)));
    planner.decide(start, Stamp(0));
    planner.apply(start, Event::Evacuated(BTreeSet::from(["zone-0".to_owned()])));
    let (mut times, mut stops) = (Vec::new(), 0);
    for pass in 1..=PASSES {
        let now = start + Duration::from_millis(pass * INTERVAL_MS);
        let before = Instant::now();
        let actions = planner.decide(now, Stamp(0));
        times.push(before.elapsed());
        stops += actions.iter().filter(|action| matches!(action, Action::Stop { .. })).count();
    }
    times.sort_unstable();
    let median = times[times.len() / 2].as_secs_f64() * 1_000.0;
    let figures = serde_json::json!({
        "workers": WORKERS,
        "stops": stops,
        "median_ms": (median * 1_000.0).round() / 1_000.0,
    });
    println!("{figures}");
}
