//! Drains, evacuations and cancellations of which the owner learns late.

use std::sync::Arc;
use std::time::Duration;

use crate::load::step;
use crate::run_seed;
use crate::seeds;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::settings;
use crate::world::worker_id;
use batch::Action;
use batch::Event;
use batch::JobId;
use batch::Planner;
use batch::RenewalReport;
use batch::Settings;
use batch::StartResult;
use batch::StepSpec;
use batch::Submission;
use batch::View;
use batch::ViewBounds;
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

/// The entry of a worker, and a job of a gang.
fn entry_and_job(id: &str) -> (WorkerInfo, JobId, Submission) {
    let mut world = World::new(1, 1, Faults::default(), policy(0));
    let gang = StepSpec { gang: true, ..step(2, 1, 1_000) };
    let id = world.submit(id, "usual", "a", vec![gang]);
    let submission = world.jobs[&id].submission.clone();
    (world.entry(&worker_id(0)), id, submission)
}

/// An owner whose commits succeed at once and whose starts get no answer.
struct Owner {
    planner: Planner,
    worker: WorkerInfo,
    change: Change,
    now: Time,
    starts: usize,
}

impl Owner {
    fn new(worker: WorkerInfo, change: Change, bounds: ViewBounds) -> Owner {
        let settings = Settings { bounds, ..settings() };
        let mut planner = Planner::new(settings, Time::ZERO, Duration::from_secs(2));
        planner.apply(Time::ZERO, Event::Configured(Arc::new(policy(0))));
        planner.apply(Time::ZERO, Event::RestoreComplete);
        Owner { planner, worker, change, now: Time::ZERO, starts: 0 }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = self.planner.handle(self.now, Stamp(0), event);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            let event = match action {
                Action::Commit(_) => Event::Committed,
                Action::Start { worker, task, run, send_by, .. } => {
                    // Whatever an order waits for, it is not sent after this time.
                    let limit = CHANGE_AT + BOUND;
                    assert!(
                        send_by + ORDER_TIMEOUT <= limit,
                        "{:?}: {task} may start on {worker}",
                        self.change
                    );
                    self.starts += 1;
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
        let drain_left = changed(Change::Drain).then(|| Duration::from_secs(60));
        let listed = vec![WorkerInfo { drain_left, ..self.worker.clone() }];
        self.planner.apply(self.now, Event::Listed(listed));
        let zones = changed(Change::Evacuation).then(|| self.worker.zone.clone());
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
            let (worker, job, submission) = entry_and_job(&format!("{submitted:016x}"));
            let mut owner = Owner::new(worker, change, bounds.clone());
            while owner.now < CHANGE_AT + Duration::from_millis(delay + 500) {
                let blind = CHANGE_AT..CHANGE_AT + Duration::from_millis(delay);
                if !blind.contains(&owner.now) {
                    owner.read_views(&job);
                }
                if owner.now == Time::from_millis(submitted) {
                    owner.handle(Event::Accepted(job.clone(), submission.clone()));
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
    let (worker, job, submission) = entry_and_job("00000000000000a1");
    let mut owner = Owner::new(worker, Change::Cancellation, bounds);
    owner.read_views(&job);
    owner.handle(Event::Tick);
    owner.now = Time::from_millis(2_600);
    owner.handle(Event::Accepted(job, submission));
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

/// Guards against starts on workers that have drained for long and of jobs cancelled long before,
/// because the owner's views of the store are seconds old, or its orders have waited.
#[test]
fn delayed_schedules() {
    let faults = Faults { views: true, leaving: true, cancels: true, ..Faults::default() };
    let mut unsent = 0;
    for seed in seeds(800_000) {
        println!("seed {seed}");
        unsent += run_seed(seed, faults).reads.unsent;
        let more = Faults { takeovers: true, cuts: true, crashes: true, ..faults };
        let more = Faults { refusals: true, ..more };
        run_seed(seed, more);
    }
    assert!(unsent > 0, "no order waited for too long");
}
