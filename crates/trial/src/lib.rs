//! Deterministic simulation of the owners, store, workers, callers and network of one gang shard,
//! with injected faults.
//!
//! All events come from one queue ordered by simulated time, and all random choices from one seeded
//! generator, so a seed reproduces its schedule exactly.

pub mod sample;
pub mod schedule;
mod store;
mod verdicts;
mod worker;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use gang::Action;
use gang::Attempt;
use gang::Event;
use gang::JobSpec;
use gang::Policy;
use gang::Reply;
use gang::Settings;
use gang::Shard;
use gang::StoredPage;
use gang::Ticket;
use gang::WorkerInfo;
use model::Epoch;
use model::Incarnation;
use model::JobId;
use model::ShardId;
use model::Stamp;
use model::Time;
use model::WorkerId;

pub use store::FakeStore;
pub use verdicts::JobHistory;
pub use worker::FakeWorker;

/// Number of trace lines that are kept.
const MAX_TRACE_LINES: usize = 400;
/// Minimum simulated time between checks of the gang invariant.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Probabilities of faults, from 0 to 1 for each message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probability that a write takes effect but its answer is lost.
    pub lost_answer: f64,
    /// Probability that a write takes effect up to 2 s late and its outcome is reported as unknown.
    pub late_effect: f64,
    /// Probability that a call to a worker is lost, and the same for its answer.
    pub lost_message: f64,
}

/// Crash or pause of an owner after a given number of events. A new owner starts at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerFault {
    /// Number of events, counted over all owners, after which the fault occurs.
    pub after_events: u64,
    /// Whether the actions returned for the last event are still performed.
    pub sends_actions: bool,
    /// Length of the pause, after which the owner resumes beside its successor; `None` for a crash.
    pub pause: Option<Duration>,
}

/// A process that owns the shard or believes that it does.
pub struct Owner {
    /// The state machine under test.
    pub shard: Shard,
    /// Epoch of its ownership.
    pub epoch: Epoch,
    /// Whether it has crashed.
    pub crashed: bool,
    /// End of its last pause; events that arrive earlier are deferred.
    pub paused_until: Time,
    /// Events that arrived during a pause.
    deferred: VecDeque<Event>,
    /// Time of the next scheduled wake-up, or [`Time::NEVER`].
    wake_at: Time,
}

/// Scheduled step of the simulation.
enum SimEvent {
    /// An event arrives at an owner.
    Deliver { owner: usize, event: Event },
    /// A timer or a pause of an owner ends.
    Wake { owner: usize },
    /// A call of an owner arrives at a worker.
    WorkerCall { owner: usize, worker: WorkerId, action: Action },
    /// A call of an owner arrives at the store.
    StoreCall { owner: usize, action: Action },
    /// A write takes effect whose outcome was reported as unknown.
    LateWrite { action: Action },
    /// Tasks or a checkpoint of a worker may be complete.
    UpdateWorker { worker: WorkerId },
    /// A new owner reads all pages.
    LoadPages { owner: usize },
}

/// State of a simulation run.
pub struct World {
    /// Simulated time.
    pub now: Time,
    /// All owners in the order of their start, including those that crashed.
    pub owners: Vec<Owner>,
    /// Store of the shard's pages.
    pub store: FakeStore,
    /// All workers, including those that are down or not in the VM list.
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// What workers and callers observed of each job.
    pub histories: BTreeMap<JobId, JobHistory>,
    /// Probabilities of message faults.
    pub faults: Faults,
    /// Policy that new owners receive.
    pub policy: Arc<Policy>,
    /// Settings of new owners.
    pub settings: Settings,
    /// Source of all random choices.
    pub rng: SmallRng,
    /// Times at which owners issued page writes.
    pub write_times: Vec<Time>,
    /// Times at which owners issued page reads.
    pub read_times: Vec<Time>,
    /// Next crash or pause of an owner.
    pub owner_fault: Option<OwnerFault>,
    /// Whether periodic invariant checks and the trace are off, for long measurements.
    pub checks_disabled: bool,
    /// Work lost since the last checkpoint by stopping running tasks, in accelerator-seconds.
    pub lost_work: f64,
    /// Number of events that owners have handled.
    pub handled_events: u64,
    /// Latest trace lines, oldest first.
    pub trace: VecDeque<String>,
    /// Scheduled steps by time, then in the order of scheduling.
    queue: BTreeMap<(Time, u64), SimEvent>,
    /// Number of steps scheduled so far.
    sequence: u64,
    /// Jobs by the ticket of their submission.
    tickets: BTreeMap<Ticket, JobId>,
    /// Arrival time of the latest call from an owner to a worker. Later calls arrive no earlier, so
    /// calls between the same two stay in order.
    last_arrivals: BTreeMap<(usize, WorkerId), Time>,
    last_check: Time,
}

