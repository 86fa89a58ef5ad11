//! Owners, a store, workers and callers under a seeded schedule of faults, with the promises
//! checked at every start and end.

mod promises;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::worker::FakeWorker;
use crate::worker::GATHER_MS;
use crate::worker::LEASE_MS;
use crate::worker::Work;
use batch::Account;
use batch::Action;
use batch::Advice;
use batch::Event;
use batch::JobId;
use batch::JobState;
use batch::Need;
use batch::Outcome;
use batch::Planner;
use batch::Policy;
use batch::Queue;
use batch::Record;
use batch::Refusal;
use batch::Service;
use batch::Settings;
use batch::Spec;
use batch::StartResult;
use batch::StepKey;
use batch::StepSpec;
use batch::Submission;
use batch::TaskKey;
use batch::WorkerId;
use batch::WorkerInfo;
use model::Stamp;
use model::Time;

/// Time that a stop may take until nothing of a cancelled job runs, in ms.
const CANCEL_MS: u64 = 3_000;
/// Time within which a guaranteed job has to run, in ms.
const RECLAIM_MS: u64 = 2_700;
/// Life of a ticket of the advice service, in ms.
const TICKET_MS: u64 = 4_000;
/// Failed runs after which a task has failed.
const ATTEMPTS: u32 = 4;
/// How long a former owner goes on renewing without the store, in ms.
const SOLO_MS: u64 = 2_000;

/// Which faults a schedule has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub takeovers: bool,
    pub cuts: bool,
    pub crashes: bool,
    pub late: bool,
    pub refusals: bool,
    pub failures: bool,
    pub leaving: bool,
    pub cancels: bool,
}

impl Faults {
    pub fn all() -> Faults {
        Faults {
            takeovers: true,
            cuts: true,
            crashes: true,
            late: true,
            refusals: true,
            failures: true,
            leaving: true,
            cancels: true,
        }
    }
}

/// What is on its way.
#[derive(Debug)]
enum Message {
    /// A call arrives at a worker.
    Call { owner: u64, action: Action, sent: u64, answered: bool, born: Option<u64> },
    /// An event arrives at an owner.
    Tell { owner: u64, event: Event },
    /// A commit arrives at the store.
    Commit { owner: u64, records: Vec<(JobId, Option<Record>)> },
    /// A renewal that waited for an end is answered.
    Wake { owner: u64, worker: WorkerId, sent: u64, until: u64, born: u64, renewal: Renewal },
}

/// What a renewal carries.
#[derive(Clone, Copy, Debug)]
struct Renewal {
    deadline: Option<u64>,
    seen: u64,
}

struct Envelope {
    at: u64,
    number: u64,
    message: Message,
}

