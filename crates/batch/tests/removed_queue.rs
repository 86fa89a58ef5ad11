//! Jobs whose queue a later configuration lacks.

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

const NOW: Time = Time::from_millis(1_000);

fn id() -> JobId {
    JobId("00000000000000aa".into())
}

fn queue() -> Queue {
    Queue {
        host: "jobs.example".to_owned(),
        prefix: "/work/".to_owned(),
        service: "service".to_owned(),
        priority: 1,
        attempts: 2,
        stretch: 2.0,
        objective_ms: 1_000,
        public: true,
        advised: false,
    }
}

fn worker(service: &str, number: u8) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId(format!("i-{number}").into()),
        service: service.to_owned(),
        address: SocketAddr::from(([10, 0, 0, number], 8_000)),
        zone: "north-a".to_owned(),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: Need { cpu: 8_000, memory: 8_000, gpu: 8 },
        incarnation: Some(1),
        drain_left: None,
        cold_left: None,
    }
}

/// Number of tasks of a job's second step that a new owner places, where the configuration has no
/// queue at all. The job is read from its stored form.
fn placed(admitted: Option<Queue>) -> usize {
    let step = StepSpec { count: 3, ..StepSpec::default() };
    let second = StepSpec { after: vec![0], ..step.clone() };
    let submission = Submission {
        queue: "queue".to_owned(),
        admitted,
        account: None,
        taken: Stamp(0),
        cancelled: false,
        spec: Arc::new(Spec { steps: vec![step, second], ..Spec::default() }),
    };
    let stored = serde_json::to_string(&submission).expect("a submission");
    let submission: Submission = serde_json::from_str(&stored).expect("the same submission");
    let done = TaskRecord { run: 1, done: true, ..TaskRecord::default() };
    let tasks = vec![vec![done; 3], vec![TaskRecord::default(); 3]];
    let record = Record { state: JobState::Running, begun: true, occurrences: vec![tasks] };
    let settings = Settings {
        lease: Duration::from_secs(6),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
        bounds: ViewBounds::default(),
    };
    let mut planner = Planner::new(settings, NOW, Duration::from_secs(3));
    let report = RenewalReport {
        sent: NOW,
        clock: 1_000,
        incarnation: 1,
        running: Vec::new(),
        ended: Vec::new(),
        truncated: false,
    };
    let workers = vec![worker("other", 1), worker("service", 2)];
    let mut count = 0;
    for event in [
        Event::Confirmed(NOW),
        Event::Configured(Arc::default()),
        Event::Listed(workers),
        Event::Restored(id(), submission, Some(record)),
        Event::RestoreComplete,
        Event::Renewed(worker("other", 1).id, report.clone()),
        Event::Renewed(worker("service", 2).id, report),
    ] {
        for action in planner.handle(NOW, Stamp(0), event) {
            if let Action::Note(Note::Placed { tasks, .. }) = action {
                count += tasks;
            }
        }
    }
    count
}

/// Guards against accepted jobs that wait for ever: the configuration that removed their queue was
/// the only source of the service whose workers run them.
#[test]
fn later_steps() {
    assert_eq!(placed(Some(queue())), 3);
    assert_eq!(placed(None), 0, "an earlier version has not stored the queue");
}
