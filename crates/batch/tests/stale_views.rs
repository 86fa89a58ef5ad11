//! Drains, evacuations and cancellations of which the owner learns late.

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
use batch::View;
use batch::ViewBounds;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

/// When the store acknowledges the change.
const CHANGE_AT: Time = Time::from_millis(2_000);
/// Time after which starts have to respect it.
const BOUND: Duration = Duration::from_millis(3_000);
/// Timeout of an order, which may arrive that late.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// What the store announces while the views are delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Drain,
    Evacuation,
    Cancellation,
}

fn worker(drains: bool) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId("i-1".into()),
        service: "service".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        zone: "north-a".to_owned(),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: Need { cpu: 90_000, memory: 90_000, gpu: 900 },
        incarnation: Some(1),
        drain_left: drains.then_some(Duration::from_secs(60)),
    }
}

fn policy() -> Policy {
    let mut policy = Policy::default();
    let queue = Queue {
        host: String::new(),
        prefix: String::new(),
        service: "service".to_owned(),
        priority: 1,
        attempts: 9,
        stretch: 2.0,
        objective_ms: 1_000,
        public: true,
        advised: false,
    };
    policy.queues.insert("queue".to_owned(), queue);
    policy
}

fn submission() -> Submission {
    let need = Need { cpu: 100, memory: 100, gpu: 1 };
    let step = StepSpec { count: 2, gang: true, need, ..StepSpec::default() };
    let spec = Arc::new(Spec { steps: vec![step], ..Spec::default() });
    let (queue, taken) = ("queue".to_owned(), Stamp(0));
    Submission { queue, admitted: None, account: None, taken, cancelled: false, spec }
}

/// An owner whose commits succeed at once and whose starts get no answer.
struct Owner {
    planner: Planner,
    change: Change,
    now: Time,
    starts: usize,
    /// Number of starts issued after the change.
    starts_since: usize,
}

impl Owner {
    fn new(change: Change, bounds: ViewBounds) -> Owner {
        let (lease, stop) = (Duration::from_secs(6), Duration::from_millis(200));
        let settings = Settings { lease, stop, retention: Duration::from_secs(120), bounds };
        let mut planner = Planner::new(settings, Time::ZERO, Duration::from_secs(2));
        planner.apply(Time::ZERO, Event::Configured(Arc::new(policy())));
        planner.apply(Time::ZERO, Event::RestoreComplete);
        Owner { planner, change, now: Time::ZERO, starts: 0, starts_since: 0 }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = self.planner.handle(self.now, Stamp(0), event);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            let event = match action {
                Action::Commit(_) => Event::Committed,
                Action::Start { worker, task, run, send_by, .. } => {
                    // Whatever an order waits for, it is not sent after this time.
                    let limit = CHANGE_AT + BOUND;
                    assert!(send_by + ORDER_TIMEOUT <= limit, "{task} may start on {worker}");
                    self.starts += 1;
                    self.starts_since += usize::from(self.now > CHANGE_AT);
                    Event::Started(worker, task, run, StartResult::Unknown)
                }
                Action::Renew { worker, .. } => {
                    let (sent, clock) = (self.now, self.now.micros() / 1_000);
                    let (running, ended) = (Vec::new(), Vec::new());
                    let (incarnation, truncated) = (1, false);
                    let report =
                        RenewalReport { sent, clock, incarnation, running, ended, truncated };
                    self.planner.apply(self.now, Event::Renewed(worker, report));
                    continue;
                }
                _ => continue,
            };
            self.planner.apply(self.now, event);
            actions.extend(self.planner.decide(self.now, Stamp(0)));
        }
    }

    /// The owner reads the store.
    fn read_views(&mut self, job: &JobId) {
        let changed = |change| self.change == change && self.now >= CHANGE_AT;
        self.planner.apply(self.now, Event::Listed(vec![worker(changed(Change::Drain))]));
        let zones = changed(Change::Evacuation).then(|| "north-a".to_owned());
        self.planner.apply(self.now, Event::Evacuated(zones.into_iter().collect()));
        if changed(Change::Cancellation) {
            self.planner.apply(self.now, Event::Cancelled(job.clone()));
        }
        for view in [View::Directory, View::Evacuations, View::Cancellations] {
            self.handle(Event::Viewed(view, self.now));
        }
    }
}

/// Guards against starts on a worker that drains, in an evacuated zone and of a cancelled job,
/// because the owner has not read the change yet: orders and their repetitions were sent however
/// old its views were, and however long the orders had waited.
#[test]
fn delayed_views() {
    let bounds = ViewBounds { drain: Some(BOUND), evacuate: Some(BOUND), cancel: Some(BOUND) };
    for change in [Change::Drain, Change::Evacuation, Change::Cancellation] {
        for (delay, submitted) in (1_000..=10_000).step_by(500).zip((1_000..3_000).step_by(100)) {
            let mut owner = Owner::new(change, bounds.clone());
            let job = JobId(format!("{submitted:016x}").into());
            while owner.now < CHANGE_AT + Duration::from_millis(delay + 500) {
                let blind = CHANGE_AT..CHANGE_AT + Duration::from_millis(delay);
                if !blind.contains(&owner.now) {
                    owner.read_views(&job);
                }
                if owner.now == Time::from_millis(submitted) {
                    owner.handle(Event::Accepted(job.clone(), submission()));
                }
                owner.handle(Event::Tick);
                owner.now = owner.now + Duration::from_millis(100);
            }
            assert!(owner.starts > 0, "{change:?} after {delay} ms");
        }
    }
}

/// Guards against starts that are lost or sent apart because the views were stale when their commit
/// was stored: they are sent together as soon as the views are fresh.
#[test]
fn held_starts() {
    let bounds = ViewBounds { drain: Some(BOUND), evacuate: None, cancel: Some(BOUND) };
    let mut owner = Owner::new(Change::Cancellation, bounds);
    let [job, other] = ["00000000000000a1", "00000000000000a2"].map(|id| JobId(id.into()));
    owner.read_views(&other);
    owner.handle(Event::Tick);
    owner.now = Time::from_millis(2_600);
    owner.handle(Event::Accepted(job.clone(), submission()));
    owner.handle(Event::Viewed(View::Directory, owner.now));
    assert_eq!(owner.starts, 0, "the cancellations are too old");
    let first_start = |actions: Vec<Action>| {
        actions.into_iter().find_map(|action| match action {
            Action::Start { worker, task, run, .. } => Some((worker, task, run)),
            _ => None,
        })
    };
    let fresh = Event::Viewed(View::Cancellations, owner.now);
    let actions = owner.planner.handle(owner.now, Stamp(0), fresh);
    let starts = actions.iter().filter(|action| matches!(action, Action::Start { .. })).count();
    assert_eq!(starts, 2, "both members start");
    let (worker, task, run) = first_start(actions).expect("a start");
    // The order waits for longer than its views stay fresh.
    owner.now = owner.now + BOUND;
    let unsent = Event::Started(worker.clone(), task.clone(), run, StartResult::NotSent);
    assert_eq!(first_start(owner.planner.handle(owner.now, Stamp(0), unsent)), None);
    for view in [View::Directory, View::Cancellations] {
        owner.planner.apply(owner.now, Event::Viewed(view, owner.now));
    }
    let again = first_start(owner.planner.handle(owner.now, Stamp(0), Event::Tick));
    assert_eq!(again, Some((worker, task, run)), "the same run is started");
}