impl PartialEq for Envelope {
    fn eq(&self, other: &Envelope) -> bool {
        self.number == other.number
    }
}
impl Eq for Envelope {}
impl PartialOrd for Envelope {
    fn partial_cmp(&self, other: &Envelope) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Envelope {
    fn cmp(&self, other: &Envelope) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A job as the world knows it.
pub struct Known {
    pub submission: Submission,
    pub at: u64,
    pub cancelled: Option<u64>,
    /// True work of each step's tasks, in ms.
    work: Vec<u64>,
    /// Whether it can never be done.
    poison: bool,
    /// Since when its account's urgent jobs have needed no more than is guaranteed.
    inside: Option<u64>,
    /// Tasks of its first step that have begun.
    begun: BTreeSet<u32>,
}

pub struct World {
    pub now: u64,
    pub rng: StdRng,
    faults: Faults,
    pub calm_from: u64,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    owners: BTreeMap<u64, Planner>,
    owner: u64,
    pub jobs: BTreeMap<JobId, Known>,
    pub records: BTreeMap<JobId, Record>,
    heap: BinaryHeap<Envelope>,
    number: u64,
    policy: Arc<Policy>,
    done: BTreeSet<TaskKey>,
    /// Runs of each task or gang that failed.
    failures: BTreeMap<(JobId, u32, u32, u32), BTreeSet<u32>>,
    /// Ends that were not acknowledged before their worker's lease ran out: nobody has to have
    /// heard of them.
    unheard_ends: BTreeSet<(TaskKey, u32)>,
    pub starts: u64,
    /// Starts that no worker heard.
    pub unheard: u64,
    pub trace: Vec<String>,
    dead: BTreeSet<u64>,
    /// Owners with a call for advice on its way.
    advising: BTreeSet<u64>,
    pub advice_calls: u64,
    /// Starts refused for want of a ticket.
    pub rejected: u64,
    /// Jobs that were removed from the store.
    pub forgotten: BTreeSet<JobId>,
}

pub fn settings() -> Settings {
    Settings {
        lease: Duration::from_millis(LEASE_MS),
        stop: Duration::from_millis(200),
        retention: Duration::from_secs(120),
    }
}

pub fn policy(guaranteed: u64) -> Policy {
    let queue = |priority, stretch, objective_ms| Queue {
        host: "jobs.example".to_owned(),
        prefix: format!("/q{priority}/"),
        service: "service".to_owned(),
        priority,
        attempts: ATTEMPTS,
        stretch,
        objective_ms,
        public: false,
        advised: false,
    };
    let account = |name: &str| Account { keys: vec![format!("key-{name}")], guaranteed };
    Policy {
        version: 1,
        queues: BTreeMap::from([
            ("urgent".to_owned(), queue(0, 1.5, 600)),
            ("usual".to_owned(), queue(1, 3.0, 1_500)),
            ("patient".to_owned(), queue(2, 3.0, 3_000)),
        ]),
        services: BTreeMap::from([("service".to_owned(), Service::default())]),
        accounts: BTreeMap::from([("a".to_owned(), account("a")), ("b".to_owned(), account("b"))]),
        body_bytes: 262_144,
    }
}

pub fn worker_id(number: usize) -> WorkerId {
    WorkerId(format!("i-{number:04}").into())
}

impl World {
    pub fn new(seed: u64, workers: usize, faults: Faults, policy: Policy) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let capacity = Need { cpu: 128_000, memory: 262_144, gpu: 8 };
        let workers = (0..workers)
            .map(|number| {
                let slow = rng.random_range(0..=20);
                (worker_id(number), FakeWorker::new(capacity, slow, 0))
            })
            .collect();
        let mut world = World {
            now: 1,
            rng,
            faults,
            calm_from: 0,
            workers,
            owners: BTreeMap::new(),
            owner: 0,
            jobs: BTreeMap::new(),
            records: BTreeMap::new(),
            heap: BinaryHeap::new(),
            number: 0,
            policy: Arc::new(policy),
            done: BTreeSet::new(),
            failures: BTreeMap::new(),
            unheard_ends: BTreeSet::new(),
            starts: 0,
            unheard: 0,
            trace: Vec::new(),
            dead: BTreeSet::new(),
            advising: BTreeSet::new(),
            advice_calls: 0,
            rejected: 0,
            forgotten: BTreeSet::new(),
        };
        world.take_over(false);
        world
    }

    fn post(&mut self, delay: u64, message: Message) {
        self.number += 1;
        self.heap.push(Envelope { at: self.now + delay, number: self.number, message });
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.3) { self.rng.random_range(30..35) } else { 1 }
    }

    pub fn note(&mut self, line: String) {
        self.trace.push(format!("{:>6} {line}", self.now));
    }

