//! Fencing tokens of the calls to a worker, and when a worker is called.

use std::sync::Arc;
use std::time::Duration;

use crate::load::step;
use crate::load::submission;
use crate::worker::LEASE_MS;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::settings;
use crate::world::worker_id;
use batch::Action;
use batch::End;
use batch::Event;
use batch::JobId;
use batch::Note;
use batch::Outcome;
use batch::Planner;
use batch::Refusal;
use batch::RenewalReport;
use batch::RunReport;
use batch::StartResult;
use batch::TaskKey;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

/// Store revision of the owner's claim.
const CLAIM: u64 = 7;
/// Time after a takeover within which starts of the former owner may arrive, in ms.
const LATE_STARTS_MS: u64 = 12_000;
/// Incarnations of the worker.
const FIRST: u64 = 1_000;
const SECOND: u64 = 2_000;

/// An owner of one worker.
struct Owner {
    planner: Planner,
    entry: WorkerInfo,
    now: u64,
    /// Store revision of the last transaction.
    revision: u64,
    store_down: bool,
    /// Starts, with the time at which they were sent in ms, their task, run and token.
    starts: Vec<(u64, TaskKey, u32, u64)>,
    /// Renewals, with the time at which they were sent in ms, and their token.
    renewals: Vec<(u64, u64)>,
    commits: usize,
    /// Number of runs given up.
    given_up: usize,
    resigned: bool,
}

impl Owner {
    /// An owner that has taken over, and whose worker has answered as its first incarnation.
    fn new() -> Owner {
        let world = World::new(1, 1, Faults::default(), policy(0));
        let entry = WorkerInfo { incarnation: Some(FIRST), ..world.entry(&worker_id(0)) };
        let mut owner = Owner {
            planner: Planner::new(settings(), Time::from_millis(1), Duration::ZERO),
            entry: entry.clone(),
            now: 1,
            revision: CLAIM,
            store_down: false,
            starts: Vec::new(),
            renewals: Vec::new(),
            commits: 0,
            given_up: 0,
            resigned: false,
        };
        owner.event(Event::Stored(CLAIM));
        owner.event(Event::Configured(Arc::new(policy(0))));
        owner.event(Event::Listed(vec![entry]));
        owner.event(Event::RestoreComplete);
        owner.report(FIRST, Vec::new());
        owner
    }

    /// Handles an event. Commits succeed at once unless the store is down.
    fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = Time::from_millis(self.now);
            for action in self.planner.handle(now, Stamp(self.now), event) {
                match action {
                    Action::Commit(_) => {
                        self.commits += 1;
                        if !self.store_down {
                            self.revision += 1;
                            // Handled in reverse order.
                            events.extend([Event::Committed, Event::Stored(self.revision)]);
                        }
                    }
                    Action::Start { task, run, token, .. } => {
                        self.starts.push((self.now, task, run, token));
                    }
                    Action::Renew { token, .. } => self.renewals.push((self.now, token)),
                    Action::Note(Note::GivesUp { .. }) => self.given_up += 1,
                    Action::Resign => self.resigned = true,
                    _ => {}
                }
            }
        }
    }

    /// Lets `ms` milliseconds pass, in steps of 10.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            self.event(Event::Tick);
        }
    }

    /// The worker answers as one of its incarnations, with no runs and these ends.
    fn report(&mut self, incarnation: u64, ended: Vec<End>) {
        self.report_runs(incarnation, Vec::new(), ended);
    }

    /// The worker answers as one of its incarnations.
    fn report_runs(&mut self, incarnation: u64, running: Vec<RunReport>, ended: Vec<End>) {
        let report = RenewalReport {
            sent: Time::from_millis(self.now),
            clock: self.now,
            incarnation,
            running,
            ended,
            truncated: false,
        };
        self.now += 10;
        self.event(Event::Renewed(worker_id(0), report));
    }

    fn renewal_failed(&mut self) {
        self.event(Event::RenewalFailed(worker_id(0)));
    }

    /// Submits a job of one task, and returns the start that is sent.
    fn submit(&mut self, id: &str) -> (TaskKey, u32, u64) {
        let submission = submission("usual", step(1, 1, 500));
        self.event(Event::Accepted(JobId(id.into()), submission));
        self.pass(100);
        let (_, task, run, token) = self.starts.last().cloned().expect("a start");
        (task, run, token)
    }

    fn started(&mut self, start: &(TaskKey, u32, u64), result: StartResult) {
        let (task, run, _) = start.clone();
        self.event(Event::Started(worker_id(0), task, run, result));
    }

    /// Runs a job of one task whose first start gets no answer and whose second one is carried out.
    fn run_with_doubt(&mut self) {
        let start = self.submit("00000000000000aa");
        self.started(&start, StartResult::Unknown);
        let (_, task, run, _) = self.starts.last().cloned().expect("it is sent again");
        self.started(&start, StartResult::Taken);
        let end = End { number: 1, task, run, outcome: Outcome::Done, saved: String::new() };
        self.report(FIRST, vec![end]);
        self.report(FIRST, Vec::new());
    }
}

/// Guards against calls that the next incarnation of a worker accepts: the token did not rise when
/// the worker went silent, or when another incarnation answered.
#[test]
fn raised_tokens() {
    let mut owner = Owner::new();
    let (.., token) = owner.submit("00000000000000aa");
    assert_eq!(token, CLAIM);
    owner.renewal_failed();
    owner.pass(600);
    let (_, probe) = *owner.renewals.last().expect("a renewal");
    assert!(probe > token, "{probe} after a missed renewal");
    owner.report(SECOND, Vec::new());
    owner.pass(100);
    // A call that was sent before the transaction.
    owner.report(SECOND, Vec::new());
    let (_, last) = *owner.renewals.last().expect("a renewal");
    assert!(last > probe, "{last} for another incarnation");
    assert!(last <= owner.revision, "{last} may exceed the next claim");
}

