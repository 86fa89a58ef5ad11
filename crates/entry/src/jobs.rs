//! The job task: runs the placement shards that this entry VM owns.
//!
//! One task owns the state machines of all shards. The fleet task decides which shards are owned
//! here; calls for a shard that another entry VM owns are forwarded by [`crate::relay`]. Calls to
//! the store and to workers run in separate tasks, which send their results to the command queue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::pages;
use crate::requests::sleep_until;
use crate::workers::Workers;
use gang::Action;
use gang::Event;
use gang::JobSpec;
use gang::Policy;
use gang::Reply;
use gang::Settings;
use gang::Shard;
use gang::Snapshot;
use gang::Ticket;
use gang::WorkerInfo;
use model::Epoch;
use model::Incarnation;
use model::JobId;
use model::ShardId;
use model::Verdict;
use model::WorkerId;
use store::Store;

/// Capacity of the command queue.
const COMMAND_QUEUE_LEN: usize = 16_384;
/// Delay before a failed read of the pages of a shard is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Call to a placement shard.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Call {
    /// Submit a job.
    Submit {
        /// The job.
        job: Box<gang::JobSpec>,
        /// Whether to answer only after the job is stored.
        durable: bool,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Return the status of a job.
    Query {
        /// The job.
        job: JobId,
    },
}

/// Answer to a call; also sent between entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// The job or its cancellation was accepted.
    Accepted {
        /// Whether it is stored.
        durable: bool,
    },
    /// The call was refused.
    Refused {
        /// Verdict on the job.
        verdict: Verdict,
        /// Reason of the refusal.
        reason: String,
    },
    /// Status of the job.
    Status {
        /// State of the job.
        state: String,
        /// Final verdict; `None` while it is open.
        verdict: Option<Verdict>,
        /// Reason of the state, or what the job waits for.
        reason: String,
    },
}

impl From<Reply> for Answer {
    fn from(reply: Reply) -> Answer {
        match reply {
            Reply::Accepted { durable } => Answer::Accepted { durable },
            Reply::Refused { verdict, reason } => Answer::Refused { verdict, reason },
            Reply::Status { state, verdict, reason } => {
                Answer::Status { state: state.to_string(), verdict, reason }
            }
        }
    }
}

/// Command to the job task.
#[derive(Debug)]
pub enum Command {
    /// Handle a call.
    Call {
        /// The shard.
        shard: ShardId,
        /// The call.
        call: Call,
        /// Receives the answer; dropped if the shard gets another owner first.
        reply: oneshot::Sender<Answer>,
    },
    /// Look up the state history of a job.
    Explain {
        /// The job.
        job: JobId,
        /// Receives the history; `None` if no shard owned here knows the job.
        reply: oneshot::Sender<Option<gang::Explanation>>,
    },
    /// Return the state of the shards owned here.
    Snapshot {
        /// Receives the state of each shard.
        reply: oneshot::Sender<BTreeMap<ShardId, Snapshot>>,
    },
    /// Take over a shard.
    Own {
        /// The shard.
        shard: ShardId,
        /// Epoch of the ownership.
        epoch: Epoch,
    },
    /// Another entry VM has become the owner of a shard.
    Superseded {
        /// The shard.
        shard: ShardId,
        /// Epoch of the new ownership.
        epoch: Epoch,
    },
    /// Replace the lists of workers.
    Workers {
        /// Workers of each shard.
        list: BTreeMap<ShardId, Vec<WorkerInfo>>,
        /// Base URL of each worker.
        addresses: BTreeMap<WorkerId, String>,
    },
    /// Replace the policies after a change of the configuration or of the capacity.
    Policy {
        /// Policy of each shard; a shard without one has no client accounts.
        policies: BTreeMap<ShardId, Arc<Policy>>,
    },
    /// Result of a store or worker call of a shard.
    Event {
        /// The shard.
        shard: ShardId,
        /// Epoch of the ownership that made the call.
        epoch: Epoch,
        /// Event for the state machine.
        event: Event,
    },
}

