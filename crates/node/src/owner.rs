//! The owner of the jobs: connects the planner to the store and to the workers.

use std::collections::BTreeMap;
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
use crate::directory::DirectoryReader;
use crate::directory::Listing;
use crate::evacuation::EvacuationFollower;
use crate::orders::OrderSender;
use crate::orders::payload_permits;
use crate::state::JOB_PREFIX;
use crate::state::RECORD_PREFIX;
use crate::state::State;
use crate::views::clear_ages;
use crate::views::show_ages;
use batch::Action;
use batch::Event;
use batch::JobId;
use batch::Note;
use batch::Planner;
use batch::Record;
use batch::Settings;
use batch::Submission;
use batch::View;
use batch::ViewBounds;
use model::Time;
use net::Caller;
use platform::store::Change;
use platform::store::Item;
use platform::store::StoreError;
use platform::worker::WorkerClient;
use text::JobBounds;

/// Initial timeout of a read of the store.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum timeout of a read, for slow links: a page of 1 MB takes about a second on one.
const SLOW_READ_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Pause after a failed read of the store.
const READ_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of further events that are applied before one decision.
const MAX_EVENTS_PER_DECISION: usize = 256;
/// Maximum wait of a watch for submitted and cancelled jobs. A watch whose connection has gone
/// silent is given up after it, and the tasks of a cancelled job have to stop within three seconds.
const JOBS_WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Divisor of the bound on cancellations for the maximum wait of such a watch. With 3 s, the rest
/// suffices for a watch that goes silent, a poll, and the margin of a start.
const JOBS_WAIT_DIVISOR: u32 = 2;
/// Time allowed for the answer of such a watch to arrive.
const JOBS_WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Maximum interval between decisions of the planner.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of renewals in the duration of the ownership's lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Maximum time for which an owner that has lost the store goes on extending the workers' leases.
/// The leases then outlast outages of the store by this time, and a takeover waits as much longer
/// for a worker that it cannot reach.
const SOLO_RENEWAL_TIME: Duration = Duration::from_millis(3_000);
/// Minimum pause between commits that store only the queue lengths.
const QUEUE_LENGTHS_PAUSE: Duration = Duration::from_millis(1_000);

/// Claims the ownership whenever it is vacant and schedules the jobs until it is lost, for as long
/// as the process runs.
pub async fn serve(state: Rc<State>, caller: Caller) {
    loop {
        let claim = claim(&state).await;
        let started = state.clock.now();
        let lease = claim.lease;
        let mut owner = match Owner::take_over(&state, &caller, claim).await {
            Ok(owner) => owner,
            Err(OwnershipLost) => continue,
        };
        let elapsed = state.clock.now().since(started);
        state.metrics.count_event("takeover");
        info!(token = owner.writer.as_ref().map_or(0, |writer| writer.token),
            took_ms = elapsed.as_millis() as u64; "ownership: taken over");
        owner.run().await;
        drop(owner);
        state.metrics.clear_evacuations();
        clear_ages(&state);
        info!(lease = lease; "ownership: given up");
        release_lease(&state, lease).await;
        if state.draining.get() {
            std::future::pending::<()>().await;
        }
    }
}

/// State of an entry VM while it owns the jobs.
struct Owner {
    state: Rc<State>,
    planner: Planner,
    evacuations: EvacuationFollower,
    orders: OrderSender,
    /// Passed on once the directory is followed.
    directory: Option<DirectoryReader>,
    /// `None` while a commit is in progress.
    writer: Option<RecordWriter>,
    events: mpsc::UnboundedReceiver<Event>,
    event_sender: UnboundedSender<Event>,
    commit_results: mpsc::UnboundedReceiver<Result<RecordWriter, OwnershipLost>>,
    commit_sender: UnboundedSender<Result<RecordWriter, OwnershipLost>>,
    /// Queue lengths as last stored.
    stored_lengths: BTreeMap<String, u64>,
    /// Time at which the queue lengths were last stored or found unchanged.
    lengths_checked: Time,
    /// Whether the commit in progress was issued by the planner.
    planner_commit: bool,
    /// Whether the planner extended leases at the last decision.
    extends_leases: bool,
    /// A commit of the planner that waits for the one in progress.
    pending_commit: Option<Vec<(JobId, Option<Record>)>>,
    tasks: JoinSet<()>,
}

