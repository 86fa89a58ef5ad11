//! Runs that a new owner finds in the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::End;
use batch::Event;
use batch::JobId;
use batch::JobState;
use batch::Need;
use batch::Note;
use batch::Outcome;
use batch::Planner;
use batch::Record;
use batch::RenewalReport;
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

const NOW: Time = Time::from_millis(1_000);
const QUIET: Duration = Duration::from_secs(2);

fn worker(number: u8) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId(format!("i-{number}").into()),
        service: "service".to_owned(),
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

/// A task whose first run is on a worker.
fn placed_on(number: u8) -> TaskRecord {
    TaskRecord { run: 1, place: Some(worker(number).id), ..TaskRecord::default() }
}

fn placed() -> TaskRecord {
    placed_on(1)
}

fn job() -> JobId {
    JobId("00000000000000aa".into())
}

fn settings() -> Settings {
    Settings {
        lease: Duration::from_secs(6),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
        bounds: ViewBounds::default(),
    }
}

/// What the store says of a one-step job.
struct Stored {
    state: JobState,
    cancelled: bool,
    gang: bool,
}

const RUNNING: Stored = Stored { state: JobState::Running, cancelled: false, gang: false };

/// A new owner of a one-step job, with the actions of its takeover.
fn take_over(stored: Stored, tasks: Vec<TaskRecord>) -> (Planner, Vec<Action>) {
    let Stored { state, cancelled, gang } = stored;
    let need = Need { cpu: 100, memory: 100, gpu: 1 };
    let step = StepSpec { count: tasks.len() as u32, need, gang, ..StepSpec::default() };
    let submission = Submission {
        queue: "queue".to_owned(),
        admitted: None,
        account: None,
        taken: Stamp(0),
        cancelled,
        spec: Arc::new(Spec { steps: vec![step], ..Spec::default() }),
    };
    let record = Record { state, begun: true, occurrences: vec![vec![tasks]] };
    let mut planner = Planner::new(settings(), NOW, QUIET);
    let events = [
        Event::Listed(vec![worker(1), worker(2)]),
        Event::Restored(job(), submission, Some(record)),
        Event::RestoreComplete,
    ];
    let mut actions = Vec::new();
    for event in events {
        actions.extend(planner.handle(NOW, Stamp(0), event));
    }
    (planner, actions)
}

/// Indexes of the tasks of a one-step job that a new owner stops.
fn stopped(stored: Stored, tasks: Vec<TaskRecord>) -> BTreeSet<u32> {
    let mut stopped = BTreeSet::new();
    for action in take_over(stored, tasks).1 {
        if let Action::Stop { task, run, .. } = action {
            assert_eq!(run, 1);
            stopped.insert(task.index);
        }
    }
    stopped
}

/// Number of runs that the actions give up.
fn given_up(actions: &[Action]) -> usize {
    let gives_up = |action: &&Action| matches!(action, Action::Note(Note::GivesUp { .. }));
    actions.iter().filter(gives_up).count()
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

/// Guards against a run that goes on after a takeover although an earlier one has completed its
/// task.
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

/// Guards against two runs of a task at once: a new owner gave up a gang's run on a silent worker
/// where a start by the former owner could still arrive, and started the next run elsewhere.
#[test]
fn start_in_doubt() {
    let tasks = vec![placed_on(1), placed_on(1), placed_on(2)];
    let (mut planner, mut actions) = take_over(Stored { gang: true, ..RUNNING }, tasks);
    let mut handle = |at, event| {
        actions.extend(planner.handle(at, Stamp(0), event));
        given_up(&actions)
    };
    let soon = NOW + Duration::from_millis(200);
    let task = TaskKey { job: job(), occurrence: 0, step: 0, index: 2 };
    let end = End { number: 1, task, run: 1, outcome: Outcome::Broken, saved: String::new() };
    let report = RenewalReport {
        sent: NOW + Duration::from_millis(100),
        clock: 50_000,
        incarnation: 1,
        running: Vec::new(),
        ended: vec![end],
        truncated: false,
    };
    for _ in 0..2 {
        assert_eq!(handle(soon, Event::RenewalFailed(worker(1).id)), 0);
    }
    assert_eq!(handle(soon, Event::Renewed(worker(2).id, report)), 0, "the start may still arrive");
    let expired = NOW + QUIET + settings().lease;
    assert_eq!(handle(expired, Event::Tick), 0, "its clock may be slow");
    assert_eq!(handle(expired + settings().lease / 40, Event::Tick), 2, "all leases have expired");
}

/// Guards against tasks that run twice: a worker had more ends to report than an answer has room
/// for, and the runs behind the later ones counted as missing.
#[test]
fn truncated_report() {
    let (mut planner, _) = take_over(RUNNING, vec![placed(); 6]);
    let end = |number: u32| End {
        number: u64::from(number),
        task: TaskKey { job: job(), occurrence: 0, step: 0, index: number - 1 },
        run: 1,
        outcome: Outcome::Done,
        saved: String::new(),
    };
    let report = |at, ended, truncated| RenewalReport {
        sent: NOW + Duration::from_millis(at),
        clock: 50_000 + at,
        incarnation: 1,
        running: Vec::new(),
        ended,
        truncated,
    };
    let mut handle =
        |at, event| planner.handle(NOW + Duration::from_millis(at + 10), Stamp(0), event);
    let first: Vec<End> = (1..=4).map(end).collect();
    let answers = [(100, first.clone(), true), (1_200, first, true), (2_300, vec![end(5)], false)];
    let given_up: Vec<usize> = answers
        .into_iter()
        .map(|(at, ended, truncated)| {
            let answer = Event::Renewed(worker(1).id, report(at, ended, truncated));
            given_up(&handle(at, answer))
        })
        .collect();
    assert_eq!(given_up, [0, 0, 1], "only the run that no complete report lists is missing");
}