/// Handle for sending commands to the job task.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    /// Calls a shard; refused if it is not owned here.
    pub async fn call(&self, shard: ShardId, call: Call) -> Answer {
        let (reply, answer) = oneshot::channel();
        if self.commands.try_send(Command::Call { shard, call, reply }).is_err() {
            let reason = "the entry VM is overloaded; try again later".to_owned();
            return Answer::Refused { verdict: Verdict::NotRun, reason };
        }
        answer.await.unwrap_or_else(|_| Answer::Refused {
            verdict: Verdict::Unknown,
            reason: "the shard got another owner before it answered; query the job by its id"
                .to_owned(),
        })
    }

    /// Looks up the state history of a job; `None` if no shard owned here knows it.
    pub async fn explain(&self, job: JobId) -> Option<gang::Explanation> {
        let (reply, answer) = oneshot::channel();
        self.commands.try_send(Command::Explain { job, reply }).ok()?;
        answer.await.ok().flatten()
    }

    /// Returns the state of the shards owned here; empty if the job task is overloaded.
    pub async fn snapshot(&self) -> BTreeMap<ShardId, Snapshot> {
        let (reply, answer) = oneshot::channel();
        if self.commands.try_send(Command::Snapshot { reply }).is_err() {
            return BTreeMap::new();
        }
        answer.await.unwrap_or_default()
    }

    /// Sends a command; waits while the queue is full.
    pub async fn send(&self, command: Command) {
        if self.commands.send(command).await.is_err() {
            warn!("jobs: the job task has stopped; command dropped");
        }
    }
}

/// Dependencies of the job task.
#[derive(Clone, Debug)]
pub struct Dependencies<S> {
    /// Time source.
    pub clock: Clock,
    /// Incarnation of this process.
    pub me: Incarnation,
    /// The platform's store.
    pub store: S,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Timeouts and limits of the shards.
    pub settings: Settings,
}

/// Starts the job task without any shards.
pub fn start<S: Store>(deps: Dependencies<S>) -> Handle {
    let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_LEN);
    let handle = Handle { commands: commands.clone() };
    let task = JobTask {
        deps,
        commands: commands.downgrade(),
        shards: BTreeMap::new(),
        workers: Workers::default(),
        worker_queues: BTreeMap::new(),
        worker_lists: BTreeMap::new(),
        policies: BTreeMap::new(),
        replies: BTreeMap::new(),
        last_ticket: 0,
    };
    tokio::spawn(task.run(inbox));
    handle
}

struct OwnedShard {
    shard: Shard,
    epoch: Epoch,
    tickets: BTreeSet<Ticket>,
}

struct JobTask<S> {
    deps: Dependencies<S>,
    commands: mpsc::WeakSender<Command>,
    shards: BTreeMap<ShardId, OwnedShard>,
    workers: Workers,
    worker_queues: BTreeMap<WorkerId, mpsc::UnboundedSender<QueuedAction>>,
    worker_lists: BTreeMap<ShardId, Vec<WorkerInfo>>,
    policies: BTreeMap<ShardId, Arc<Policy>>,
    replies: BTreeMap<Ticket, oneshot::Sender<Answer>>,
    last_ticket: u64,
}

impl<S: Store> JobTask<S> {
    async fn run(mut self, mut inbox: mpsc::Receiver<Command>) {
        loop {
            let next = self.shards.values().filter_map(|owned| owned.shard.next_wake()).min();
            let wake = next.and_then(|time| self.deps.clock.instant(time));
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                () = sleep_until(wake) => self.tick_due_shards(),
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Call { shard, call, reply } => self.call(&shard, call, reply),
            Command::Explain { job, reply } => {
                let known = self.shards.values().find_map(|owned| owned.shard.explain(job));
                let _ = reply.send(known);
            }
            Command::Snapshot { reply } => {
                let shards = self.shards.iter();
                let state = shards.map(|(id, owned)| (id.clone(), owned.shard.snapshot()));
                let _ = reply.send(state.collect());
            }
            Command::Own { shard, epoch } => self.start_shard(shard, epoch),
            Command::Superseded { shard, epoch } => self.give_up(&shard, epoch),
            Command::Workers { list, addresses } => self.set_workers(list, addresses),
            Command::Policy { policies } => self.set_policies(policies),
            Command::Event { shard, epoch, event } => self.receive_event(&shard, epoch, event),
        }
    }

