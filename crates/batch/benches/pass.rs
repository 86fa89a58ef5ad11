//! Time of a placement pass on a full fleet with wide and small steps waiting, without and with
//! reservations. Prints a JSON line for each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

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

const WORKERS: u32 = 350;
const RACK_SIZE: u32 = 20;
const RUNS_PER_WORKER: u32 = 6;
const WAITING_GANGS: u32 = 300;
const WAITING_SMALL: u32 = 500;
const PASSES: u64 = 40;
/// Times between passes, in ms: while steps wait, and while runs end.
const INTERVALS_MS: [u64; 2] = [250, 20];

fn worker_id(number: u32) -> WorkerId {
    WorkerId(format!("i-{number:04}").into())
}

fn worker(number: u32) -> WorkerInfo {
    let cpu = if number.is_multiple_of(2) { 64_000 } else { 128_000 };
    let port = 8_000 + u16::try_from(number).unwrap_or(0);
    WorkerInfo {
        id: worker_id(number),
        service: "service".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "north-a".to_owned(),
        rack: format!("r{}", number / RACK_SIZE),
        labels: Vec::new(),
        capacity: Need { cpu, memory: 262_144, gpu: 8 },
        incarnation: Some(1),
        drain_left: None,
        cold_left: None,
    }
}

fn policy() -> Policy {
    let queue = |priority| Queue {
        host: "jobs.example".to_owned(),
        prefix: format!("/q{priority}/"),
        service: "service".to_owned(),
        priority,
        attempts: 4,
        stretch: 30.0,
        objective_ms: 100_000,
        public: false,
        advised: false,
    };
    let queues = ["urgent", "usual", "patient"].into_iter().zip(0..);
    Policy {
        queues: queues.map(|(name, priority)| (name.to_owned(), queue(priority))).collect(),
        services: BTreeMap::from([("service".to_owned(), batch::Service::default())]),
        ..Policy::default()
    }
}

fn submission(queue: &str, step: StepSpec) -> Submission {
    Submission {
        queue: queue.to_owned(),
        admitted: None,
        account: None,
        taken: Stamp(0),
        cancelled: false,
        spec: Arc::new(Spec { steps: vec![step], ..Spec::default() }),
    }
}

fn step(count: u32, cpu: u64, gpu: u64, gang: bool) -> StepSpec {
    let need = Need { cpu, memory: 8_000, gpu };
    StepSpec { count, need, estimate_ms: 8_000, gang, ..StepSpec::default() }
}

/// A job whose tasks run on consecutive workers.
fn running(number: u32) -> (JobId, Submission, Record) {
    let place = |index| TaskRecord {
        run: 1,
        place: Some(worker_id((number * 10 + index) % WORKERS)),
        ..TaskRecord::default()
    };
    let occurrences = vec![vec![(0..10).map(place).collect()]];
    let record = Record { state: JobState::Running, begun: true, occurrences };
    (
        JobId(format!("a{number:015x}").into()),
        submission("patient", step(10, 9_000, 1, false)),
        record,
    )
}

/// A planner after a takeover, with a full fleet and waiting jobs.
fn full_planner(reservations: usize) -> Planner {
    let settings = Settings {
        lease: Duration::from_secs(60),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
        bounds: ViewBounds::default(),
    };
    let now = Time::from_millis(1_000);
    let mut planner = Planner::new(settings, now, Duration::from_secs(60));
    planner.limit_reservations(reservations);
    planner.apply(now, Event::Configured(Arc::new(policy())));
    planner.apply(now, Event::Listed((0..WORKERS).map(worker).collect()));
    let mut lists: BTreeMap<WorkerId, Vec<RunReport>> = BTreeMap::new();
    for number in 0..WORKERS * RUNS_PER_WORKER / 10 {
        let (id, submission, record) = running(number);
        for (task, index) in record.occurrences[0][0].iter().zip(0..) {
            let task_key = TaskKey { job: id.clone(), occurrence: 0, step: 0, index };
            let percent = (number * 7 + index * 13) % 90;
            let list = lists.entry(task.place.clone().expect("placed")).or_default();
            list.push(RunReport { task: task_key, run: 1, percent, saved: String::new() });
        }
        planner.apply(now, Event::Restored(id, submission, Some(record)));
    }
    for number in 0..WAITING_GANGS + WAITING_SMALL {
        let (queue, step) = match number < WAITING_GANGS {
            true => ("usual", step(8 + number % 11, 30_000, 1 + u64::from(number % 8), true)),
            false => ("patient", step(39, 4_000, 3, false)),
        };
        let id = JobId(format!("b{number:015x}").into());
        planner.apply(now, Event::Restored(id, submission(queue, step), None));
    }
    planner.apply(now, Event::RestoreComplete);
    for (id, running) in lists {
        let report = RenewalReport {
            sent: now,
            clock: 1_000,
            incarnation: 1,
            running,
            ended: Vec::new(),
            truncated: false,
        };
        planner.apply(now, Event::Renewed(id, report));
    }
    planner
}

/// Measures passes that follow each other after `interval` ms.
fn measure(reservations: usize, interval: u64) {
    let mut planner = full_planner(reservations);
    let policy = Arc::new(policy());
    let mut times = Vec::new();
    let mut made = 0;
    for pass in 0..PASSES {
        let now = Time::from_millis(1_000 + pass * interval);
        // The configuration has not changed, but each one causes a pass.
        planner.apply(now, Event::Configured(Arc::clone(&policy)));
        let start = Instant::now();
        planner.decide(now, Stamp(0));
        times.push(start.elapsed());
        made += planner.summary(now).reservations;
    }
    times.sort_unstable();
    let median = times[times.len() / 2].as_secs_f64() * 1_000.0;
    let mean = made as f64 / PASSES as f64;
    let figures = serde_json::json!({
        "reservations": reservations,
        "interval_ms": interval,
        "median_ms": (median * 1_000.0).round() / 1_000.0,
        "mean_reservations": mean,
    });
    println!("{figures}");
}

fn main() {
    for interval in INTERVALS_MS {
        for reservations in [0, 1, 4] {
            measure(reservations, interval);
        }
    }
}