impl Owner {
    /// Starts the tasks of an owner and restores the planner's state.
    async fn take_over(
        state: &Rc<State>,
        caller: &Caller,
        claim: Claim,
    ) -> Result<Owner, OwnershipLost> {
        let (event_sender, events) = mpsc::unbounded_channel();
        let (commit_sender, commit_results) = mpsc::unbounded_channel();
        let workers = WorkerClient::new(caller.clone());
        let (clock, metrics) = (state.clock.clone(), state.metrics.clone());
        let evacuations = EvacuationFollower::default();
        let orders = OrderSender {
            workers,
            clock,
            events: event_sender.clone(),
            metrics,
            caller: caller.clone(),
            advice_address: state.settings.advice,
            payload_permits: payload_permits(),
            closed: evacuations.closed(),
        };
        let writer = RecordWriter {
            state: Rc::clone(state),
            token: claim.token,
            sequence: claim.sequence,
            number: 0,
            confirmed_at: claim.since,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn_local(renew_lease(Rc::clone(state), claim.lease, event_sender.clone()));
        let mut planner = Planner::new(
            planner_settings(&state.settings.jobs),
            state.clock.now(),
            SOLO_RENEWAL_TIME,
        );
        planner.preempt_gangs(state.settings.jobs.preempt_gangs);
        let mut owner = Owner {
            state: Rc::clone(state),
            planner,
            evacuations,
            orders,
            directory: None,
            writer: Some(writer),
            events,
            event_sender,
            commit_results,
            commit_sender,
            stored_lengths: BTreeMap::new(),
            lengths_checked: Time::ZERO,
            planner_commit: false,
            extends_leases: true,
            pending_commit: None,
            tasks,
        };
        owner.planner.limit_reservations(state.settings.jobs.reservations as usize);
        owner.planner.apply(claim.since, Event::Confirmed(claim.since));
        owner.planner.apply(claim.since, Event::Stored(claim.token));
        owner.restore().await?;
        Ok(owner)
    }

    /// Restores the planner's state from the stored jobs, records and directory.
    async fn restore(&mut self) -> Result<(), OwnershipLost> {
        let state = Rc::clone(&self.state);
        let (jobs, revision, jobs_sent) = read_range(&state, JOB_PREFIX).await;
        let (records, ..) = read_range(&state, RECORD_PREFIX).await;
        let mut directory = DirectoryReader::new(Rc::clone(&state));
        let listing = directory.read().await;
        self.directory = Some(directory);
        if let Some(active) = state.active_configuration() {
            self.handle_event(Event::Configured(active.policy))?;
        }
        self.update_directory(listing)?;
        let mut states: BTreeMap<JobId, Record> = BTreeMap::new();
        for item in &records {
            match item.json() {
                Ok(record) => {
                    states.insert(parse_job_id(&item.key), record);
                }
                Err(error) => {
                    warn!(key = item.key.as_str(), error = error.as_str();
                        "record: cannot be decoded");
                }
            }
        }
        for item in &jobs {
            if let Some((id, submission)) = parse_submission(item) {
                let record = states.remove(&id);
                self.handle_event(Event::Restored(id, submission, record))?;
            }
        }
        self.planner.apply(state.clock.now(), Event::Viewed(View::Cancellations, jobs_sent));
        self.handle_event(Event::RestoreComplete)?;
        let events = self.event_sender.clone();
        self.tasks.spawn_local(follow_jobs(Rc::clone(&state), revision, jobs_sent, events));
        Ok(())
    }

    /// Schedules the jobs until the ownership is lost or the process drains.
    async fn run(&mut self) {
        let state = Rc::clone(&self.state);
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changed = state.configuration_changed.subscribe();
        let (listing_sender, mut listings) = mpsc::unbounded_channel();
        if let Some(directory) = self.directory.take() {
            self.tasks.spawn_local(directory.follow(listing_sender));
        }
        loop {
            let handled = tokio::select! {
                biased;
                Some(result) = self.commit_results.recv() => self.finish_commit(result),
                Some(listing) = listings.recv() => self.update_directory(listing),
                Some(event) = self.events.recv() => self.handle_events(event),
                Ok(()) = changed.changed() => match state.active_configuration() {
                    Some(active) => self.handle_event(Event::Configured(active.policy)),
                    None => Ok(()),
                },
                _ = tick.tick() => self.handle_event(Event::Tick),
                () = sleep(self.planner.next_wakeup().since(state.clock.now())) =>
                    self.handle_event(Event::Tick),
            };
            if handled.is_err() || (state.draining.get() && self.writer.is_some()) {
                return;
            }
            self.store_queue_lengths();
            self.evacuations.show(&self.state, &self.planner, state.clock.now());
        }
    }

    /// Passes the listed workers to the planner.
    fn update_directory(&mut self, listing: Listing) -> Result<(), OwnershipLost> {
        if let Some(workers) = listing.workers {
            self.planner.apply(self.state.clock.now(), Event::Listed(workers));
            self.evacuations.close(&self.planner);
        }
        self.handle_event(Event::Viewed(View::Directory, listing.complete_at))
    }

    /// Applies an event and further queued ones, and decides once.
    fn handle_events(&mut self, event: Event) -> Result<(), OwnershipLost> {
        let now = self.state.clock.now();
        self.evacuations.pass(&self.state, &mut self.planner, now);
        self.planner.apply(now, event);
        for _ in 0..MAX_EVENTS_PER_DECISION {
            let Ok(event) = self.events.try_recv() else { break };
            self.planner.apply(now, event);
        }
        self.decide(now)
    }

    fn handle_event(&mut self, event: Event) -> Result<(), OwnershipLost> {
        let now = self.state.clock.now();
        self.evacuations.pass(&self.state, &mut self.planner, now);
        self.planner.apply(now, event);
        self.decide(now)
    }

    /// Lets the planner decide and carries out its actions.
    fn decide(&mut self, now: Time) -> Result<(), OwnershipLost> {
        show_ages(&self.state, &self.planner, now);
        let extends = self.planner.extends_leases(now);
        if std::mem::replace(&mut self.extends_leases, extends) != extends {
            let change = if extends { "leases: extended again" } else { "leases: not extended" };
            info!("{change}");
            self.state.metrics.count_event(if extends { "extends" } else { "expires" });
        }
        for action in self.planner.decide(now, self.state.clock.stamp()) {
            match action {
                Action::Resign => return Err(OwnershipLost),
                Action::Commit(records) => self.commit(records, true),
                Action::Note(note) => {
                    let metrics = &self.state.metrics;
                    metrics.count_event(note.as_ref());
                    if let Note::Placed { rank, age, .. } = &note {
                        metrics.observe_placement(rank, Duration::from_millis(*age));
                    }
                    if let Note::Reclaims { stopped, cost, .. } = &note {
                        metrics.count_preemption(stopped.len(), *cost);
                    }
                    log_note(&note);
                }
                order => self.orders.send(order),
            }
        }
        Ok(())
    }

    /// Starts a commit of records and queue lengths, or queues it behind the one in progress.
    fn commit(&mut self, records: Vec<(JobId, Option<Record>)>, by_planner: bool) {
        let Some(mut writer) = self.writer.take() else {
            // The planner issues one commit at a time, so the one in progress stores only queue
            // lengths.
            self.pending_commit = Some(records);
            return;
        };
        self.planner_commit = by_planner;
        let summary = self.planner.summary(self.state.clock.now());
        let metrics = &self.state.metrics;
        metrics.set_gauge("jobs", summary.live as u64);
        metrics.set_gauge("jobs_waiting", summary.waiting.values().sum());
        metrics.set_gauge("runs", summary.runs as u64);
        metrics.set_gauge("runs_orphaned", summary.orphaned_runs as u64);
        metrics.set_gauge("jobs_deferred", summary.deferred as u64);
        metrics.set_gauge("workers", summary.usable as u64);
        metrics.set_gauge("reservations", summary.reservations as u64);
        self.stored_lengths = summary.waiting;
        self.lengths_checked = self.state.clock.now();
        let lengths = self.stored_lengths.clone();
        let commit_sender = self.commit_sender.clone();
        self.tasks.spawn_local(async move {
            let result = writer.store_records(&records, &lengths).await;
            // The receiver is gone once the ownership is lost.
            let _ = commit_sender.send(result.map(|()| writer));
        });
    }

    fn finish_commit(
        &mut self,
        result: Result<RecordWriter, OwnershipLost>,
    ) -> Result<(), OwnershipLost> {
        let writer = result?;
        let now = self.state.clock.now();
        self.planner.apply(now, Event::Confirmed(writer.confirmed_at));
        self.planner.apply(now, Event::Stored(writer.sequence));
        self.writer = Some(writer);
        if std::mem::take(&mut self.planner_commit) {
            self.handle_event(Event::Committed)?;
        }
        if let Some(records) = self.pending_commit.take() {
            self.commit(records, true);
        }
        Ok(())
    }

    /// Stores the queue lengths if they have changed since the last commit, which stores them too.
    fn store_queue_lengths(&mut self) {
        let now = self.state.clock.now();
        if self.writer.is_none() || now.since(self.lengths_checked) < QUEUE_LENGTHS_PAUSE {
            return;
        }
        if self.planner.summary(now).waiting != self.stored_lengths {
            self.commit(Vec::new(), false);
        } else {
            self.lengths_checked = now;
        }
    }
}

/// Logs a decision of the planner under its kind.
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
        Note::Reclaims { job, tasks, stopped, cost } => {
            let names: Vec<String> = stopped.iter().map(ToString::to_string).collect();
            info!(job = &*job.0, tasks = tasks, count = stopped.len(), core_ms = cost,
                stopped = names.join(" ").as_str(); "{what}");
        }
        Note::HoldsStarts { view, holds, age, starts } => {
            let age = age.map_or("unknown".to_owned(), |age| age.to_string());
            info!(view = view.as_ref(), holds = holds, age_ms = age.as_str(), starts = starts;
                "{what}");
        }
        Note::Reserves { job, step, tasks, workers, wait } => {
            info!(job = &*job.0, step = step, tasks = tasks, workers = workers, wait_ms = wait;
                "{what}");
        }
        Note::BacksOff { worker, why, span } => {
            info!(worker = &*worker.0, why = why, span_ms = span; "{what}");
        }
        Note::Suspects { worker, job, span } => {
            info!(worker = &*worker.0, job = &*job.0, span_ms = span; "{what}");
        }
        Note::Slow { worker } => info!(worker = &*worker.0; "{what}"),
        Note::AnswersOrders { worker, heeds } => {
            info!(worker = &*worker.0, heeds = heeds; "{what}");
        }
        Note::RaisesToken { worker, token } => {
            info!(worker = &*worker.0, token = token; "{what}");
        }
        Note::IgnoresEntry { worker, service } => {
            info!(worker = &*worker.0, service = service.as_str(), why = "service is not configured";
                "{what}");
        }
        Note::Adopts { jobs, runs, ended_runs, stopping } => {
            info!(jobs = jobs, runs = runs, ended_runs = ended_runs, stopping = stopping; "{what}");
        }
        Note::Crashed { worker, tasks } => {
            let names: Vec<String> = tasks.iter().map(ToString::to_string).collect();
            info!(worker = &*worker.0, count = tasks.len(), tasks = names.join(" ").as_str();
                "{what}");
        }
        Note::Loses { task, worker, fate, losses } => {
            info!(task = task.to_string().as_str(), worker = &*worker.0,
                fate = format!("{fate:?}").as_str(), losses = losses; "{what}");
        }
        Note::GivesUp { task, worker, why } => {
            info!(task = task.to_string().as_str(), worker = &*worker.0, why = why; "{what}");
        }
        Note::Oversized { job, tasks } => info!(job = &*job.0, tasks = tasks; "{what}"),
        Note::Ends { job, state, age } => {
            info!(job = &*job.0, state = state.as_ref(), age_ms = age; "{what}");
        }
    }
}