    fn call(&mut self, shard: &ShardId, call: Call, reply: oneshot::Sender<Answer>) {
        let Some(owned) = self.shards.get_mut(shard) else {
            let reason = format!("shard {shard} is not owned by this entry VM");
            let _ = reply.send(Answer::Refused { verdict: Verdict::NotRun, reason });
            return;
        };
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        owned.tickets.insert(ticket);
        self.replies.insert(ticket, reply);
        let event = match call {
            Call::Submit { job, durable } => {
                let at = self.deps.clock.stamp();
                Event::Submit { ticket, job: *job, at, durable }
            }
            Call::Cancel { job } => Event::Cancel { ticket, job },
            Call::Query { job } => Event::Query { ticket, job },
        };
        self.handle_event(shard, event);
    }

    fn start_shard(&mut self, id: ShardId, epoch: Epoch) {
        info!("jobs: owning shard {id} under epoch {epoch}");
        self.remove_shard(&id);
        let settings = self.deps.settings.clone();
        let seed = self.deps.seed ^ epoch.0;
        let shard = Shard::new(settings, id.clone(), self.deps.me, epoch, seed);
        self.shards.insert(id.clone(), OwnedShard { shard, epoch, tickets: BTreeSet::new() });
        if let Some(policy) = self.policies.get(&id).cloned() {
            self.handle_event(&id, Event::Policy { policy });
        }
        if let Some(list) = self.worker_lists.get(&id).cloned() {
            self.handle_event(&id, Event::Workers { list });
        }
        self.load_pages(id, epoch);
    }

    /// Reads the pages of a shard in the background, retrying until the store answers.
    fn load_pages(&self, shard: ShardId, epoch: Epoch) {
        let store = self.deps.store.clone();
        let clock = self.deps.clock;
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let pages = loop {
                match pages::list(&store, &shard).await {
                    Ok(pages) => break pages,
                    Err(error) => warn!("jobs: cannot read the pages of shard {shard}: {error}"),
                }
                if commands.strong_count() == 0 {
                    return;
                }
                tokio::time::sleep(LOAD_RETRY_DELAY).await;
            };
            let event = Event::Pages { pages, at: clock.stamp() };
            send_event(&commands, shard, epoch, event).await;
        });
    }

    /// Gives up a shard that has an owner under a later epoch.
    ///
    /// A shard whose ownership has only lapsed keeps running: its gangs need lease renewals while
    /// the store is down, and the actions of an outdated owner do no harm.
    fn give_up(&mut self, id: &ShardId, epoch: Epoch) {
        if self.shards.get(id).is_none_or(|owned| owned.epoch >= epoch) {
            return;
        }
        info!("jobs: giving up shard {id}: it has an owner under epoch {epoch}");
        self.handle_event(id, Event::Fenced);
        self.remove_shard(id);
    }

    fn remove_shard(&mut self, id: &ShardId) {
        if let Some(owned) = self.shards.remove(id) {
            // Dropping the reply channel tells the caller that the shard has another owner.
            for ticket in owned.tickets {
                self.replies.remove(&ticket);
            }
        }
    }

    fn set_workers(
        &mut self,
        lists: BTreeMap<ShardId, Vec<WorkerInfo>>,
        addresses: BTreeMap<WorkerId, String>,
    ) {
        self.worker_queues.retain(|worker, _| addresses.contains_key(worker));
        self.workers.set_addresses(addresses);
        let changed: Vec<ShardId> = lists
            .iter()
            .filter(|(id, list)| self.worker_lists.get(*id) != Some(*list))
            .map(shard_id)
            .collect();
        self.worker_lists = lists;
        for id in changed {
            if self.shards.contains_key(&id) {
                let list = self.worker_lists.get(&id).cloned().unwrap_or_default();
                self.handle_event(&id, Event::Workers { list });
            }
        }
    }

    fn set_policies(&mut self, policies: BTreeMap<ShardId, Arc<Policy>>) {
        self.policies = policies;
        let owned: Vec<ShardId> = self.shards.keys().cloned().collect();
        for id in owned {
            let policy = self.policies.get(&id).cloned().unwrap_or_default();
            self.handle_event(&id, Event::Policy { policy });
        }
    }

    fn receive_event(&mut self, id: &ShardId, epoch: Epoch, event: Event) {
        // Results of calls of an earlier ownership are ignored.
        if self.shards.get(id).is_some_and(|owned| owned.epoch == epoch) {
            self.handle_event(id, event);
        }
    }

    fn tick_due_shards(&mut self) {
        let now = self.deps.clock.now();
        let due = |owned: &OwnedShard| owned.shard.next_wake().is_some_and(|wake| wake <= now);
        let due: Vec<ShardId> =
            self.shards.iter().filter(|(_, owned)| due(owned)).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.handle_event(&id, Event::Tick);
        }
    }

    fn handle_event(&mut self, id: &ShardId, event: Event) {
        let Some(owned) = self.shards.get_mut(id) else { return };
        let mut actions = Vec::new();
        owned.shard.handle(self.deps.clock.now(), event, &mut actions);
        let epoch = owned.epoch;
        for action in actions {
            self.perform(id, epoch, action);
        }
    }

    fn perform(&mut self, shard: &ShardId, epoch: Epoch, action: Action) {
        match action {
            Action::Reply { ticket, reply } => {
                if let Some(owned) = self.shards.get_mut(shard) {
                    owned.tickets.remove(&ticket);
                }
                if let Some(reply_to) = self.replies.remove(&ticket) {
                    let _ = reply_to.send(reply.into());
                }
            }
            Action::Write { write, key, expect, value } => {
                let store = self.deps.store.clone();
                self.spawn_store_call(shard, epoch, async move {
                    let result = pages::write(&store, &key, expect, value).await;
                    vec![Event::Written { write, result }]
                });
            }
            Action::Read { key } => {
                let store = self.deps.store.clone();
                self.spawn_store_call(shard, epoch, async move {
                    let result = pages::read(&store, &key).await;
                    vec![Event::PageRead { key, result }]
                });
            }
            action => {
                let spec = self.started_job(shard, &action);
                self.enqueue_action(shard, epoch, action, spec);
            }
        }
    }

    /// Specification of the job that an action starts; `None` for other actions.
    fn started_job(&self, shard: &ShardId, action: &Action) -> Option<JobSpec> {
        let Action::Start { job, .. } = action else { return None };
        self.shards.get(shard).and_then(|owned| owned.shard.spec(*job)).cloned()
    }

    /// Appends an action to the queue of its worker, which sends one call after another.
    fn enqueue_action(
        &mut self,
        shard: &ShardId,
        epoch: Epoch,
        action: Action,
        spec: Option<JobSpec>,
    ) {
        let Some(worker) = action.worker().cloned() else { return };
        let worker_action = WorkerAction { shard: shard.clone(), epoch, action, spec };
        let commands = self.commands.clone();
        let queue =
            self.worker_queues.entry(worker).or_insert_with(|| start_worker_queue(commands));
        let queued = QueuedAction { worker_action, workers: self.workers.clone() };
        // The send fails only if the worker queue has stopped with the job task.
        let _ = queue.send(queued);
    }

    fn spawn_store_call(
        &self,
        shard: &ShardId,
        epoch: Epoch,
        work: impl Future<Output = Vec<Event>> + Send + 'static,
    ) {
        let commands = self.commands.clone();
        let shard = shard.clone();
        tokio::spawn(async move {
            for event in work.await {
                send_event(&commands, shard.clone(), epoch, event).await;
            }
        });
    }
}