impl World {
    /// Creates a simulation with the given workers and no owner.
    pub fn new(seed: u64, settings: Settings, policy: Policy, list: &[WorkerInfo]) -> World {
        let workers = list.iter().map(|info| (info.id.clone(), FakeWorker::new(info.clone())));
        World {
            now: Time::from_millis(3_600_000),
            owners: Vec::new(),
            store: FakeStore::default(),
            workers: workers.collect(),
            histories: BTreeMap::new(),
            faults: Faults::default(),
            policy: Arc::new(policy),
            settings,
            rng: SmallRng::seed_from_u64(seed),
            write_times: Vec::new(),
            read_times: Vec::new(),
            owner_fault: None,
            checks_disabled: false,
            lost_work: 0.0,
            handled_events: 0,
            trace: VecDeque::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            tickets: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            last_check: Time::ZERO,
        }
    }

    /// Adds a line to the trace, which is printed for a failing seed.
    pub fn log(&mut self, text: String) {
        if self.checks_disabled {
            return;
        }
        if self.trace.len() == MAX_TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{} {text}", self.now));
    }

    fn schedule_at(&mut self, time: Time, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    fn schedule_after(&mut self, span: Duration, event: SimEvent) {
        let time = self.now + span;
        self.schedule_at(time, event);
    }

    /// Returns a random one-way network delay.
    fn random_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..8_000))
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    /// Starts a new owner, which first reads the pages, and returns its index.
    pub fn start_owner(&mut self) -> usize {
        let number = self.owners.len();
        let epoch = Epoch(number as u64 + 1);
        let incarnation = Incarnation(0x1000 + number as u64);
        let shard = Shard::new(
            self.settings.clone(),
            ShardId::new("z"),
            incarnation,
            epoch,
            number as u64 + 7,
        );
        self.owners.push(Owner {
            shard,
            epoch,
            crashed: false,
            paused_until: Time::ZERO,
            deferred: VecDeque::new(),
            wake_at: Time::NEVER,
        });
        self.log(format!("owner {number} starts"));
        self.schedule_after(Duration::from_millis(5), SimEvent::LoadPages { owner: number });
        number
    }

    /// Index of the owner started last.
    pub fn last_owner(&self) -> usize {
        self.owners.len() - 1
    }

    /// Crashes an owner for good.
    pub fn crash_owner(&mut self, owner: usize) {
        self.log(format!("owner {owner} crashes"));
        self.owners[owner].crashed = true;
    }

    /// Pauses an owner, which handles the events that arrive meanwhile when it resumes.
    pub fn pause_owner(&mut self, owner: usize, span: Duration) {
        self.log(format!("owner {owner} pauses for {span:?}"));
        self.owners[owner].paused_until = self.now + span;
        let at = self.now + span;
        self.schedule_at(at, SimEvent::Wake { owner });
    }

    /// Workers in the VM list.
    pub fn listed_workers(&self) -> Vec<WorkerInfo> {
        self.workers.values().filter(|w| !w.unlisted).map(|w| w.info.clone()).collect()
    }

    /// Delivers the VM list to all owners.
    pub fn send_worker_list(&mut self) {
        for owner in 0..self.owners.len() {
            let list = self.listed_workers();
            self.deliver(owner, Event::Workers { list });
        }
    }

    /// Submits a job whose tasks run for `run_time` to the owner started last.
    pub fn submit(&mut self, spec: JobSpec, run_time: Duration, durable: bool) {
        let ticket = Ticket(1_000_000 + self.tickets.len() as u64);
        self.tickets.insert(ticket, spec.id);
        self.histories.insert(spec.id, JobHistory::new(spec.clone(), run_time, self.now));
        let at = self.wall_clock();
        let owner = self.last_owner();
        self.deliver(owner, Event::Submit { ticket, job: spec, at, durable });
    }

    /// Cancels a job at the owner started last.
    pub fn cancel(&mut self, job: JobId) {
        let ticket = Ticket(2_000_000 + self.sequence);
        let owner = self.last_owner();
        self.deliver(owner, Event::Cancel { ticket, job });
    }

    /// Makes all tasks of a job fail on every worker.
    pub fn set_always_fails(&mut self, job: JobId) {
        if let Some(history) = self.histories.get_mut(&job) {
            history.always_fails = true;
        }
    }

    fn wall_clock(&self) -> Stamp {
        Stamp(1_700_000_000_000 + self.now.micros() / 1_000)
    }

    /// Delivers an event to an owner, which handles it now, and performs the resulting actions. A
    /// paused owner handles it later, a crashed one never.
    pub fn deliver(&mut self, owner: usize, event: Event) {
        let entry = &mut self.owners[owner];
        if entry.crashed {
            return;
        }
        if entry.paused_until > self.now {
            entry.deferred.push_back(event);
            return;
        }
        let mut out = Vec::new();
        entry.shard.handle(self.now, event, &mut out);
        let wake = entry.shard.next_wake().unwrap_or(Time::NEVER);
        if wake != Time::NEVER && (wake < entry.wake_at || entry.wake_at <= self.now) {
            let at = wake.max(self.now);
            entry.wake_at = at;
            self.schedule_at(at, SimEvent::Wake { owner });
        }
        self.handled_events += 1;
        let fault = self.owner_fault.filter(|fault| fault.after_events == self.handled_events);
        if fault.is_none_or(|fault| fault.sends_actions) {
            for action in out {
                self.perform(owner, action);
            }
        }
        if let Some(fault) = fault {
            self.owner_fault = None;
            match fault.pause {
                Some(span) => self.pause_owner(owner, span),
                None => self.crash_owner(owner),
            }
            self.start_owner();
        }
    }

    fn perform(&mut self, owner: usize, action: Action) {
        match action {
            Action::Write { .. } | Action::Read { .. } => {
                match action {
                    Action::Write { .. } => self.write_times.push(self.now),
                    _ => self.read_times.push(self.now),
                }
                let span = self.random_delay();
                self.schedule_after(span, SimEvent::StoreCall { owner, action });
            }
            Action::Reply { ticket, reply } => self.record_reply(ticket, reply),
            other => {
                let Some(worker) = other.worker().cloned() else { return };
                let span = self.random_delay();
                let last_arrival = self.last_arrivals.entry((owner, worker.clone())).or_default();
                let at = (self.now + span).max(*last_arrival);
                *last_arrival = at;
                self.schedule_at(at, SimEvent::WorkerCall { owner, worker, action: other });
            }
        }
    }

    fn record_reply(&mut self, ticket: Ticket, reply: Reply) {
        let Some(history) = self.tickets.get(&ticket).and_then(|job| self.histories.get_mut(job))
        else {
            return;
        };
        history.record_reply(&reply);
    }

    /// Runs the simulation up to and including the given time.
    pub fn run_until(&mut self, until: Time) {
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > until {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.execute(event);
            if !self.checks_disabled && self.now >= self.last_check + CHECK_INTERVAL {
                self.last_check = self.now;
                self.check_gangs();
            }
        }
        self.now = until;
    }

    /// Runs the simulation for the given time.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn execute(&mut self, event: SimEvent) {
        match event {
            SimEvent::Deliver { owner, event } => self.deliver(owner, event),
            SimEvent::Wake { owner } => self.wake(owner),
            SimEvent::WorkerCall { owner, worker, action } => {
                self.call_worker(owner, &worker, action)
            }
            SimEvent::StoreCall { owner, action } => self.call_store(owner, action),
            SimEvent::LateWrite { action } => drop(self.store.apply(&action)),
            SimEvent::UpdateWorker { worker } => self.update_worker(&worker),
            SimEvent::LoadPages { owner } => self.load_pages(owner),
        }
    }

    fn wake(&mut self, owner: usize) {
        if self.owners[owner].paused_until > self.now {
            return;
        }
        while let Some(event) = self.owners[owner].deferred.pop_front() {
            self.deliver(owner, event);
        }
        self.owners[owner].wake_at = Time::NEVER;
        self.deliver(owner, Event::Tick);
    }

    fn load_pages(&mut self, owner: usize) {
        if self.store.is_down(self.now) {
            self.schedule_after(Duration::from_millis(500), SimEvent::LoadPages { owner });
            return;
        }
        let pages: Vec<StoredPage> = self.store.pages();
        let at = self.wall_clock();
        let policy = Arc::clone(&self.policy);
        self.deliver(owner, Event::Policy { policy });
        let list = self.listed_workers();
        self.deliver(owner, Event::Pages { pages, at });
        self.deliver(owner, Event::Workers { list });
    }

    fn call_store(&mut self, owner: usize, action: Action) {
        let faults = self.faults;
        let late = self.chance(faults.late_effect);
        let lost = self.chance(faults.lost_answer);
        let event = match (&action, self.store.is_down(self.now)) {
            (_, true) => store::unavailable_answer(&action),
            (Action::Write { .. }, false) if late => {
                let span = Duration::from_millis(self.rng.random_range(1..2_000));
                let write = action.clone();
                self.schedule_after(span, SimEvent::LateWrite { action: write });
                store::unknown_answer(&action)
            }
            (Action::Write { .. }, false) if lost => {
                self.store.apply(&action);
                store::unknown_answer(&action)
            }
            _ => self.store.apply(&action),
        };
        let span = self.random_delay();
        self.schedule_after(span, SimEvent::Deliver { owner, event });
    }
}

/// Job and attempt that an action refers to, if it refers to exactly one.
pub fn attempt_of(action: &Action) -> Option<(JobId, Attempt)> {
    match action {
        Action::Lease { job, attempt, .. }
        | Action::Release { job, attempt, .. }
        | Action::Start { job, attempt, .. }
        | Action::Stop { job, attempt, .. }
        | Action::Checkpoint { job, attempt, .. }
        | Action::Throttle { job, attempt, .. } => Some((*job, *attempt)),
        _ => None,
    }
}