fn planner_settings(jobs: &JobBounds) -> Settings {
    Settings {
        lease: jobs.lease,
        stop: jobs.stop,
        retention: jobs.retention,
        bounds: ViewBounds { drain: jobs.drain, evacuate: jobs.evacuate, cancel: jobs.cancel },
    }
}

/// Reads all items under a prefix, with retries until it succeeds. Returns them with their store
/// revision and the time at which the read was sent.
async fn read_range(state: &State, prefix: &str) -> (Vec<Item>, u64, Time) {
    let mut timeout = READ_TIMEOUT;
    loop {
        let sent = state.clock.now();
        match state.store.range(prefix, timeout).await {
            Ok((items, revision)) => return (items, revision, sent),
            Err(error) => {
                warn!(prefix = prefix, error = error.to_string().as_str();
                    "read: failed; retrying");
                timeout = (timeout * 2).min(SLOW_READ_TIMEOUT);
                sleep(READ_PAUSE).await;
            }
        }
    }
}

fn parse_job_id(key: &str) -> JobId {
    JobId(key.split_once('/').map_or(key, |(_, id)| id).into())
}

fn parse_submission(item: &Item) -> Option<(JobId, Submission)> {
    match item.json() {
        Ok(submission) => Some((parse_job_id(&item.key), submission)),
        Err(error) => {
            warn!(key = item.key.as_str(), error = error.as_str();
                "job: cannot be decoded");
            None
        }
    }
}

