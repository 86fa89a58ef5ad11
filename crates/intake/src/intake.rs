//! The register of all connections, and the decisions which of them end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Waker;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::connection::Connection;
use crate::connection::Phase;
use crate::connection::Port;
use crate::connection::Reason;
use crate::limits::Limits;
use crate::limits::work_bytes;

/// Shortest pause between two sweeps; a deadline is met with this precision.
const MIN_SWEEP_PAUSE: Duration = Duration::from_millis(50);
/// Delay of a sweep from which the process counts as suspended meanwhile; a busy one is late by less.
const MIN_FORGIVEN_PAUSE: Duration = Duration::from_secs(2);
/// Number of times that a request waits for the tasks of connections that are to end.
const MAX_YIELDS: u32 = 16;

/// What clients hold at present, and the connections that were ended since the last call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Bytes held.
    pub held_bytes: usize,
    /// Open connections of all ports.
    pub connections: usize,
    /// Number of ended connections and refused requests by reason.
    pub ended: BTreeMap<Reason, u64>,
}

#[derive(Debug)]
struct Register {
    limits: Limits,
    next_id: u64,
    connections: BTreeMap<u64, Connection>,
    held: usize,
    /// Bytes of connections that are to end, until their tasks have released them.
    closing: usize,
    ended: BTreeMap<Reason, u64>,
    /// Time at which the next sweep is due.
    next_sweep: Option<Instant>,
}

#[derive(Debug)]
struct Shared {
    register: Mutex<Register>,
    /// Wakes one request that waits for bytes.
    released: Notify,
    /// Wakes the task that sweeps.
    replaced: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Register> {
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Register of all connections of a process; clones share it.
#[derive(Clone, Debug)]
pub struct Intake(Arc<Shared>);

impl Intake {
    /// Creates an empty register.
    pub fn new(limits: Limits) -> Intake {
        let register = Register {
            limits,
            next_id: 0,
            connections: BTreeMap::new(),
            held: 0,
            closing: 0,
            ended: BTreeMap::new(),
            next_sweep: None,
        };
        let register = Mutex::new(register);
        Intake(Arc::new(Shared { register, released: Notify::new(), replaced: Notify::new() }))
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.0.lock().limits.clone()
    }

    /// Replaces the limits; open connections are judged by them from now on.
    pub fn set_limits(&self, limits: Limits) {
        self.0.lock().limits = limits;
        self.0.replaced.notify_one();
    }

    /// Registers a new connection, and ends the oldest one that may be closed if there are too many.
    /// `None` if none may be closed.
    pub fn open(&self, port: Port) -> Option<Lease> {
        let now = Instant::now();
        let mut register = self.0.lock();
        let count = |register: &Register| {
            let open = register.connections.values();
            open.filter(|open| open.port == port && open.ending.is_none()).count()
        };
        if count(&register) >= register.limits.most(port) {
            let oldest = register.oldest(now, |open| open.port == port);
            let Some(oldest) = oldest else {
                register.note(Reason::Connections);
                return None;
            };
            register.end(oldest, Reason::Connections);
        }
        let held = register.limits.connection_bytes;
        register.held += held;
        // The new connection is not registered yet, so it does not give way itself.
        let is_room = register.make_room(now);
        // Health checks and scrapes are answered at any load; their connections are few.
        if !is_room && !matches!(port, Port::Readiness | Port::Metrics) {
            register.held -= held;
            register.note(Reason::Bytes);
            return None;
        }
        let id = register.next_id;
        register.next_id += 1;
        register.connections.insert(id, Connection::new(port, held, now));
        drop(register);
        Some(Lease { shared: Arc::clone(&self.0), id })
    }

    /// Ends all overdue connections, and returns the time until the next call.
    pub fn sweep(&self) -> Duration {
        let now = Instant::now();
        let mut register = self.0.lock();
        register.forgive_pause(now);
        let mut next = now + register.limits.shortest_time();
        let mut overdue = Vec::new();
        for (id, connection) in &register.connections {
            match connection.deadline(&register.limits) {
                Some((deadline, reason)) if deadline <= now => overdue.push((*id, reason)),
                Some((deadline, _)) => next = next.min(deadline),
                None => {}
            }
        }
        for (id, reason) in overdue {
            register.end(id, reason);
        }
        let pause = (next - now).max(MIN_SWEEP_PAUSE);
        register.next_sweep = Some(now + pause);
        pause
    }

    /// Waits until the limits have been replaced since the last call: a sweep that is due by the
    /// former limits may be due earlier.
    pub async fn limits_changed(&self) {
        self.0.replaced.notified().await;
    }

    /// Returns what is held, and resets the counts of ended connections.
    pub fn take_usage(&self) -> Usage {
        let mut register = self.0.lock();
        Usage {
            held_bytes: register.held,
            connections: register.connections.len(),
            ended: std::mem::take(&mut register.ended),
        }
    }
}

impl Register {
    fn is_settled(&self) -> bool {
        self.held + self.closing <= self.limits.held_bytes
    }

    fn note(&mut self, reason: Reason) {
        *self.ended.entry(reason).or_default() += 1;
    }

    /// Moves all deadlines if the process did not run when the last sweep was due: the clients may
    /// have sent meanwhile what has not been read yet.
    fn forgive_pause(&mut self, now: Instant) {
        let due = self.next_sweep.unwrap_or(now);
        let late = now.saturating_duration_since(due);
        if late < MIN_FORGIVEN_PAUSE {
            return;
        }
        for connection in self.connections.values_mut() {
            connection.since = (connection.since + late).min(now);
            connection.touched = (connection.touched + late).min(now);
        }
    }

    /// The connection that has been in its phase for longest, among those that may be closed.
    fn oldest(&self, now: Instant, fits: impl Fn(&Connection) -> bool) -> Option<u64> {
        let connections = self.connections.iter();
        let evictable = connections.filter(|(_, open)| open.is_evictable(now) && fits(open));
        evictable.min_by_key(|(_, open)| open.since).map(|(id, _)| *id)
    }

    /// Ends a connection: its task is woken, and its bytes count as free from now on.
    fn end(&mut self, id: u64, reason: Reason) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_repeated = connection.ending.is_some();
        // A handler that was told to answer and could not is not waited for a second time.
        connection.answers = connection.phase == Phase::Body && !is_repeated;
        if is_repeated && connection.phase != Phase::Answering {
            return;
        }
        connection.ending = Some(reason);
        let held = std::mem::take(&mut connection.held);
        connection.closing += held;
        (self.held, self.closing) = (self.held - held, self.closing + held);
        if let Some(waker) = connection.waker.take() {
            waker.wake();
        }
        self.note(reason);
    }

    /// Ends callers' connections until the bytes are within the limit; if that is impossible, ends
    /// none and returns false.
    fn make_room(&mut self, now: Instant) -> bool {
        if self.held <= self.limits.held_bytes {
            return true;
        }
        let callers = self.connections.values().filter(|open| open.port == Port::Callers);
        let evictable = callers.filter(|open| open.is_evictable(now));
        let freed: usize = evictable.map(|open| open.held).sum();
        if self.held - freed > self.limits.held_bytes {
            return false;
        }
        while self.held > self.limits.held_bytes {
            let Some(oldest) = self.oldest(now, |open| open.port == Port::Callers) else {
                return false;
            };
            self.end(oldest, Reason::Bytes);
        }
        true
    }

    /// Adds to what a connection holds. If there is no room, nothing is added.
    fn grow(&mut self, id: u64, bytes: usize, now: Instant) -> Result<(), Reason> {
        let Some(connection) = self.connections.get_mut(&id) else { return Err(Reason::Bytes) };
        if let Some(reason) = connection.ending {
            return Err(reason);
        }
        connection.held += bytes;
        self.held += bytes;
        let is_room = self.make_room(now);
        // It may have been the oldest one itself.
        let Some(connection) = self.connections.get_mut(&id) else { return Err(Reason::Bytes) };
        match connection.ending {
            Some(reason) => Err(reason),
            None if is_room => Ok(()),
            None => {
                connection.held -= bytes;
                self.held -= bytes;
                Err(Reason::Bytes)
            }
        }
    }
}

/// Registration of one connection, which ends when it is dropped.
#[derive(Debug)]
pub struct Lease {
    shared: Arc<Shared>,
    id: u64,
}

impl Lease {
    fn update<T>(&self, change: impl FnOnce(&mut Connection) -> T) -> Option<T> {
        self.shared.lock().connections.get_mut(&self.id).map(change)
    }

