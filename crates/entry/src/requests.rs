//! The request task: owns the router, feeds it events and performs its actions.
//!
//! Web handlers, the peer channel, the VM list and the attempts send it commands through a bounded
//! queue. If the queue is full, a web handler answers by itself that the request did not run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use log::warn;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::attempt;
use crate::clock::Clock;
use model::AccountId;
use model::BackendId;
use model::Incarnation;
use model::RequestId;
use model::ServiceId;
use model::Verdict;
use net::peer::Peers;
use net::pool::Pool;
use route::Action;
use route::Answer;
use route::AttemptResult;
use route::Call;
use route::Event;
use route::HealthSignal;
use route::Message;
use route::Router;
use route::Snapshot;
use route::Step;
use route::Ticket;
use wire::Subsystem;

/// Capacity of the command queue.
const COMMAND_QUEUE_LEN: usize = 16_384;
/// Connect timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Commands handled before the timers are checked again.
const MAX_COMMAND_BATCH: usize = 256;

/// The router did not answer a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RouterUnavailable {
    /// The command queue is full, so the command was not accepted.
    #[error("the entry VM is overloaded; try again later")]
    QueueFull,
    /// The router stopped after it had accepted the command.
    #[error("the entry VM stopped before it answered")]
    Stopped,
}

impl RouterUnavailable {
    /// Verdict on the command: unknown if it may have been carried out.
    pub fn verdict(self) -> Verdict {
        match self {
            RouterUnavailable::QueueFull => Verdict::NotRun,
            RouterUnavailable::Stopped => Verdict::Unknown,
        }
    }
}

/// Request without an id.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Service that runs it.
    pub service: ServiceId,
    /// Client account that it is counted against.
    pub account: AccountId,
    /// Time until the caller gives up.
    pub deadline: Duration,
    /// Body, passed to the backend server unchanged.
    pub body: Bytes,
}

impl NewRequest {
    /// Adds the id to the request.
    pub fn with_id(self, id: RequestId) -> Call {
        let NewRequest { service, account, deadline, body } = self;
        Call { id, service, account, deadline, body }
    }
}

