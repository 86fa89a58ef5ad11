//! What one connection is doing, what it holds, and when it is overdue.

use std::task::Waker;
use std::time::Duration;

use strum::IntoStaticStr;
use tokio::time::Instant;

use crate::limits::Limits;

/// Time for which a client may leave an answer unread before its connection may be closed to make
/// room.
const UNREAD_GRACE: Duration = Duration::from_secs(1);

/// Listener of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Port {
    /// Callers' requests.
    Callers,
    /// Requests forwarded by peers.
    Peers,
    /// Health checks of the load balancer.
    Readiness,
    /// Scrapes of the metrics.
    Metrics,
}

/// Reason for which a connection is closed or a request refused; a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The port had as many connections as it may have.
    Connections,
    /// All requests together held as many bytes as they may hold.
    Bytes,
    /// The head of a request did not arrive in time.
    HeadTime,
    /// The body of a request did not arrive in time.
    BodyTime,
    /// The connection was idle for too long.
    IdleTime,
    /// The client did not read its answer.
    UnreadAnswer,
    /// The chunk framing or the trailers of a body were too long.
    Framing,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A complete request waits for its share of the bytes; it has not been passed on.
    Waiting,
    /// A request has been passed on and may have run.
    Serving,
    /// An answer is being written.
    Answering,
}

/// A registered connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub port: Port,
    pub phase: Phase,
    /// Start of the phase.
    pub since: Instant,
    /// Time of the last byte read or written.
    pub touched: Instant,
    /// Bytes that it holds; zero once it is to end.
    pub held: usize,
    /// Bytes that it held when it was to end, until its task has released them.
    pub closing: usize,
    /// Bytes of these that serving the current request takes.
    pub work: usize,
    /// Bytes of the current body that were read from the socket.
    pub wire: usize,
    /// Reason for which it is to end.
    pub ending: Option<Reason>,
    /// Whether it ends with an answer of the handler.
    pub answers: bool,
    /// Wakes the task of the connection.
    pub waker: Option<Waker>,
}

impl Connection {
    pub fn new(port: Port, held: usize, now: Instant) -> Connection {
        Connection {
            port,
            phase: Phase::Idle,
            since: now,
            touched: now,
            held,
            closing: 0,
            work: 0,
            wire: 0,
            ending: None,
            answers: false,
            waker: None,
        }
    }

    pub fn enter(&mut self, phase: Phase, now: Instant) {
        (self.phase, self.since, self.touched) = (phase, now, now);
        self.wire = 0;
    }

    /// Whether it may be closed to make room for others.
    pub fn is_evictable(&self, now: Instant) -> bool {
        let allowed = match self.phase {
            Phase::Idle | Phase::Head | Phase::Body => true,
            Phase::Waiting | Phase::Serving => false,
            Phase::Answering => now.duration_since(self.touched) > UNREAD_GRACE,
        };
        allowed && self.ending.is_none()
    }

    /// Time at which it is overdue, and the reason.
    pub fn deadline(&self, limits: &Limits) -> Option<(Instant, Reason)> {
        match self.phase {
            Phase::Idle => Some((self.since + limits.idle_time, Reason::IdleTime)),
            Phase::Head => Some((self.since + limits.head_time, Reason::HeadTime)),
            Phase::Body => {
                let whole = self.since + limits.whole_body_time();
                Some((whole.min(self.touched + limits.idle_time), Reason::BodyTime))
            }
            Phase::Waiting | Phase::Serving => None,
            Phase::Answering => Some((self.touched + limits.idle_time, Reason::UnreadAnswer)),
        }
    }
}