    /// Reason for which the connection is to be closed without a further answer.
    pub(crate) fn closing(&self) -> Option<Reason> {
        self.update(|open| open.ending.filter(|_| !open.answers)).flatten()
    }

    /// Whether no byte of a request has been read since the last answer.
    pub(crate) fn is_unread(&self) -> bool {
        self.update(|open| open.phase == Phase::Idle).unwrap_or(false)
    }

    /// Registers the task to wake when the connection is to end.
    pub fn park(&self, waker: &Waker) {
        self.update(|open| match &mut open.waker {
            Some(known) => known.clone_from(waker),
            None => open.waker = Some(waker.clone()),
        });
    }

    /// Records bytes read from the socket. An error closes the connection.
    pub(crate) fn received(&self, bytes: usize) -> Result<(), Reason> {
        let now = Instant::now();
        let mut register = self.shared.lock();
        let wire_limit = register.limits.wire_bytes();
        let Some(connection) = register.connections.get_mut(&self.id) else { return Ok(()) };
        connection.touched = now;
        match connection.phase {
            Phase::Idle => connection.enter(Phase::Head, now),
            Phase::Head => {}
            Phase::Body => {
                connection.wire += bytes;
                if connection.wire > wire_limit && connection.ending.is_none() {
                    register.end(self.id, Reason::Framing);
                }
                return Ok(());
            }
            Phase::Waiting | Phase::Serving | Phase::Answering => return Ok(()),
        }
        register.grow(self.id, bytes, now)
    }

    /// Records progress of an answer.
    pub(crate) fn wrote(&self) {
        self.update(|open| open.touched = Instant::now());
    }

