//! The owner of the jobs: connects a planner to the store and to the workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::task::spawn_local;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::claim::Claim;
use crate::claim::claim;
use crate::claim::release_lease;
use crate::commit::OwnershipLost;
use crate::commit::RecordWriter;
use crate::orders::Orders;
use crate::state::JOB_PREFIX;
use crate::state::RECORD_PREFIX;
use crate::state::State;
use batch::Action;
use batch::Event;
use batch::JobId;
use batch::Note;
use batch::Planner;
use batch::Record;
use batch::Settings;
use batch::Submission;
use batch::WorkerId;
use batch::WorkerInfo;
use net::Caller;
use platform::directory;
use platform::store::Change;
use platform::store::Item;
use platform::store::StoreError;
use platform::worker::WorkerClient;
use text::JobBounds;

/// Limit on one read of the store.
const READ_LIMIT: Duration = Duration::from_millis(900);
/// Limit on a read over a slow link, which carries a page of a megabyte in about a second.
const LONG_LIMIT: Duration = Duration::from_millis(4_000);
/// Pause after a failed read of the store.
const READ_PAUSE: Duration = Duration::from_millis(150);
/// Pause between reads of the directory of workers.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(1_000);
/// Entries a second that the directory is read with at most, for slow links.
const DIRECTORY_RATE: u32 = 200;
/// Most events that one decision takes in.
const EVENTS_AT_ONCE: usize = 256;
/// Longest wait of a watch for new jobs.
const JOBS_WAIT: Duration = Duration::from_millis(5_000);
/// Time for the answer of such a watch to arrive.
const JOBS_MARGIN: Duration = Duration::from_millis(600);
/// Pause between looks at the time.
const TICK: Duration = Duration::from_millis(100);
/// Share of the ownership's lease after which it is renewed.
const RENEW_DIVISOR: u32 = 3;
/// Longest time for which a former owner that has lost the store goes on renewing workers' leases.
const SOLO_TIME: Duration = Duration::from_millis(2_000);
/// Pause between writes of the queues' lengths alone.
const WAITING_PAUSE: Duration = Duration::from_millis(1_000);

/// Owns the jobs whenever the ownership is vacant, for as long as the process runs.
pub async fn serve(state: Rc<State>, caller: Caller) {
    loop {
        let claim = claim(&state).await;
        let started = state.clock.now();
        let lease = claim.lease;
        let mut owner = match Owner::take_over(&state, &caller, claim).await {
            Ok(owner) => owner,
            Err(OwnershipLost) => continue,
        };
        let took = state.clock.now().since(started);
        state.metrics.event("takeover");
        info!(token = owner.writer.as_ref().map_or(0, |writer| writer.token),
            took_ms = took.as_millis() as u64; "ownership: taken over");
        owner.run().await;
        drop(owner);
        info!(lease = lease; "ownership: given up");
        release_lease(&state, lease).await;
        if state.draining.get() {
            std::future::pending::<()>().await;
        }
    }
}

struct Owner {
    state: Rc<State>,
    planner: Planner,
    orders: Orders,
    addresses: BTreeMap<WorkerId, SocketAddr>,
    /// None while a commit is on its way.
    writer: Option<RecordWriter>,
    events: mpsc::UnboundedReceiver<Event>,
    sender: UnboundedSender<Event>,
    commits: mpsc::UnboundedReceiver<Result<RecordWriter, OwnershipLost>>,
    committed: UnboundedSender<Result<RecordWriter, OwnershipLost>>,
    /// Queues' lengths as last stored.
    waiting: BTreeMap<String, u64>,
    waiting_at: model::Time,
    /// Whether the commit on its way is one of the planner's.
    planned: bool,
    /// A commit of the planner that waits for the one on its way.
    pending: Option<Vec<(JobId, Option<Record>)>>,
    tasks: JoinSet<()>,
}