    /// A new owner reads the store; the last one may live on for a while.
    pub fn take_over(&mut self, last_lives: bool) {
        if !last_lives {
            self.dead.insert(self.owner);
            self.owners.remove(&self.owner);
        }
        self.owner += 1;
        self.note(format!("owner {}", self.owner));
        let solo = Duration::from_millis(SOLO_MS);
        let planner = Planner::new(settings(), Time::from_millis(self.now), solo);
        self.owners.insert(self.owner, planner);
        let owner = self.owner;
        self.feed(owner, Event::Configured(Arc::clone(&self.policy)));
        self.list();
        for (id, job) in self.jobs.iter().filter(|(id, _)| !self.forgotten.contains(id)) {
            let record = self.records.get(id).cloned();
            let record = record.map(|record| round_trip(&record));
            let event = Event::Restored(id.clone(), job.submission.clone(), record);
            if let Some(planner) = self.owners.get_mut(&owner) {
                let now = Time::from_millis(self.now);
                let actions = planner.handle(now, Stamp(self.now), event);
                let notes = actions.iter().all(|action| matches!(action, Action::Note(_)));
                assert!(notes, "orders before all jobs were read: {actions:?}");
            }
        }
        self.feed(owner, Event::RestoreComplete);
    }

    /// Tells the owner what the directory lists.
    pub fn list(&mut self) {
        let now = self.now;
        let infos = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, (_, worker))| worker.up && worker.cut <= now)
            .map(|(number, (id, worker))| WorkerInfo {
                id: id.clone(),
                service: "service".to_owned(),
                address: SocketAddr::from(([10, 0, 0, 1], 8_000 + number as u16)),
                zone: "north-a".to_owned(),
                rack: format!("r{}", number / 8),
                labels: vec!["a".to_owned(), format!("r{}", number / 8)],
                capacity: worker.capacity,
                incarnation: Some(worker.born),
                drain_left: worker.leaves.map(|at| Duration::from_millis(at.saturating_sub(now))),
            })
            .collect();
        let owner = self.owner;
        self.feed(owner, Event::Listed(infos));
    }

    pub fn submit(&mut self, id: &str, queue: &str, account: &str, steps: Vec<StepSpec>) -> JobId {
        let id = JobId(id.into());
        let off = self.rng.random_range(5..=19);
        let work = steps.iter().map(|step| (step.estimate_ms * off / 10).max(50)).collect();
        let spec = Arc::new(Spec { payload: "text".to_owned(), steps, ..Spec::default() });
        let submission = Submission {
            queue: queue.to_owned(),
            account: Some(account.to_owned()),
            taken: Stamp(self.now),
            cancelled: false,
            spec,
        };
        let poison = self.faults.failures && self.rng.random_bool(0.05);
        let known = Known {
            submission: submission.clone(),
            at: self.now,
            cancelled: None,
            work,
            poison,
            inside: None,
            begun: BTreeSet::new(),
        };
        self.jobs.insert(id.clone(), known);
        let owner = self.owner;
        let event = Event::Accepted(id.clone(), submission);
        self.post(5, Message::Tell { owner, event });
        id
    }

    /// Tells the owner of a job that it may know.
    pub fn name_again(&mut self, id: &JobId) {
        let submission = self.jobs[id].submission.clone();
        let owner = self.owner;
        self.post(1, Message::Tell { owner, event: Event::Accepted(id.clone(), submission) });
    }

    pub fn cancel(&mut self, id: &JobId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled.get_or_insert(now);
        job.submission.cancelled = true;
        let owner = self.owner;
        self.post(5, Message::Tell { owner, event: Event::Cancelled(id.clone()) });
    }

    fn feed(&mut self, owner: u64, event: Event) {
        if matches!(event, Event::Advised(_)) {
            self.advising.remove(&owner);
        }
        let Some(planner) = self.owners.get_mut(&owner) else { return };
        let actions = planner.handle(Time::from_millis(self.now), Stamp(self.now), event);
        for action in actions {
            match action {
                Action::Resign => {
                    self.owners.remove(&owner);
                    self.dead.insert(owner);
                    assert_ne!(owner, self.owner, "the present owner resigned");
                    return;
                }
                Action::Commit(records) => {
                    let delay = 2 * self.delay() + 4;
                    self.post(delay, Message::Commit { owner, records });
                }
                Action::Note(note) => self.note(format!("{note:?}")),
                Action::Advise { step, workers } => self.advise(owner, &step, workers),
                action => {
                    let delay = self.delay();
                    let sent = self.now;
                    let order = !matches!(action, Action::Renew { .. });
                    let late =
                        order && self.faults.late && !self.calm() && self.rng.random_bool(0.03);
                    let delay = if late { self.rng.random_range(2_000..12_000) } else { delay };
                    if late {
                        self.note(format!("late {action:?}"));
                        self.post(600, Message::Tell { owner, event: unanswered(&action) });
                    }
                    // The worker keeps back what it carries out late, so it ends with the worker.
                    let born = target(&action).filter(|_| late).map(|id| self.workers[id].born);
                    self.post(delay, Message::Call { owner, action, sent, answered: !late, born });
                }
            }
        }
    }

    /// The advice service: one call at a time, the longer the more workers it names. Two of
    /// three workers may run a step, enough for the widest gang once half of them have left.
    fn advise(&mut self, owner: u64, step: &StepKey, workers: Vec<WorkerId>) {
        assert!(!self.advising.contains(&owner), "two calls for advice at a time");
        assert!(workers.len() <= 100, "{} workers in one call", workers.len());
        self.advising.insert(owner);
        self.advice_calls += 1;
        let took = 20 + 2 * workers.len() as u64;
        let sent = Time::from_millis(self.now);
        let until = self.now + took + TICKET_MS;
        let named = workers.into_iter().filter(|id| allows(step, id));
        let tickets = named.map(|id| (id, format!("{step} {until}"))).collect();
        let valid = Duration::from_millis(TICKET_MS);
        let advice = Advice { sent, tickets, valid };
        self.post(took, Message::Tell { owner, event: Event::Advised(Some(advice)) });
    }

    fn calm(&self) -> bool {
        self.calm_from > 0 && self.now >= self.calm_from
    }

    fn call(&mut self, owner: u64, action: Action, sent: u64, answered: bool, born: Option<u64>) {
        let Some(id) = target(&action).cloned() else { return };
        let now = self.now;
        if born.is_some_and(|born| self.workers[&id].born != born) {
            return;
        }
        let order = !matches!(action, Action::Renew { .. });
        let heard = self.workers.get(&id).is_some_and(|worker| worker.hears(now, order));
        if !heard {
            self.unheard += u64::from(matches!(action, Action::Start { .. }));
            if answered {
                self.post(600, Message::Tell { owner, event: unanswered(&action) });
            }
            return;
        }
        let back = self.delay();
        match action {
            Action::Start { worker, task, run, deadline, ticket, .. } => {
                if !self.admits(&task, ticket.as_deref()) {
                    self.rejected += 1;
                    let result = StartResult::Refused(Refusal::Ticket);
                    let event = Event::Started(worker, task, run, result);
                    self.post(back, Message::Tell { owner, event });
                    return;
                }
                let work = self.work(&worker, &task, run);
                let there = self.workers[&worker].running.get(&task).map(|there| there.run);
                let fake = self.workers.get_mut(&worker).expect("reachable");
                let result = fake.start(now, owner, &task, deadline, work);
                if result == StartResult::Taken && there != Some(run) {
                    self.started(owner, &worker, &task, run);
                }
                if answered {
                    self.post(
                        back,
                        Message::Tell { owner, event: Event::Started(worker, task, run, result) },
                    );
                }
            }
            Action::Stop { worker, task, run } => {
                let fake = self.workers.get_mut(&worker).expect("reachable");
                let done = fake.stop(owner, &task, run);
                let event = match done {
                    true => Event::Stopped(worker, task, run, true),
                    false => Event::Deposed,
                };
                if answered {
                    self.post(back, Message::Tell { owner, event });
                }
            }
            Action::Renew { worker, deadline, seen, wait } => {
                let until = now + wait;
                let born = self.workers[&worker].born;
                let renewal = Renewal { deadline, seen };
                self.post(0, Message::Wake { owner, worker, sent, until, born, renewal });
            }
            _ => {}
        }
    }

    /// Whether a start carries what its queue needs.
    fn admits(&self, task: &TaskKey, ticket: Option<&str>) -> bool {
        if !self.policy.queues[&self.jobs[&task.job].submission.queue].advised {
            return true;
        }
        let step = StepKey { job: task.job.clone(), occurrence: task.occurrence, step: task.step };
        let parts = ticket.and_then(|ticket| ticket.split_once(' '));
        parts.is_some_and(|(named, until)| {
            named == step.to_string() && until.parse().is_ok_and(|until: u64| self.now < until)
        })
    }

    fn wake(&mut self, wake: Message) {
        let Message::Wake { owner, worker, sent, until, born, renewal } = wake else { return };
        let now = self.now;
        let fake = self.workers.get_mut(&worker).expect("a known worker");
        // A call that waits ends with the process that it waits in.
        if !fake.reachable(now) || fake.born != born {
            self.post(600, Message::Tell { owner, event: Event::RenewalFailed(worker) });
            return;
        }
        let Some(mut held) = fake.hold(now, owner, renewal.deadline, renewal.seen) else {
            self.post(1, Message::Tell { owner, event: Event::Deposed });
            return;
        };
        if held.ended.is_empty() && now < until {
            self.post(5, Message::Wake { owner, worker, sent, until, born, renewal });
            return;
        }
        held.sent = Time::from_millis(sent);
        let back = self.delay();
        self.post(back, Message::Tell { owner, event: Event::Renewed(worker, held) });
    }

    fn work(&mut self, worker: &WorkerId, task: &TaskKey, run: u32) -> Work {
        let job = &self.jobs[&task.job];
        let step = &job.submission.spec.steps[task.step as usize];
        let total = job.work[task.step as usize];
        let (need, saves) = (step.need, step.checkpoints);
        let members = if step.gang { step.count } else { 1 };
        let poison = job.poison;
        let failing = self.workers[worker].failing > self.now;
        let chance = if self.faults.failures && !self.calm() { 0.03 } else { 0.0 };
        let fails = poison || failing || self.rng.random_bool(chance);
        Work {
            run,
            need,
            since: self.now,
            left: total,
            total,
            fails,
            saves,
            members,
            gathered: members == 1,
            lasts: step.lasting,
            started: false,
        }
    }

    fn store(&mut self, owner: u64, records: Vec<(JobId, Option<Record>)>) {
        if owner != self.owner {
            self.owners.remove(&owner);
            self.dead.insert(owner);
            return;
        }
        for (id, record) in records {
            let Some(record) = record else {
                let kept = self.records.get(&id).is_some_and(|record| record.state.ended());
                assert!(kept, "{id} is forgotten before its end");
                self.forgotten.insert(id);
                continue;
            };
            for (occurrence, steps) in (0u32..).zip(&record.occurrences) {
                for (step, tasks) in (0u32..).zip(steps) {
                    for (index, task) in (0u32..).zip(tasks) {
                        if task.done {
                            self.done.insert(TaskKey { job: id.clone(), occurrence, step, index });
                        }
                    }
                }
            }
            if record.state != JobState::Pending {
                self.note(format!("stored {id} {}", record.state));
            }
            if record.state == JobState::Failed
                && !self.jobs[&id].poison
                && self.failures_of(&id) < ATTEMPTS
            {
                self.fail(&format!("{id} is shown as failed without cause"));
            }
            self.records.insert(id, record);
        }
        let delay = self.delay();
        self.post(delay, Message::Tell { owner, event: Event::Committed });
    }

    /// Lets `ms` milliseconds pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            while self.heap.peek().is_some_and(|envelope| envelope.at <= self.now) {
                let envelope = self.heap.pop().expect("peeked");
                match envelope.message {
                    Message::Call { owner, action, sent, answered, born } => {
                        self.call(owner, action, sent, answered, born);
                    }
                    Message::Tell { owner, event } => self.feed(owner, event),
                    Message::Commit { owner, records } => self.store(owner, records),
                    wake @ Message::Wake { .. } => self.wake(wake),
                }
            }
            if self.now.is_multiple_of(10) {
                self.progress(10);
            }
            if self.now.is_multiple_of(100) {
                self.check_guarantees();
                for owner in self.owners.keys().copied().collect::<Vec<_>>() {
                    self.feed(owner, Event::Tick);
                }
            }
            if self.now.is_multiple_of(1_000) {
                self.list();
                self.disrupt();
            }
            self.now += 1;
        }
    }

    /// Work goes on, ends and lapses.
    fn progress(&mut self, ms: u64) {
        let now = self.now;
        let mut present: BTreeMap<(JobId, u32, u32, u32), u32> = BTreeMap::new();
        for fake in self.workers.values().filter(|fake| fake.up) {
            for (task, work) in &fake.running {
                *present
                    .entry((task.job.clone(), task.occurrence, task.step, work.run))
                    .or_default() += 1;
            }
        }
        let mut finished: BTreeSet<(JobId, u32, u32, u32, bool)> = BTreeSet::new();
        let mut ends: Vec<(WorkerId, TaskKey, Outcome)> = Vec::new();
        for (id, fake) in &mut self.workers {
            if !fake.up {
                continue;
            }
            fake.lapse(now);
            if fake.lapsed(now) {
                let lost = fake.ended.iter().map(|end| (end.task.clone(), end.run));
                self.unheard_ends.extend(lost);
            }
            for (task, work) in &mut fake.running {
                let gang = (task.job.clone(), task.occurrence, task.step, work.run);
                let whole = present[&gang] == work.members;
                if work.members > 1 && !whole {
                    if work.gathered {
                        ends.push((id.clone(), task.clone(), Outcome::Broken));
                    } else if now - work.since > GATHER_MS {
                        ends.push((id.clone(), task.clone(), Outcome::Alone));
                    }
                    continue;
                }
                work.gathered = true;
                if work.lasts {
                    continue;
                }
                work.left = work.left.saturating_sub(ms);
                let fails = work.fails && work.left * 2 < work.total;
                if work.left == 0 || fails {
                    if work.members > 1 {
                        finished.insert((gang.0, gang.1, gang.2, gang.3, fails));
                    }
                    let outcome = if fails { Outcome::Failed } else { Outcome::Done };
                    ends.push((id.clone(), task.clone(), outcome));
                }
            }
        }
        for (id, task, outcome) in ends {
            let fake = self.workers.get_mut(&id).expect("a known worker");
            let run = fake.running.get(&task).map_or(0, |work| work.run);
            fake.end(&task, outcome);
            self.trace.push(format!("{now:>6} end {task} {outcome} on {id}"));
            if outcome == Outcome::Failed {
                let gang = self.jobs[&task.job].submission.spec.steps[task.step as usize].gang;
                let index = if gang { 0 } else { task.index };
                let key = (task.job.clone(), task.occurrence, task.step, index);
                self.failures.entry(key).or_default().insert(run);
            }
            if outcome == Outcome::Alone && self.quiet() {
                self.fail(&format!("{task} ended alone in calm"));
            }
        }
        let cancelled = self
            .jobs
            .iter()
            .filter(|(_, job)| job.cancelled.is_some_and(|at| at + CANCEL_MS + 200 < now));
        if self.quiet() {
            for (id, _) in cancelled {
                let runs = |fake: &FakeWorker| fake.running.keys().any(|task| task.job == *id);
                if self.workers.values().any(|fake| fake.up && runs(fake)) {
                    self.fail(&format!("{id} still runs after it was cancelled"));
                }
            }
        }
    }

    /// Once a second one fault may come.
    fn disrupt(&mut self) {
        let now = self.now;
        for fake in self.workers.values_mut() {
            if fake.leaves.is_some_and(|at| at <= now) {
                fake.up = false;
            }
        }
        if self.calm() {
            return;
        }
        let faults = self.faults;
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let span = self.rng.random_range(500..9_000);
        match self.rng.random_range(0..10) {
            0 if faults.takeovers => {
                let lives = self.rng.random_bool(0.5);
                self.take_over(lives);
            }
            1 if faults.cuts => {
                self.note(format!("cut {id} for {span}"));
                self.workers.get_mut(&id).expect("known").cut = now + span;
            }
            2 if faults.crashes => {
                self.note(format!("crash {id}"));
                let fake = self.workers.get_mut(&id).expect("known");
                if fake.up {
                    fake.restart(now);
                }
            }
            7 if faults.cuts => {
                self.note(format!("{id} is deaf for {span}"));
                self.workers.get_mut(&id).expect("known").deaf = now + span;
            }
            8 if faults.refusals => {
                self.note(format!("{id} leaves orders undone for {span}"));
                self.workers.get_mut(&id).expect("known").idle = now + span;
            }
            3 if faults.refusals => {
                self.workers.get_mut(&id).expect("known").unwell = now + span;
            }
            4 if faults.failures => {
                self.workers.get_mut(&id).expect("known").failing = now + span;
            }
            5 if faults.leaving
                && self.workers.values().filter(|w| w.leaves.is_none()).count() > 12 =>
            {
                self.note(format!("{id} leaves in {span}"));
                self.workers.get_mut(&id).expect("known").leaves.get_or_insert(now + span);
            }
            6 if faults.cancels && !self.jobs.is_empty() => {
                let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
                let id = ids[self.rng.random_range(0..ids.len())].clone();
                self.note(format!("cancel {id}"));
                self.cancel(&id);
            }
            _ => {}
        }
    }

    /// Lets every lasting task be at work.
    pub fn finish_startup(&mut self) {
        for work in self.workers.values_mut().flat_map(|fake| fake.running.values_mut()) {
            work.started = true;
        }
    }

    /// Workers that the present owner gives new runs.
    pub fn usable(&self) -> usize {
        self.owners[&self.owner].summary(Time::from_millis(self.now)).usable
    }
}