/// Command to the request task.
#[derive(Debug)]
pub enum Command {
    /// Run a request.
    Call {
        /// Identifies the caller.
        ticket: Ticket,
        /// The request.
        call: Call,
        /// Receives the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// Run a request under a new id.
    CallNew {
        /// Identifies the caller.
        ticket: Ticket,
        /// The request.
        request: NewRequest,
        /// Receives the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// Look up the verdict on a request.
    Query {
        /// Identifies the caller.
        ticket: Ticket,
        /// The request.
        id: RequestId,
        /// Receives the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// Issue request ids.
    Ids {
        /// Number of ids.
        count: u32,
        /// Receives the ids.
        reply: oneshot::Sender<Vec<RequestId>>,
    },
    /// Look up the state history of a request.
    Explain {
        /// The request.
        id: RequestId,
        /// Receives the state history; `None` if the request is not known here.
        reply: oneshot::Sender<Option<Vec<Step>>>,
    },
    /// Return the state of the router.
    Snapshot {
        /// Receives the state.
        reply: oneshot::Sender<Snapshot>,
    },
    /// Finish the requests in progress and hand the queued ones over to other entry VMs.
    Drain {
        /// Notified when no request is left.
        reply: oneshot::Sender<()>,
    },
    /// Pass an event to the router.
    Event(Event),
    /// Replace the list of backend servers.
    Backends {
        /// Backend servers.
        list: Vec<route::Backend>,
        /// Address of each backend server.
        addresses: BTreeMap<BackendId, SocketAddr>,
    },
}

/// Handle for sending commands to the request task.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    next_ticket: Arc<AtomicU64>,
}

/// Reports a hangup to the router when a caller disconnects before it gets its answer.
struct HangupGuard {
    commands: mpsc::Sender<Command>,
    ticket: Ticket,
    armed: bool,
}

impl Drop for HangupGuard {
    fn drop(&mut self) {
        if self.armed {
            let event = Event::Hangup { ticket: self.ticket };
            // If the queue is full, the router merely computes an answer that nobody receives.
            let _ = self.commands.try_send(Command::Event(event));
        }
    }
}

impl Handle {
    /// Runs a request, or waits for its answer if it is already running under this id.
    ///
    /// # Errors
    ///
    /// [`RouterUnavailable`] says whether the request may have run.
    pub async fn call(&self, call: Call) -> Result<Answer, RouterUnavailable> {
        let ticket = self.next_ticket();
        let (reply, answer) = oneshot::channel();
        self.try_send(Command::Call { ticket, call, reply })?;
        self.await_answer(ticket, answer).await
    }

    /// Runs a request under a new id.
    ///
    /// # Errors
    ///
    /// [`RouterUnavailable`] says whether the request may have run.
    pub async fn call_new(&self, request: NewRequest) -> Result<Answer, RouterUnavailable> {
        let ticket = self.next_ticket();
        let (reply, answer) = oneshot::channel();
        self.try_send(Command::CallNew { ticket, request, reply })?;
        self.await_answer(ticket, answer).await
    }

    /// Looks up the verdict on a request.
    ///
    /// # Errors
    ///
    /// [`RouterUnavailable`] if the router did not answer.
    pub async fn query(&self, id: RequestId) -> Result<Answer, RouterUnavailable> {
        let ticket = self.next_ticket();
        let (reply, answer) = oneshot::channel();
        self.try_send(Command::Query { ticket, id, reply })?;
        self.await_answer(ticket, answer).await
    }

    /// Issues new request ids.
    ///
    /// # Errors
    ///
    /// [`RouterUnavailable`] if the router did not answer.
    pub async fn ids(&self, count: u32) -> Result<Vec<RequestId>, RouterUnavailable> {
        self.ask(|reply| Command::Ids { count, reply }).await
    }

    /// Looks up the state history of a request; `None` if it is not known here.
    ///
    /// # Errors
    ///
    /// [`RouterUnavailable`] if the router did not answer.
    pub async fn explain(&self, id: RequestId) -> Result<Option<Vec<Step>>, RouterUnavailable> {
        self.ask(|reply| Command::Explain { id, reply }).await
    }

    /// Returns the state of the router.
    ///
    /// # Errors
    ///
    /// [`RouterUnavailable`] if the router did not answer.
    pub async fn snapshot(&self) -> Result<Snapshot, RouterUnavailable> {
        self.ask(|reply| Command::Snapshot { reply }).await
    }

    /// Finishes the requests in progress, hands the queued ones over and returns when none is left.
    ///
    /// # Errors
    ///
    /// [`RouterUnavailable`] if the router has stopped.
    pub async fn drain(&self) -> Result<(), RouterUnavailable> {
        let (reply, done) = oneshot::channel();
        self.commands
            .send(Command::Drain { reply })
            .await
            .map_err(|_| RouterUnavailable::Stopped)?;
        done.await.map_err(|_| RouterUnavailable::Stopped)
    }

    /// Sends an event to the router; waits while the queue is full.
    pub async fn event(&self, event: Event) {
        self.send(Command::Event(event)).await;
    }

    /// Sends a command; waits while the queue is full.
    pub async fn send(&self, command: Command) {
        if self.commands.send(command).await.is_err() {
            warn!("requests: the router has stopped; command dropped");
        }
    }

    fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    fn try_send(&self, command: Command) -> Result<(), RouterUnavailable> {
        self.commands.try_send(command).map_err(|_| RouterUnavailable::QueueFull)
    }

    async fn await_answer(
        &self,
        ticket: Ticket,
        answer: oneshot::Receiver<Answer>,
    ) -> Result<Answer, RouterUnavailable> {
        let mut guard = HangupGuard { commands: self.commands.clone(), ticket, armed: true };
        let answer = answer.await;
        guard.armed = false;
        answer.map_err(|_| RouterUnavailable::Stopped)
    }

    async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, RouterUnavailable> {
        let (reply, answer) = oneshot::channel();
        self.try_send(command(reply))?;
        answer.await.map_err(|_| RouterUnavailable::Stopped)
    }
}

/// Dependencies of the request task.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// Time source.
    pub clock: Clock,
    /// Connection pool of the backend servers.
    pub pool: Pool,
    /// Links to the other entry VMs.
    pub peers: Peers,
}

/// Starts the request task, which owns `router`.
pub fn start(router: Router, deps: Dependencies) -> Handle {
    let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_LEN);
    let handle = Handle { commands: commands.clone(), next_ticket: Arc::new(AtomicU64::new(1)) };
    let task = RequestTask {
        router,
        deps,
        commands: commands.downgrade(),
        replies: BTreeMap::new(),
        attempts: BTreeMap::new(),
        addresses: BTreeMap::new(),
        drain_replies: Vec::new(),
        actions: Vec::new(),
    };
    tokio::spawn(task.run(inbox));
    handle
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    id: RequestId,
    attempt: u32,
}

struct RequestTask {
    router: Router,
    deps: Dependencies,
    commands: mpsc::WeakSender<Command>,
    replies: BTreeMap<Ticket, oneshot::Sender<Answer>>,
    attempts: BTreeMap<AttemptKey, AbortHandle>,
    addresses: BTreeMap<BackendId, SocketAddr>,
    drain_replies: Vec<oneshot::Sender<()>>,
    actions: Vec<Action>,
}