/// Sends new and cancelled jobs to the owner as events, after a read at `after` that was sent at
/// `confirmed`.
///
/// After a failure it polls for changes since the last known revision. Reading all jobs again takes
/// seconds over a slow link, in which cancellations go unnoticed.
async fn follow_jobs(
    state: Rc<State>,
    mut after: u64,
    mut confirmed: Time,
    events: UnboundedSender<Event>,
) {
    let longest = jobs_watch_wait(state.settings.jobs.cancel);
    let mut poll_timeout = None;
    loop {
        let sent = state.clock.now();
        // A watch that ends with a change confirms nothing beyond the time at which it was sent, so
        // the next one may wait for less.
        let wait = longest.saturating_sub(sent.since(confirmed));
        let (wait, timeout) = match poll_timeout {
            Some(timeout) => (Duration::ZERO, timeout),
            None => (wait, wait + JOBS_WATCH_MARGIN),
        };
        let items: Vec<Item> = match state.store.watch(JOB_PREFIX, after, wait, timeout).await {
            Ok((changes, revision)) => {
                let waited = changes.is_empty() && state.clock.now().since(sent) >= wait;
                (after, poll_timeout) = (revision, None);
                confirmed = confirmed.max(if waited { sent + wait } else { sent });
                let written = |change| match change {
                    Change::Written(item) => Some(item),
                    Change::Removed(_) => None,
                };
                changes.into_iter().filter_map(written).collect()
            }
            Err(StoreError::Compacted) => {
                let items;
                (items, after, confirmed) = read_range(&state, JOB_PREFIX).await;
                items
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "jobs: watch failed");
                let longer = |timeout: Duration| (timeout * 2).min(SLOW_READ_TIMEOUT);
                poll_timeout = Some(poll_timeout.map_or(READ_TIMEOUT, longer));
                sleep(READ_PAUSE).await;
                continue;
            }
        };
        for (id, submission) in items.iter().filter_map(parse_submission) {
            let cancelled = submission.cancelled;
            let sent = events.send(Event::Accepted(id.clone(), submission));
            if sent.is_err() || (cancelled && events.send(Event::Cancelled(id)).is_err()) {
                return;
            }
        }
        if events.send(Event::Viewed(View::Cancellations, confirmed)).is_err() {
            return;
        }
    }
}