/// Whether the advice service lets a step run on a worker.
fn allows(step: &StepKey, worker: &WorkerId) -> bool {
    let sum: usize = step.job.0.bytes().chain(worker.0.bytes()).map(usize::from).sum();
    !sum.is_multiple_of(3)
}

fn target(action: &Action) -> Option<&WorkerId> {
    match action {
        Action::Start { worker, .. } | Action::Stop { worker, .. } => Some(worker),
        Action::Renew { worker, .. } => Some(worker),
        Action::Commit(_) | Action::Note(_) | Action::Advise { .. } | Action::Resign => None,
    }
}

fn unanswered(action: &Action) -> Event {
    match action {
        Action::Start { worker, task, run, .. } => {
            Event::Started(worker.clone(), task.clone(), *run, StartResult::Unknown)
        }
        Action::Stop { worker, task, run } => {
            Event::Stopped(worker.clone(), task.clone(), *run, false)
        }
        Action::Renew { worker, .. } => Event::RenewalFailed(worker.clone()),
        other => panic!("not a call: {other:?}"),
    }
}

/// A record as it comes back from the store.
fn round_trip(record: &Record) -> Record {
    let text = serde_json::to_string(record).expect("records have a JSON form");
    serde_json::from_str(&text).expect("and are read back")
}
