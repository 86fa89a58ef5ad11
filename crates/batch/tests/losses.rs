//! Losses of workers soon after a start: which of them count as crashes, and what waits for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Action;
use batch::Event;
use batch::Fate;
use batch::JobId;
use batch::JobState;
use batch::Need;
use batch::Planner;
use batch::Policy;
use batch::Queue;
use batch::Record;
use batch::RenewalReport;
use batch::RunReport;
use batch::Service;
use batch::Settings;
use batch::Spec;
use batch::StartResult;
use batch::StepSpec;
use batch::Submission;
use batch::TaskKey;
use batch::TaskRecord;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

/// A planner, the last record that it stored, and the runs that it started.
struct World {
    planner: Planner,
    stored: Option<Record>,
    /// Store revision of the last commit.
    revision: u64,
    started: Vec<u32>,
    /// Whether commits are left unanswered.
    slow_store: bool,
}

fn id() -> WorkerId {
    WorkerId("i-1".into())
}

fn job() -> JobId {
    JobId("00000000000000aa".into())
}

fn task() -> TaskKey {
    TaskKey { job: job(), occurrence: 0, step: 0, index: 0 }
}

fn submission() -> Submission {
    let need = Need { cpu: 100, memory: 100, gpu: 1 };
    let step = StepSpec { count: 1, need, ..StepSpec::default() };
    Submission {
        queue: "queue".to_owned(),
        admitted: None,
        account: None,
        taken: Stamp(0),
        cancelled: false,
        spec: Arc::new(Spec { steps: vec![step], ..Spec::default() }),
    }
}

impl World {
    /// An owner that takes over at 1 s with one worker, in its incarnation 1, and perhaps one job.
    fn new(task: Option<TaskRecord>) -> World {
        let settings = Settings {
            lease: Duration::from_secs(6),
            stop: Duration::from_millis(200),
            retention: Duration::from_secs(120),
            bounds: ViewBounds::default(),
        };
        let planner = Planner::new(settings, Time::from_millis(1_000), Duration::from_secs(2));
        let mut world =
            World { planner, stored: None, revision: 0, started: Vec::new(), slow_store: false };
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
        let policy = Policy {
            queues: BTreeMap::from([("queue".to_owned(), queue)]),
            services: BTreeMap::from([("service".to_owned(), Service::default())]),
            ..Policy::default()
        };
        let worker = WorkerInfo {
            id: id(),
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
        world.event(1_000, Event::Configured(Arc::new(policy)));
        world.event(1_000, Event::Listed(vec![worker]));
        if let Some(task) = task {
            let record = Record {
                state: JobState::Running,
                begun: true,
                occurrences: vec![vec![vec![task]]],
            };
            world.event(1_000, Event::Restored(job(), submission(), Some(record)));
        }
        world.event(1_000, Event::RestoreComplete);
        world
    }

    fn event(&mut self, at: u64, event: Event) {
        let now = Time::from_millis(at);
        self.planner.apply(now, Event::Confirmed(now));
        let mut actions = self.planner.handle(now, Stamp(0), event);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                Action::Commit(records) => {
                    self.stored = records.into_iter().find_map(|(_, record)| record);
                    if !self.slow_store {
                        self.store(now);
                        actions.extend(self.planner.handle(now, Stamp(0), Event::Committed));
                    }
                }
                Action::Start { run, .. } => self.started.push(run),
                _ => {}
            }
        }
    }

    /// The store carries out a commit.
    fn store(&mut self, now: Time) {
        self.revision += 1;
        self.planner.apply(now, Event::Stored(self.revision));
    }

    /// The worker answers a renewal; its clock started with its incarnation.
    fn answer(&mut self, at: u64, clock: u64, incarnation: u64, running: Vec<RunReport>) {
        let sent = Time::from_millis(at - 10);
        let (ended, truncated) = (Vec::new(), false);
        let report = RenewalReport { sent, clock, incarnation, running, ended, truncated };
        self.event(at, Event::Renewed(id(), report));
    }

    /// Two renewals fail, and all leases expire.
    fn cut_off(&mut self, at: u64) {
        self.event(at, Event::RenewalFailed(id()));
        self.event(at + 500, Event::RenewalFailed(id()));
        self.event(at + 15_000, Event::Tick);
        self.event(at + 15_100, Event::Tick);
    }

    fn losses(&self) -> BTreeMap<u32, Fate> {
        let stored = self.stored.as_ref().expect("a stored record");
        stored.occurrences[0][0][0].losses.clone()
    }
}