/// Guards against a token that does not rise because the owner has had nothing to store.
#[test]
fn transaction_for_token() {
    let mut owner = Owner::new();
    assert_eq!(owner.commits, 0);
    owner.entry.incarnation = Some(SECOND);
    owner.event(Event::Listed(vec![owner.entry.clone()]));
    owner.report(SECOND, Vec::new());
    owner.pass(100);
    assert_eq!(owner.commits, 1, "one empty transaction");
    assert_eq!(owner.renewals.last().map(|(_, token)| *token), Some(CLAIM + 1));
    owner.report(SECOND, Vec::new());
    owner.pass(5_000);
    assert_eq!(owner.commits, 1);
}

/// While the store is down the worker is called with the last token, at a limited rate.
#[test]
fn store_outage() {
    let mut owner = Owner::new();
    owner.store_down = true;
    owner.renewal_failed();
    owner.report(SECOND, Vec::new());
    owner.renewals.clear();
    for _ in 0..10 {
        owner.pass(100);
        owner.report(SECOND, Vec::new());
    }
    assert_eq!(owner.commits, 1);
    assert!(owner.renewals.iter().all(|(_, token)| *token == CLAIM));
    assert!((2..=5).contains(&owner.renewals.len()), "{:?}", owner.renewals);
    owner.store_down = false;
    owner.revision += 1;
    owner.event(Event::Stored(owner.revision));
    owner.event(Event::Committed);
    owner.pass(300);
    assert_eq!(owner.renewals.last().map(|(_, token)| *token), Some(owner.revision));
}

/// Guards against an owner that resigns since its own later call has overtaken an earlier one, and
/// against one that goes on though another owner has taken over.
#[test]
fn overtaken_calls() {
    let mut owner = Owner::new();
    let start = owner.submit("00000000000000aa");
    owner.renewal_failed();
    owner.pass(600);
    owner.event(Event::Fenced(worker_id(0), start.2));
    owner.started(&start, StartResult::Refused(Refusal::Fence));
    owner.report(FIRST, Vec::new());
    owner.pass(100);
    assert!(!owner.resigned);
    let (at, task, run, token) = owner.starts.last().cloned().expect("a start");
    assert_eq!((task, run), (start.0, start.1 + 1), "the refused run is replaced");
    assert!(at + 200 > owner.now, "{at}: the worker is not to blame");
    owner.event(Event::Fenced(worker_id(0), token));
    assert!(owner.resigned);
}

/// Guards against a late discovery of a restart while an unanswered start may be on its way, and
/// against calls to an idle worker once none is.
#[test]
fn doubtful_start() {
    let mut owner = Owner::new();
    owner.pass(LATE_STARTS_MS);
    owner.report(FIRST, Vec::new());
    owner.run_with_doubt();
    owner.pass(3_000);
    owner.renewal_failed();
    let before = owner.renewals.len();
    for _ in 0..8 {
        owner.pass(250);
        owner.renewal_failed();
    }
    assert_eq!(owner.renewals.len() - before, 8, "a silent worker is called each 250 ms");
    owner.report(FIRST, Vec::new());
    owner.pass(7_000);
    owner.report(FIRST, Vec::new());
    owner.renewals.clear();
    owner.pass(5_000);
    assert_eq!(owner.renewals, [], "an idle worker without late starts is not called");
}

/// An entry that states a later incarnation than the worker itself is asked about once.
#[test]
fn later_entry() {
    let mut owner = Owner::new();
    owner.pass(LATE_STARTS_MS);
    owner.report(FIRST, Vec::new());
    owner.renewals.clear();
    for incarnation in [SECOND, u64::MAX, u64::MAX] {
        owner.entry.incarnation = Some(incarnation);
        owner.event(Event::Listed(vec![owner.entry.clone()]));
        owner.report(FIRST, Vec::new());
        owner.pass(1_000);
    }
    // One for each of the two statements.
    assert_eq!(owner.renewals.len(), 2, "{:?}", owner.renewals);
}

/// Guards against an owner that resigns because of a worker that was not listed for a while: calls
/// with the token of the claim would be refused.
#[test]
fn relisted_worker() {
    let mut owner = Owner::new();
    owner.run_with_doubt();
    owner.renewal_failed();
    owner.pass(600);
    let (_, token) = *owner.renewals.last().expect("a renewal");
    assert!(token > CLAIM);
    owner.report(FIRST, Vec::new());
    owner.pass(13_000);
    owner.report(FIRST, Vec::new());
    owner.event(Event::Listed(Vec::new()));
    owner.event(Event::Listed(vec![owner.entry.clone()]));
    owner.pass(300);
    let (_, last) = *owner.renewals.last().expect("a renewal");
    assert!(last >= token, "{last}");
}

/// Guards against a task that runs twice: after a start had been refused as late, its worker went
/// silent, and all other runs there were given up at once instead of after their leases.
#[test]
fn late_refusal() {
    let mut owner = Owner::new();
    let first = owner.submit("00000000000000aa");
    owner.started(&first, StartResult::Taken);
    let running = RunReport { task: first.0, run: first.1, saved: String::new(), percent: 1 };
    owner.report_runs(FIRST, vec![running], Vec::new());
    let second = owner.submit("00000000000000ab");
    owner.started(&second, StartResult::Refused(Refusal::Late));
    for _ in 0..2 {
        owner.renewal_failed();
        owner.pass(1_000);
    }
    assert_eq!(owner.given_up, 0, "its lease has not expired");
    owner.pass(LEASE_MS);
    assert_eq!(owner.given_up, 1);
}