impl RequestTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<Command>) {
        let mut batch = Vec::with_capacity(MAX_COMMAND_BATCH);
        loop {
            let wake = self.router.next_wake().and_then(|time| self.deps.clock.instant(time));
            tokio::select! {
                count = inbox.recv_many(&mut batch, MAX_COMMAND_BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                () = sleep_until(wake) => self.handle_event(Event::Tick),
            }
            for command in batch.drain(..) {
                self.handle_command(command);
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Call { ticket, call, reply } => {
                self.replies.insert(ticket, reply);
                self.handle_event(Event::Call { ticket, call });
            }
            Command::CallNew { ticket, request, reply } => {
                self.replies.insert(ticket, reply);
                let call = request.with_id(self.router.issue_id());
                self.handle_event(Event::Call { ticket, call });
            }
            Command::Query { ticket, id, reply } => {
                self.replies.insert(ticket, reply);
                self.handle_event(Event::Query { ticket, id });
            }
            Command::Ids { count, reply } => {
                let ids = (0..count).map(|_| self.router.issue_id()).collect();
                let _ = reply.send(ids);
            }
            Command::Explain { id, reply } => {
                let _ = reply.send(self.router.explain(id));
            }
            Command::Snapshot { reply } => {
                let _ = reply.send(self.router.snapshot());
            }
            Command::Drain { reply } => {
                self.drain_replies.push(reply);
                self.handle_event(Event::Drain);
            }
            Command::Event(event) => self.receive_event(event),
            Command::Backends { list, addresses } => {
                self.addresses = addresses;
                self.handle_event(Event::Backends { list });
            }
        }
    }

    fn receive_event(&mut self, event: Event) {
        match &event {
            Event::Attempt { id, attempt, .. } => {
                let key = AttemptKey { id: *id, attempt: *attempt };
                // An aborted attempt may still report a result, which the router no longer expects.
                if self.attempts.remove(&key).is_none() {
                    return;
                }
            }
            Event::Hangup { ticket } => {
                self.replies.remove(ticket);
            }
            _ => {}
        }
        self.handle_event(event);
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(self.deps.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Answer { ticket, answer } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.send(answer);
                }
            }
            Action::Dispatch { id, attempt, backend, service, body, timeout, reuse } => {
                let order = AttemptOrder { id, attempt, backend, service, body, timeout, reuse };
                self.dispatch(order);
            }
            Action::Abort { id, attempt } => {
                if let Some(task) = self.attempts.remove(&AttemptKey { id, attempt }) {
                    task.abort();
                }
            }
            Action::DropIdle { backend } => self.deps.pool.drop_idle(&backend),
            Action::Probe { backend } => self.probe(backend),
            Action::Limit { backend, connections } => {
                let connections = usize::try_from(connections).unwrap_or(usize::MAX);
                self.deps.pool.set_limit(&backend, connections);
            }
            Action::Send { to, message } => self.send(to, &message),
            Action::Drained => {
                for reply in self.drain_replies.drain(..) {
                    let _ = reply.send(());
                }
            }
        }
    }

    fn dispatch(&mut self, order: AttemptOrder) {
        let key = AttemptKey { id: order.id, attempt: order.attempt };
        let address = self.addresses.get(&order.backend).copied();
        let pool = self.deps.pool.clone();
        let commands = self.commands.clone();
        let task = tokio::spawn(async move {
            let result = attempt::run(&pool, address, &order).await;
            report_attempt(&commands, order.id, order.attempt, result).await;
        });
        self.attempts.insert(key, task.abort_handle());
    }

    fn probe(&self, backend: BackendId) {
        let Some(address) = self.addresses.get(&backend).copied() else { return };
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
            let sign = if matches!(connecting, Ok(Ok(_))) {
                HealthSignal::Connected
            } else {
                HealthSignal::Refused
            };
            if let Some(commands) = commands.upgrade() {
                let event = Event::BackendSignal { backend, sign };
                let _ = commands.send(Command::Event(event)).await;
            }
        });
    }

    fn send(&self, to: Incarnation, message: &Message) {
        let Ok(body) = wire::encode(message) else {
            warn!("requests: cannot encode a message to {to}");
            return;
        };
        // The router repeats important messages, so a message without a link can be dropped.
        let _ = self.deps.peers.send(to, Subsystem::Route, body);
    }
}

/// Attempt that the router ordered.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt of this request.
    pub attempt: u32,
    /// Backend server to send it to.
    pub backend: BackendId,
    /// Service that runs it.
    pub service: ServiceId,
    /// Body of the request.
    pub body: Bytes,
    /// Timeout of the attempt.
    pub timeout: Duration,
    /// Which idle connections may be reused.
    pub reuse: route::Reuse,
}

async fn report_attempt(
    commands: &mpsc::WeakSender<Command>,
    id: RequestId,
    attempt: u32,
    result: AttemptResult,
) {
    if let Some(commands) = commands.upgrade() {
        let event = Event::Attempt { id, attempt, result };
        let _ = commands.send(Command::Event(event)).await;
    }
}

pub(crate) async fn sleep_until(wake: Option<std::time::Instant>) {
    match wake {
        Some(wake) => tokio::time::sleep_until(wake.into()).await,
        None => std::future::pending().await,
    }
}
