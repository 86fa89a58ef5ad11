//! Runs that a new owner finds in the store and has to stop.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::Event;
use batch::JobId;
use batch::JobState;
use batch::Need;
use batch::Planner;
use batch::Record;
use batch::Settings;
use batch::Spec;
use batch::StepSpec;
use batch::Submission;
use batch::TaskRecord;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

const NOW: Time = Time::from_millis(1_000);

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
    }
}

/// A task whose first run is on the worker.
fn placed() -> TaskRecord {
    TaskRecord { run: 1, place: Some(worker().id), ..TaskRecord::default() }
}

/// What the store says of a one-step job.
struct Stored {
    state: JobState,
    cancelled: bool,
    gang: bool,
}

const RUNNING: Stored = Stored { state: JobState::Running, cancelled: false, gang: false };

/// Indexes of the tasks that a new owner stops.
fn stopped(stored: Stored, tasks: Vec<TaskRecord>) -> BTreeSet<u32> {
    let Stored { state, cancelled, gang } = stored;
    let settings = Settings {
        lease: Duration::from_secs(6),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
    };
    let need = Need { cpu: 100, memory: 100, gpu: 1 };
    let step = StepSpec { count: tasks.len() as u32, need, gang, ..StepSpec::default() };
    let submission = Submission {
        queue: "queue".to_owned(),
        account: None,
        taken: Stamp(0),
        cancelled,
        spec: Arc::new(Spec { steps: vec![step], ..Spec::default() }),
    };
    let record = Record { state, begun: true, occurrences: vec![vec![tasks]] };
    let mut planner = Planner::new(settings, NOW, Duration::from_secs(2));
    let mut stopped = BTreeSet::new();
    let events = [
        Event::Listed(vec![worker()]),
        Event::Restored(JobId("00000000000000aa".into()), submission, Some(record)),
        Event::RestoreComplete,
    ];
    for event in events {
        for action in planner.handle(NOW, Stamp(0), event) {
            if let Action::Stop { task, run, .. } = action {
                assert_eq!(run, 1);
                stopped.insert(task.index);
            }
        }
    }
    stopped
}

/// Guards against runs that go on after their job has ended: an owner that had stored the end was
/// replaced before its stops reached the worker, and the next one did not send them again.
#[test]
fn ended_jobs() {
    let tasks = || vec![placed(), TaskRecord::default(), placed()];
    let both = BTreeSet::from([0, 2]);
    assert_eq!(
        stopped(Stored { state: JobState::Cancelled, cancelled: true, ..RUNNING }, tasks()),
        both
    );
    assert_eq!(stopped(Stored { state: JobState::Failed, ..RUNNING }, tasks()), both);
    assert_eq!(stopped(Stored { state: JobState::Completed, ..RUNNING }, tasks()), both);
    // Cancelled, and the end is not stored yet.
    assert_eq!(stopped(Stored { cancelled: true, ..RUNNING }, tasks()), both);
    assert_eq!(stopped(RUNNING, tasks()), BTreeSet::new());
}

/// Guards against a run that goes on after a takeover although an earlier one has completed its task.
#[test]
fn superseded_run() {
    let done = TaskRecord { done: true, ..placed() };
    let tasks = vec![done, placed()];
    assert_eq!(stopped(RUNNING, tasks), BTreeSet::from([0]));
}

/// Guards against members of a gang that go on after a takeover although the gang has lost one, and
/// so cannot complete its run.
#[test]
fn broken_gang() {
    let lost = TaskRecord { run: 1, ..TaskRecord::default() };
    let tasks = vec![placed(), lost, placed()];
    assert_eq!(stopped(Stored { gang: true, ..RUNNING }, tasks), BTreeSet::from([0, 2]));
    let whole = vec![placed(), placed()];
    assert_eq!(stopped(Stored { gang: true, ..RUNNING }, whole), BTreeSet::new());
}