impl Owner {
    async fn take_over(
        state: &Rc<State>,
        caller: &Caller,
        claim: Claim,
    ) -> Result<Owner, OwnershipLost> {
        let (sender, events) = mpsc::unbounded_channel();
        let (committed, commits) = mpsc::unbounded_channel();
        let workers = WorkerClient::new(caller.clone(), claim.token);
        let (clock, metrics) = (state.clock.clone(), state.metrics.clone());
        let orders = Orders {
            workers,
            clock,
            events: sender.clone(),
            metrics,
            caller: caller.clone(),
            advice: state.settings.advice,
        };
        let writer = RecordWriter {
            state: Rc::clone(state),
            token: claim.token,
            sequence: claim.sequence,
            number: 0,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn_local(renew(Rc::clone(state), claim.lease, sender.clone()));
        let planner = Planner::new(bounds(&state.settings.jobs), state.clock.now(), SOLO_TIME);
        let mut owner = Owner {
            state: Rc::clone(state),
            planner,
            orders,
            addresses: BTreeMap::new(),
            writer: Some(writer),
            events,
            sender,
            commits,
            committed,
            waiting: BTreeMap::new(),
            waiting_at: model::Time::ZERO,
            planned: false,
            pending: None,
            tasks,
        };
        owner.load().await?;
        Ok(owner)
    }

    /// Reads all stored jobs and the directory.
    async fn load(&mut self) -> Result<(), OwnershipLost> {
        let state = Rc::clone(&self.state);
        let (jobs, revision) = read(&state, JOB_PREFIX).await;
        let (records, _) = read(&state, RECORD_PREFIX).await;
        let (entries, _) = read(&state, directory::PREFIX).await;
        if let Some(confirmed) = state.active_configuration() {
            self.feed(Event::Configured(confirmed.policy))?;
        }
        let workers = workers(&entries);
        self.list(workers)?;
        let mut states: BTreeMap<JobId, Record> = BTreeMap::new();
        for item in &records {
            match serde_json::from_slice(&item.value) {
                Ok(record) => {
                    states.insert(job_id(&item.key), record);
                }
                Err(error) => {
                    warn!(key = item.key.as_str(), error = error.to_string().as_str();
                        "record: unreadable");
                }
            }
        }
        for item in &jobs {
            if let Some((id, submission)) = submission(item) {
                let record = states.remove(&id);
                self.feed(Event::Restored(id, submission, record))?;
            }
        }
        self.feed(Event::RestoreComplete)?;
        self.tasks.spawn_local(follow_jobs(Rc::clone(&state), revision, self.sender.clone()));
        Ok(())
    }

    async fn run(&mut self) {
        let state = Rc::clone(&self.state);
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changed = state.configuration_changed.subscribe();
        let (listed, mut lists) = mpsc::unbounded_channel();
        self.tasks.spawn_local(follow_directory(Rc::clone(&state), listed));
        loop {
            let fed = tokio::select! {
                biased;
                Some(result) = self.commits.recv() => self.finish_commit(result),
                Some(workers) = lists.recv() => self.list(workers),
                Some(event) = self.events.recv() => self.feed_all(event),
                Ok(()) = changed.changed() => match state.active_configuration() {
                    Some(confirmed) => self.feed(Event::Configured(confirmed.policy)),
                    None => Ok(()),
                },
                _ = tick.tick() => self.feed(Event::Tick),
                () = sleep(self.planner.next_wakeup().since(state.clock.now())) => self.feed(Event::Tick),
            };
            if fed.is_err() || (state.draining.get() && self.writer.is_some()) {
                return;
            }
            self.store_waiting();
        }
    }

    fn list(&mut self, workers: Vec<WorkerInfo>) -> Result<(), OwnershipLost> {
        for worker in &workers {
            self.addresses.insert(worker.id.clone(), worker.address);
        }
        self.feed(Event::Listed(workers))
    }

    /// Takes in an event and those that came with it, and decides once.
    fn feed_all(&mut self, event: Event) -> Result<(), OwnershipLost> {
        let now = self.state.clock.now();
        self.planner.apply(now, event);
        for _ in 0..EVENTS_AT_ONCE {
            let Ok(event) = self.events.try_recv() else { break };
            self.planner.apply(now, event);
        }
        self.decide(now)
    }

    fn feed(&mut self, event: Event) -> Result<(), OwnershipLost> {
        let now = self.state.clock.now();
        self.planner.apply(now, event);
        self.decide(now)
    }

    fn decide(&mut self, now: model::Time) -> Result<(), OwnershipLost> {
        for action in self.planner.decide(now, self.state.clock.stamp()) {
            match action {
                Action::Resign => return Err(OwnershipLost),
                Action::Commit(records) => self.commit(records, true),
                Action::Note(note) => {
                    let metrics = &self.state.metrics;
                    metrics.event(note.as_ref());
                    if let Note::Placed { rank, age, .. } = &note {
                        metrics.place(rank, Duration::from_millis(*age));
                    }
                    log_note(&note);
                }
                order => self.orders.send(&self.addresses, order),
            }
        }
        Ok(())
    }

    fn commit(&mut self, records: Vec<(JobId, Option<Record>)>, planned: bool) {
        let Some(mut writer) = self.writer.take() else {
            // The planner sends one commit at a time, so only queues' lengths are on their way.
            self.pending = Some(records);
            return;
        };
        self.planned = planned;
        let summary = self.planner.summary(self.state.clock.now());
        let metrics = &self.state.metrics;
        metrics.level("jobs", summary.live as u64);
        metrics.level("jobs_waiting", summary.waiting.values().sum());
        metrics.level("runs", summary.runs as u64);
        metrics.level("workers", summary.usable as u64);
        self.waiting = summary.waiting;
        self.waiting_at = self.state.clock.now();
        let waiting = self.waiting.clone();
        let committed = self.committed.clone();
        self.tasks.spawn_local(async move {
            let result = writer.store_records(&records, &waiting).await;
            // Nobody listens any more once the ownership is lost.
            let _ = committed.send(result.map(|()| writer));
        });
    }

    fn finish_commit(
        &mut self,
        result: Result<RecordWriter, OwnershipLost>,
    ) -> Result<(), OwnershipLost> {
        self.writer = Some(result?);
        if std::mem::take(&mut self.planned) {
            self.feed(Event::Committed)?;
        }
        if let Some(records) = self.pending.take() {
            self.commit(records, true);
        }
        Ok(())
    }

    /// Stores the queues' lengths if they have changed and no commit has taken them along.
    fn store_waiting(&mut self) {
        let now = self.state.clock.now();
        if self.writer.is_none() || now.since(self.waiting_at) < WAITING_PAUSE {
            return;
        }
        if self.planner.summary(now).waiting != self.waiting {
            self.commit(Vec::new(), false);
        } else {
            self.waiting_at = now;
        }
    }
}

fn log_note(note: &Note) {
    let what = note.as_ref();
    match note {
        Note::Placed { job, step, tasks, missing, rank, age } => {
            info!(job = &*job.0, step = step, tasks = tasks, missing = missing,
                rank = rank.as_str(), age_ms = age; "{what}");
        }
        Note::Waits { job, step, missing, rank, usable, free } => {
            info!(job = &*job.0, step = step, missing = missing, rank = rank.as_str(),
                workers = usable, accelerators = free; "{what}");
        }
        Note::Reclaims { job, tasks, stopped } => {
            let stopped: Vec<String> = stopped.iter().map(ToString::to_string).collect();
            info!(job = &*job.0, tasks = tasks, stopped = stopped.join(" ").as_str(); "{what}");
        }
        Note::BacksOff { worker, why, span } => {
            info!(worker = &*worker.0, why = why, span_ms = span; "{what}");
        }
        Note::Suspects { worker, job, span } => {
            info!(worker = &*worker.0, job = &*job.0, span_ms = span; "{what}");
        }
        Note::AnswersOrders { worker, heeds } => {
            info!(worker = &*worker.0, heeds = heeds; "{what}");
        }
        Note::GivesUp { task, worker, why } => {
            info!(task = task.to_string().as_str(), worker = &*worker.0, why = why; "{what}");
        }
        Note::Ends { job, state, age } => {
            info!(job = &*job.0, state = state.as_ref(), age_ms = age; "{what}");
        }
    }
}

fn bounds(jobs: &JobBounds) -> Settings {
    Settings { lease: jobs.lease, stop: jobs.stop, retention: jobs.retention }
}

/// Reads all items under a prefix, for as long as it takes.
async fn read(state: &State, prefix: &str) -> (Vec<Item>, u64) {
    let mut limit = READ_LIMIT;
    loop {
        match state.store.range(prefix, limit).await {
            Ok(read) => return read,
            Err(error) => {
                warn!(prefix = prefix, error = error.to_string().as_str(); "read: failed, again");
                limit = (limit * 2).min(LONG_LIMIT);
                sleep(READ_PAUSE).await;
            }
        }
    }
}

fn job_id(key: &str) -> JobId {
    JobId(key.split_once('/').map_or(key, |(_, id)| id).into())
}

fn submission(item: &Item) -> Option<(JobId, Submission)> {
    match serde_json::from_slice(&item.value) {
        Ok(submission) => Some((job_id(&item.key), submission)),
        Err(error) => {
            warn!(key = item.key.as_str(), error = error.to_string().as_str(); "job: unreadable");
            None
        }
    }
}

fn workers(entries: &[Item]) -> Vec<WorkerInfo> {
    let entry = |item: &Item| match directory::decode_entry(&item.key, &item.value) {
        Ok(worker) => Some(worker),
        Err(error) => {
            warn!(error = error.as_str(); "directory: entry names no worker");
            None
        }
    };
    entries.iter().filter_map(entry).collect()
}

/// Tells the owner of new and cancelled jobs.
async fn follow_jobs(state: Rc<State>, mut after: u64, events: UnboundedSender<Event>) {
    loop {
        let items =
            match state.store.watch(JOB_PREFIX, after, JOBS_WAIT, JOBS_WAIT + JOBS_MARGIN).await {
                Ok((changes, revision)) => {
                    after = revision;
                    let written = |change| match change {
                        Change::Written(item) => Some(item),
                        Change::Removed(_) => None,
                    };
                    changes.into_iter().filter_map(written).collect()
                }
                Err(error) => {
                    if error != StoreError::Compacted {
                        warn!(error = error.to_string().as_str(); "jobs: watch failed");
                        sleep(READ_PAUSE).await;
                    }
                    let (items, revision) = read(&state, JOB_PREFIX).await;
                    after = revision;
                    items
                }
            };
        for (id, submission) in items.iter().filter_map(submission) {
            let cancelled = submission.cancelled;
            let accepted = events.send(Event::Accepted(id.clone(), submission));
            if accepted.is_err() || (cancelled && events.send(Event::Cancelled(id)).is_err()) {
                return;
            }
        }
    }
}

/// Reads the directory of workers again and again.
async fn follow_directory(state: Rc<State>, listed: UnboundedSender<Vec<WorkerInfo>>) {
    loop {
        let mut pause = DIRECTORY_PAUSE;
        match state.store.range(directory::PREFIX, LONG_LIMIT).await {
            Ok((entries, _)) => {
                let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
                pause = pause.max(Duration::from_secs(1) * count / DIRECTORY_RATE);
                if listed.send(workers(&entries)).is_err() {
                    return;
                }
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "directory: read failed");
            }
        }
        sleep(pause).await;
    }
}

/// Renews the ownership's lease, and gives up once it has ended.
async fn renew(state: Rc<State>, lease: u64, events: UnboundedSender<Event>) {
    let pause = state.settings.ownership / RENEW_DIVISOR;
    loop {
        sleep(pause).await;
        match state.store.renew(lease, pause * 2).await {
            Ok(Some(_)) => {}
            Ok(None) => {
                warn!(lease = lease; "ownership: lease has ended");
                // Nobody listens any more if the ownership was given up meanwhile.
                let _ = events.send(Event::Deposed);
                return;
            }
            Err(error) => {
                warn!(lease = lease, error = error.to_string().as_str();
                    "ownership: lease not renewed");
            }
        }
    }
}

/// Starts the owner's part of a process.
pub fn start(state: &Rc<State>, caller: &Caller) {
    spawn_local(serve(Rc::clone(state), caller.clone()));
}
