//! Starts that a worker refuses, or that are in doubt when its zone is evacuated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use batch::Policy;
use batch::Queue;
use batch::Refusal;
use batch::RenewalReport;
use batch::Settings;
use batch::Spec;
use batch::StartResult;
use batch::StepSpec;
use batch::Submission;
use batch::TaskKey;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

fn task() -> TaskKey {
    TaskKey { job: JobId("00000000000000aa".into()), occurrence: 0, step: 0, index: 0 }
}

fn worker(number: u8) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId(format!("i-{number}").into()),
        service: "service".to_owned(),
        address: SocketAddr::from(([10, 0, 0, number], 8_000)),
        zone: format!("z{number}"),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: Need { cpu: 8_000, memory: 8_000, gpu: 8 },
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

/// An owner of a job of one task, whose commits succeed at once.
struct Owner {
    planner: Planner,
    now: Time,
    /// Workers and run numbers of the starts sent.
    starts: Vec<(WorkerId, u32)>,
    /// Workers and run numbers of the stops sent.
    stops: Vec<(WorkerId, u32)>,
}

impl Owner {
    fn new() -> Owner {
        let settings = Settings {
            lease: Duration::from_secs(6),
            stop: Duration::from_millis(200),
            retention: Duration::from_secs(120),
            bounds: ViewBounds::default(),
        };
        let now = Time::from_millis(1_000);
        let planner = Planner::new(settings, now, Duration::from_secs(2));
        let mut owner = Owner { planner, now, starts: Vec::new(), stops: Vec::new() };
        owner.event(Event::Configured(Arc::new(policy())));
        owner.event(Event::Listed(vec![worker(1), worker(2)]));
        owner.event(Event::RestoreComplete);
        owner.report(worker(1).id, Vec::new());
        owner.report(worker(2).id, Vec::new());
        let need = Need { cpu: 100, memory: 100, gpu: 1 };
        let step = StepSpec { count: 1, need, ..StepSpec::default() };
        let submission = Submission {
            queue: "queue".to_owned(),
            admitted: None,
            account: None,
            taken: Stamp(0),
            cancelled: false,
            spec: Arc::new(Spec { steps: vec![step], ..Spec::default() }),
        };
        owner.event(Event::Accepted(task().job, submission));
        owner
    }

    /// Handles an event 100 ms after the last one.
    fn event(&mut self, event: Event) {
        self.now = self.now + Duration::from_millis(100);
        let mut actions = self.planner.handle(self.now, Stamp(0), event);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                Action::Commit(_) => {
                    actions.extend(self.planner.handle(self.now, Stamp(0), Event::Committed));
                }
                Action::Start { worker, run, .. } => self.starts.push((worker, run)),
                Action::Stop { worker, run, .. } => self.stops.push((worker, run)),
                _ => {}
            }
        }
    }

    /// Processes the result of the last start.
    fn started(&mut self, result: StartResult) {
        let (worker, run) = self.starts.last().cloned().expect("a start");
        self.event(Event::Started(worker, task(), run, result));
    }

    /// A worker reports that no run is active.
    fn report(&mut self, worker: WorkerId, ended: Vec<End>) {
        let clock = self.now.since(Time::ZERO).as_millis() as u64;
        let (running, truncated) = (Vec::new(), false);
        let sent = self.now + Duration::from_millis(50);
        let report = RenewalReport { sent, clock, incarnation: 1, running, ended, truncated };
        self.event(Event::Renewed(worker, report));
    }

    /// Run numbers of the starts sent.
    fn runs(&self) -> Vec<u32> {
        self.starts.iter().map(|(_, run)| *run).collect()
    }
}

/// A start goes unanswered, and its repetition is refused since the run has ended or was stopped.
fn refused() -> Owner {
    let mut owner = Owner::new();
    owner.started(StartResult::Unknown);
    assert_eq!(owner.runs(), [1, 1], "an unanswered start is repeated");
    owner.started(StartResult::Refused(Refusal::Old));
    owner
}

/// Guards against a task that runs twice: a start was carried out unanswered, its run ended as done
/// before the start was repeated, and the refusal of the second start counted as no run at all.
#[test]
fn ended_run() {
    let mut owner = refused();
    assert_eq!(owner.runs(), [1, 1], "its end has not been reported");
    let (saved, outcome) = (String::new(), Outcome::Done);
    let end = End { number: 1, task: task(), run: 1, outcome, saved };
    owner.report(owner.starts[0].0.clone(), vec![end]);
    owner.event(Event::Tick);
    assert_eq!(owner.runs(), [1, 1]);
}

/// A run that its worker reports neither as ended nor as active is replaced.
#[test]
fn stopped_run() {
    let mut owner = refused();
    owner.report(owner.starts[0].0.clone(), Vec::new());
    owner.event(Event::Tick);
    assert_eq!(owner.runs(), [1, 1, 2]);
}

/// Guards against the repetition of an unanswered start in a zone that has been evacuated since: the
/// run is stopped at once and placed elsewhere.
#[test]
fn evacuated_zone() {
    let mut owner = Owner::new();
    let (id, run) = owner.starts[0].clone();
    let zone = if id == worker(1).id { worker(1).zone } else { worker(2).zone };
    owner.event(Event::Evacuated(BTreeSet::from([zone])));
    assert_eq!(owner.stops, [(id.clone(), run)]);
    owner.started(StartResult::Unknown);
    assert_eq!(owner.starts.len(), 1, "the start was repeated");
    owner.event(Event::Stopped(id.clone(), task(), run, true));
    owner.report(id.clone(), Vec::new());
    owner.event(Event::Tick);
    assert_eq!(owner.runs(), [run, run + 1]);
    assert_ne!(owner.starts[1].0, id);
}