fn placed(incarnation: u64) -> TaskRecord {
    TaskRecord { run: 1, place: Some(id()), incarnation, ..TaskRecord::default() }
}

/// Guards workers that were only cut off against being counted as crashed, where the record is one
/// of an earlier version, without incarnations.
#[test]
fn unknown_incarnation() {
    let mut world = World::new(Some(placed(0)));
    world.cut_off(1_500);
    world.answer(17_000, 90_000, 1, Vec::new());
    world.event(17_100, Event::Tick);
    assert_eq!(world.losses(), BTreeMap::new(), "the worker is in the incarnation that was listed");
}

/// Guards the count of crashes on workers that had missed a renewal before the start.
#[test]
fn missed_renewal() {
    let mut world = World::new(None);
    world.answer(1_050, 50_000, 1, Vec::new());
    world.slow_store = true;
    world.event(1_100, Event::Accepted(job(), submission()));
    world.event(1_150, Event::RenewalFailed(id()));
    world.slow_store = false;
    world.store(Time::from_millis(1_200));
    world.event(1_200, Event::Committed);
    assert_eq!(world.started, [1]);
    world.event(1_210, Event::Started(id(), task(), 1, StartResult::Taken));
    // It crashes now, and its next incarnation answers the next renewal.
    world.answer(4_000, 500, 2, Vec::new());
    world.event(4_100, Event::Tick);
    assert_eq!(world.losses(), BTreeMap::from([(1, Fate::Crashed)]));
}

/// Guards tasks that wait for lost workers against starting too early, and against waiting for
/// ever.
#[test]
fn hold_expiry() {
    let silent = |name: &str| Fate::Silent(WorkerId(name.into()), 5);
    let losses = BTreeMap::from([(1, Fate::Crashed), (2, silent("i-8")), (3, silent("i-9"))]);
    let mut world = World::new(Some(TaskRecord { run: 3, losses, ..TaskRecord::default() }));
    for at in (1_050..30_900).step_by(250) {
        world.answer(at, 50_000 + at, 1, Vec::new());
        assert!(world.started.is_empty(), "run starts at {at} ms");
    }
    for at in (31_000..31_600).step_by(100) {
        world.answer(at, 50_000 + at, 1, Vec::new());
    }
    assert_eq!(world.started, [4]);
    assert_eq!(world.losses(), BTreeMap::from([(1, Fate::Crashed)]));
}

/// Guards tasks against being blamed for crashes before they reach the worker.
#[test]
fn never_started() {
    let mut world = World::new(None);
    world.answer(1_050, 50_000, 1, Vec::new());
    world.event(1_100, Event::Accepted(job(), submission()));
    for round in 0..3u32 {
        let run = round + 1;
        let base = 1_100 + 5_000 * u64::from(round);
        assert!(world.started.contains(&run), "{:?}", world.started);
        for _ in 0..4 {
            world.event(base + 50, Event::Started(id(), task(), run, StartResult::Unknown));
        }
        world.event(base + 200, Event::RenewalFailed(id()));
        world.event(base + 700, Event::RenewalFailed(id()));
        let incarnation = u64::from(round) + 2;
        world.answer(base + 3_000, 500, incarnation, Vec::new());
        world.event(base + 3_010, Event::Stopped(id(), task(), run, true));
        world.answer(base + 3_100, 600, incarnation, Vec::new());
        world.event(base + 3_200, Event::Tick);
        world.answer(base + 5_000, 2_500, incarnation, Vec::new());
        world.event(base + 5_000, Event::Tick);
    }
    let state = world.stored.as_ref().expect("stored").state;
    assert_eq!(state, JobState::Running, "no worker ever had the task");
}
