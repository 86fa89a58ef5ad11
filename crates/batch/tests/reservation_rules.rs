//! Which waiting steps get a reservation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::Event;
use batch::JobId;
use batch::JobState;
use batch::Need;
use batch::Note;
use batch::Planner;
use batch::Policy;
use batch::Queue;
use batch::Record;
use batch::RenewalReport;
use batch::Settings;
use batch::Spec;
use batch::StepSpec;
use batch::Submission;
use batch::TaskRecord;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

/// Start of the planner, in ms.
const START: u64 = 1_000;

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

/// Queues whose jobs are too late to earn anything after 12 s, plus three times their run time for
/// the last one.
fn policy() -> Policy {
    let queue = |priority, stretch, advised| Queue {
        host: "jobs.example".to_owned(),
        prefix: format!("/q{priority}/"),
        service: "service".to_owned(),
        priority,
        attempts: 4,
        stretch,
        objective_ms: 4_000,
        public: false,
        advised,
    };
    let queues = [
        ("urgent", queue(0, 0.0, false)),
        ("usual", queue(1, 0.0, false)),
        ("advised", queue(1, 0.0, true)),
        ("patient", queue(2, 1.0, false)),
    ];
    let queues = queues.map(|(name, queue)| (name.to_owned(), queue));
    Policy { queues: BTreeMap::from(queues), ..Policy::default() }
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

/// Jobs that get a reservation `after` ms from the start beside a run of 10 s that uses most of the
/// only worker. The waiting jobs have one step each, by queue.
fn reserved(limit: usize, after: u64, waiting: &[(&str, StepSpec)]) -> Vec<String> {
    let settings = Settings {
        lease: Duration::from_secs(60),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
        bounds: ViewBounds::default(),
    };
    let start = Time::from_millis(START);
    let mut planner = Planner::new(settings, start, Duration::from_secs(60));
    planner.limit_reservations(limit);
    let place = Some(worker().id);
    let task = TaskRecord { run: 1, place, ..TaskRecord::default() };
    let record =
        Record { state: JobState::Running, begun: true, occurrences: vec![vec![vec![task]]] };
    let busy = submission("urgent", step(6, 10_000));
    let mut events = vec![
        Event::Configured(Arc::new(policy())),
        Event::Listed(vec![worker()]),
        Event::Restored(JobId("busy".into()), busy, Some(record)),
    ];
    for (queue, step) in waiting {
        let job = submission(queue, step.clone());
        events.push(Event::Restored(JobId((*queue).into()), job, None));
    }
    let report = RenewalReport {
        sent: start,
        clock: START,
        incarnation: 1,
        running: Vec::new(),
        ended: Vec::new(),
        truncated: true,
    };
    events.extend([Event::RestoreComplete, Event::Renewed(worker().id, report)]);
    events.into_iter().for_each(|event| planner.apply(start, event));
    let now = Time::from_millis(START + after);
    let actions = planner.handle(now, Stamp(0), Event::Tick);
    let jobs = actions.into_iter().filter_map(|action| match action {
        Action::Note(Note::Reserves { job, .. }) => Some(job.to_string()),
        _ => None,
    });
    jobs.collect()
}

/// One task with `gpu` accelerators.
fn step(gpu: u64, estimate_ms: u64) -> StepSpec {
    let need = Need { cpu: 100, memory: 100, gpu };
    StepSpec { count: 1, need, estimate_ms, ..StepSpec::default() }
}

fn gang(gpu: u64, estimate_ms: u64) -> StepSpec {
    StepSpec { gang: true, ..step(gpu, estimate_ms) }
}

/// Wide steps get a reservation once they could begin soon, as many as may be made. Small ones get
/// none, nor do steps whose workers the advice service chooses.
#[test]
fn wide_steps() {
    let usual = ("usual", step(5, 10));
    assert_eq!(reserved(4, 8_000, std::slice::from_ref(&usual)), ["usual"]);
    assert_eq!(reserved(4, 5_900, std::slice::from_ref(&usual)), [""; 0], "begins in 4.1 s");
    assert_eq!(reserved(0, 8_000, std::slice::from_ref(&usual)), [""; 0], "no reservations");
    assert_eq!(reserved(4, 8_000, &[("usual", step(4, 10))]), [""; 0], "half a worker");
    assert_eq!(reserved(4, 8_000, &[("usual", gang(4, 10))]), ["usual"]);
    assert_eq!(reserved(4, 8_000, &[("urgent", gang(4, 10))]), [""; 0], "urgent");
    assert_eq!(reserved(4, 8_000, &[("advised", gang(4, 10))]), [""; 0]);
    let both = [("usual", gang(3, 10)), ("patient", gang(3, 10))];
    assert_eq!(reserved(1, 8_000, &both), ["usual"]);
    assert_eq!(reserved(4, 8_000, &both), ["usual"], "the first one holds the whole fleet");
    let both = [("usual", gang(3, 3_000)), ("patient", gang(3, 3_000))];
    assert_eq!(reserved(1, 8_000, &both), ["patient"], "the other one would end too late");
}

/// Guards against capacity that is held for a job that earns nothing more while others wait.
#[test]
fn late_steps() {
    let late = ("usual", gang(3, 10));
    assert_eq!(reserved(4, 12_100, std::slice::from_ref(&late)), ["usual"], "nothing else waits");
    assert_eq!(reserved(4, 12_100, &[late, ("patient", step(4, 20_000))]), [""; 0]);
}