/// Action of a shard for one worker.
struct WorkerAction {
    shard: ShardId,
    epoch: Epoch,
    action: Action,
    spec: Option<JobSpec>,
}

/// Worker action with the worker addresses that were known when it was enqueued.
struct QueuedAction {
    worker_action: WorkerAction,
    workers: Workers,
}

/// Starts the task that performs the actions for one worker in order.
fn start_worker_queue(commands: mpsc::WeakSender<Command>) -> mpsc::UnboundedSender<QueuedAction> {
    let (queue, mut queued) = mpsc::unbounded_channel::<QueuedAction>();
    tokio::spawn(async move {
        while let Some(QueuedAction { worker_action, workers }) = queued.recv().await {
            let WorkerAction { shard, epoch, action, spec } = worker_action;
            for event in workers.perform(action, spec).await {
                send_event(&commands, shard.clone(), epoch, event).await;
            }
        }
    });
    queue
}

fn shard_id<V>(entry: (&ShardId, V)) -> ShardId {
    entry.0.clone()
}

async fn send_event(
    commands: &mpsc::WeakSender<Command>,
    shard: ShardId,
    epoch: Epoch,
    event: Event,
) {
    if let Some(commands) = commands.upgrade() {
        let _ = commands.send(Command::Event { shard, epoch, event }).await;
    }
}