/// Maximum wait of a watch for jobs, given the time in which cancellations have to be respected.
fn jobs_watch_wait(bound: Option<Duration>) -> Duration {
    bound.map_or(JOBS_WATCH_WAIT, |bound| JOBS_WATCH_WAIT.min(bound / JOBS_WAIT_DIVISOR))
}

/// Renews the lease of the ownership until it has ended, and then reports the ownership as lost.
async fn renew_lease(state: Rc<State>, lease: u64, events: UnboundedSender<Event>) {
    let pause = state.settings.ownership / RENEWALS_PER_LEASE;
    loop {
        sleep(pause).await;
        let sent = state.clock.now();
        match state.store.renew(lease, pause * 2).await {
            Ok(Some(_)) => {
                // The receiver is gone if the ownership was given up in the meantime.
                let _ = events.send(Event::Confirmed(sent));
            }
            Ok(None) => {
                warn!(lease = lease; "ownership: lease has ended");
                // The receiver is gone if the ownership was given up in the meantime.
                let _ = events.send(Event::Deposed);
                return;
            }
            Err(error) => {
                warn!(lease = lease, error = error.to_string().as_str();
                    "ownership: cannot renew the lease");
            }
        }
    }
}

/// Starts the task that claims the ownership and schedules the jobs.
pub fn start(state: &Rc<State>, caller: &Caller) {
    spawn_local(serve(Rc::clone(state), caller.clone()));
}