    /// Records that everything has been written.
    pub(crate) fn flushed(&self) {
        let mut register = self.shared.lock();
        let base = register.limits.connection_bytes;
        let Some(connection) = register.connections.get_mut(&self.id) else { return };
        if connection.phase != Phase::Answering {
            return;
        }
        connection.enter(Phase::Idle, Instant::now());
        let kept = if connection.ending.is_some() { 0 } else { base };
        let freed = connection.held - kept.min(connection.held);
        connection.held -= freed;
        // A refusal that has been written leaves nothing to wait for.
        connection.answers = false;
        register.held -= freed;
        drop(register);
        self.shared.released.notify_one();
    }

    /// Records that the head of a request has been read.
    pub fn begin_body(&self) {
        self.update(|open| open.enter(Phase::Body, Instant::now()));
    }

    /// Reason for which the request that is being read must be refused.
    pub fn refusal(&self) -> Option<Reason> {
        self.update(|open| open.ending).flatten()
    }

    /// Adds `bytes` to what the request holds.
    ///
    /// # Errors
    ///
    /// There is no room; the request must be refused.
    pub fn grow(&self, bytes: usize) -> Result<(), Reason> {
        let mut register = self.shared.lock();
        let result = register.grow(self.id, bytes, Instant::now());
        if result.is_err() && register.connections.get(&self.id).is_some_and(|c| c.ending.is_none())
        {
            register.note(Reason::Bytes);
        }
        result
    }

    /// Waits until there is room for serving the request that has been read completely, whose body
    /// has `body_bytes`. From then on it is not interrupted.
    ///
    /// # Errors
    ///
    /// There was no room until `until`; the request must be refused.
    pub async fn begin_work(&self, body_bytes: usize, until: Instant) -> Result<(), Reason> {
        let bytes = work_bytes(body_bytes);
        loop {
            match self.try_work(bytes) {
                Some(result) => {
                    self.settled().await;
                    return result;
                }
                None if Instant::now() >= until => {
                    self.shared.lock().note(Reason::Bytes);
                    return Err(Reason::Bytes);
                }
                // Whether there is room is checked next.
                None => drop(timeout_at(until, self.shared.released.notified()).await),
            }
        }
    }

    /// Records that the request has been read and is passed on; it is not interrupted from then on.
    ///
    /// # Errors
    ///
    /// The request was to end; it must be refused.
    pub fn pass_on(&self) -> Result<(), Reason> {
        let pass = |open: &mut Connection| match open.ending {
            Some(reason) => Err(reason),
            None => {
                open.enter(Phase::Serving, Instant::now());
                Ok(())
            }
        };
        self.update(pass).unwrap_or(Ok(()))
    }

    /// Begins to serve a request; `None` if there is no room yet.
    fn try_work(&self, bytes: usize) -> Option<Result<(), Reason>> {
        let now = Instant::now();
        let mut register = self.shared.lock();
        let connection = register.connections.get_mut(&self.id)?;
        if let Some(reason) = connection.ending {
            return Some(Err(reason));
        }
        if connection.phase == Phase::Body {
            connection.enter(Phase::Waiting, now);
        }
        if register.grow(self.id, bytes, now).is_err() {
            return None;
        }
        let connection = register.connections.get_mut(&self.id)?;
        connection.enter(Phase::Serving, now);
        connection.work = bytes;
        drop(register);
        self.shared.released.notify_one();
        Some(Ok(()))
    }

    /// Raises what serving the request takes to `bytes`. There is always room for a single request.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub fn reserve(&self, bytes: usize) -> Result<(), Reason> {
        let mut register = self.shared.lock();
        let Some(connection) = register.connections.get_mut(&self.id) else { return Ok(()) };
        let more = bytes.saturating_sub(connection.work);
        connection.work += more;
        let result = register.grow(self.id, more, Instant::now());
        if result.is_ok() {
            return result;
        }
        let serving = register.connections.values().filter(|open| open.phase == Phase::Serving);
        if serving.count() > 1 {
            register.note(Reason::Bytes);
            return result;
        }
        register.held += more;
        if let Some(connection) = register.connections.get_mut(&self.id) {
            connection.held += more;
        }
        Ok(())
    }

    /// Waits until the connections that were ended to make room have released their bytes.
    pub(crate) async fn settled(&self) {
        for _ in 0..MAX_YIELDS {
            if self.shared.lock().is_settled() {
                return;
            }
            // Their tasks have been woken, and run before this one runs again.
            yield_now().await;
        }
    }

    /// Records that the request has been answered, and that its body has been released.
    pub fn begin_answer(&self) {
        let mut register = self.shared.lock();
        let Some(connection) = register.connections.get_mut(&self.id) else { return };
        connection.enter(Phase::Answering, Instant::now());
        let released = std::mem::take(&mut connection.closing);
        register.closing -= released;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut register = self.shared.lock();
        if let Some(connection) = register.connections.remove(&self.id) {
            register.held -= connection.held;
            register.closing -= connection.closing;
        }
        drop(register);
        self.shared.released.notify_one();
    }
}
