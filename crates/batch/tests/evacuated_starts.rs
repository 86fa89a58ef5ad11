//! Starts that are under way when the availability zone of their worker is evacuated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::Event;
use batch::JobId;
use batch::Need;
use batch::Planner;
use batch::Policy;
use batch::Queue;
use batch::RenewalReport;
use batch::Settings;
use batch::Spec;
use batch::StartResult;
use batch::StepSpec;
use batch::Submission;
use batch::TaskKey;
use batch::View;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

fn task(index: u32) -> TaskKey {
    TaskKey { job: JobId("00000000000000aa".into()), occurrence: 0, step: 0, index }
}

/// Worker 1 is in zone `z1`, and so on. Later ones are larger, so that placement prefers the first.
fn worker(number: u8) -> WorkerInfo {
    let gpu = u64::from(number);
    WorkerInfo {
        id: WorkerId(format!("i-{number}").into()),
        service: "service".to_owned(),
        address: SocketAddr::from(([10, 0, 0, number], 8_000)),
        zone: format!("z{number}"),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: Need { cpu: 8_000, memory: 8_000, gpu },
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

/// An owner of one job, whose orders and commits the test answers.
struct Owner {
    planner: Planner,
    now: Time,
    /// Workers and tasks of the starts sent.
    starts: Vec<(WorkerId, TaskKey)>,
    /// Workers and tasks of the stops sent.
    stops: Vec<(WorkerId, TaskKey)>,
    /// Number of commits without an answer.
    commits: usize,
}

impl Owner {
    /// An owner with three workers and a step of `count` tasks.
    fn new(count: u32, gang: bool) -> Owner {
        let settings = Settings {
            lease: Duration::from_secs(6),
            stop: Duration::from_millis(200),
            retention: Duration::from_secs(120),
            bounds: ViewBounds::default(),
        };
        let now = Time::from_millis(1_000);
        let planner = Planner::new(settings, now, Duration::from_secs(2));
        let (starts, stops) = (Vec::new(), Vec::new());
        let mut owner = Owner { planner, now, starts, stops, commits: 0 };
        owner.event(Event::Configured(Arc::new(policy())));
        owner.event(Event::Listed(vec![worker(1), worker(2), worker(3)]));
        owner.evacuate(&[]);
        owner.event(Event::RestoreComplete);
        for number in 1..=3 {
            owner.report(number);
        }
        let need = Need { cpu: 100, memory: 100, gpu: 1 };
        let step = StepSpec { count, gang, need, ..StepSpec::default() };
        let submission = Submission {
            queue: "queue".to_owned(),
            admitted: None,
            account: None,
            taken: Stamp(0),
            cancelled: false,
            spec: Arc::new(Spec { steps: vec![step], ..Spec::default() }),
        };
        owner.event(Event::Accepted(task(0).job, submission));
        owner
    }

    /// Handles an event 100 ms after the last one.
    fn event(&mut self, event: Event) {
        self.now = self.now + Duration::from_millis(100);
        self.planner.apply(self.now, Event::Viewed(View::Evacuations, self.now));
        for action in self.planner.handle(self.now, Stamp(0), event) {
            match action {
                Action::Commit(_) => self.commits += 1,
                Action::Start { worker, task, .. } => self.starts.push((worker, task)),
                Action::Stop { worker, task, .. } => self.stops.push((worker, task)),
                _ => {}
            }
        }
    }

    fn evacuate(&mut self, zones: &[&str]) {
        let zones: BTreeSet<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
        self.event(Event::Evacuated(zones));
    }

    /// Answers all commits, also those of the following decisions.
    fn commit(&mut self) {
        for _ in 0..3 {
            while self.commits > 0 {
                self.commits -= 1;
                self.event(Event::Committed);
            }
            self.event(Event::Tick);
        }
    }

    /// A worker reports that no run is active, in an answer to a call sent just now.
    fn report(&mut self, number: u8) {
        let clock = self.now.since(Time::ZERO).as_millis() as u64;
        let (running, ended, truncated) = (Vec::new(), Vec::new(), false);
        let sent = self.now + Duration::from_millis(50);
        let report = RenewalReport { sent, clock, incarnation: 1, running, ended, truncated };
        self.event(Event::Renewed(worker(number).id, report));
    }

    /// Workers of the starts sent.
    fn started_on(&self) -> Vec<&str> {
        self.starts.iter().map(|(worker, _)| &*worker.0).collect()
    }
}

/// Guards against a start that leaves when its commit is answered, after the evacuation.
#[test]
fn commit_in_flight() {
    let mut owner = Owner::new(1, false);
    assert_eq!((owner.commits, owner.starts.len()), (1, 0));
    owner.evacuate(&["z1"]);
    owner.commit();
    assert_eq!(owner.started_on(), ["i-2"]);
    assert!(owner.stops.is_empty(), "a run that was never sent needs no stop");
}

/// Guards against the repetition of a start without an answer: the run is stopped at once.
#[test]
fn unanswered_start() {
    let mut owner = Owner::new(1, false);
    owner.commit();
    assert_eq!(owner.started_on(), ["i-1"]);
    owner.evacuate(&["z1", "z2"]);
    let (worker, task) = owner.starts[0].clone();
    assert_eq!(owner.stops, [(worker.clone(), task.clone())]);
    owner.event(Event::Started(worker.clone(), task.clone(), 1, StartResult::Unknown));
    owner.event(Event::Stopped(worker, task, 1, true));
    owner.report(1);
    owner.commit();
    assert_eq!(owner.started_on(), ["i-1", "i-3"]);
}

/// Guards against a gang that is left without its members in the evacuated zone.
#[test]
fn unanswered_member() {
    let mut owner = Owner::new(3, true);
    owner.commit();
    assert_eq!(owner.starts.len(), 3);
    let starts = owner.starts.clone();
    let (inside, outside): (Vec<_>, Vec<_>) =
        starts.into_iter().partition(|(worker, _)| &*worker.0 == "i-1");
    assert_eq!((inside.len(), outside.len()), (1, 2));
    for (worker, task) in outside {
        owner.event(Event::Started(worker, task, 1, StartResult::Taken));
    }
    owner.evacuate(&["z1"]);
    assert_eq!(owner.stops.len(), 3, "the whole gang is stopped");
}

/// Guards against a start to a worker whose entry moves it to an evacuated zone while its commit is
/// in flight.
#[test]
fn moved_worker() {
    let mut owner = Owner::new(1, false);
    owner.evacuate(&["z9"]);
    let moved = WorkerInfo { zone: "z9".to_owned(), ..worker(1) };
    owner.event(Event::Listed(vec![moved, worker(2), worker(3)]));
    owner.commit();
    assert_eq!(owner.started_on(), ["i-2"]);
}
