//! Actions that the router returns to the shell, and answers to callers.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::EnumString;
use strum::VariantArray;

use crate::Message;
use crate::Ticket;
use model::BackendId;
use model::Incarnation;
use model::RequestId;
use model::ServiceId;
use model::Verdict;

/// Reason for an answer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The backend server sent a complete answer.
    Answered,
    /// The request is settled; its answer was evicted and only the verdict is known.
    AnswerDropped,
    /// The request waits for a slot.
    Queued,
    /// The request runs, or waits for a retry.
    Running,
    /// The id was issued, and no request has used it so far.
    Unused,
    /// The home never issued this id.
    NotIssued,
    /// The id is older than the oldest in the home's ledger.
    TooOld,
    /// A different request was sent under the same id.
    Conflict,
    /// The configuration has no such service.
    NoService,
    /// The configuration has no such client account.
    NoAccount,
    /// The client account exceeds its request rate.
    RateLimit,
    /// The client account has too many requests queued.
    QueueLimit,
    /// The request was shed: its deadline cannot be met under the current load, or queues are full.
    Shed,
    /// The deadline passed before the request was dispatched.
    Expired,
    /// All callers disconnected before the request ran or, if idempotent, while it ran.
    Cancelled,
    /// A service that the requested service depends on has no usable backend server.
    DependencyDown,
    /// The pool has no backend servers.
    NoBackend,
    /// Every attempt ended before the request was sent, or with a status 503 that guarantees that
    /// it did not run.
    ConnectFailed,
    /// The connection broke after bytes were written.
    ConnectionLost,
    /// No complete answer came within the attempt's timeout.
    Timeout,
    /// The backend server answered with status 503.
    Unavailable,
    /// The caller's deadline passed while the request ran.
    DeadlinePassed,
    /// The home's process has ended.
    HomeGone,
    /// The home cannot be reached.
    HomeUnreachable,
    /// The entry VM is stopping and no peer could take the request.
    Draining,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The request that this answers.
    pub id: RequestId,
    /// Whether the request ran, did not run, or may have run.
    pub verdict: Verdict,
    /// Whether the verdict is final. Even then, a repeat of an idempotent request whose home has
    /// ended may still run.
    pub last: bool,
    /// Reason for the verdict.
    pub reason: Reason,
    /// Delay after which the caller may retry: with the same id while `last` is false, otherwise
    /// with a fresh id. `None` if the router advises none.
    pub retry: Option<Duration>,
    /// HTTP status for the caller.
    pub status: u16,
    /// Body of the backend server's answer; empty unless the reason is [`Reason::Answered`].
    pub body: Bytes,
    /// Backend server that answered or failed last; `None` if no attempt was made.
    pub backend: Option<BackendId>,
    /// Service that is down, if the reason is [`Reason::DependencyDown`].
    pub dependency: Option<ServiceId>,
}

/// Which pooled connections an attempt may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reuse {
    /// Any open connection.
    Any,
    /// Only a new connection, or one that carried an answer within the last few seconds.
    Proven,
}

/// Something that the shell must do for the router.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller.
    Answer {
        /// The waiting caller.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to a backend server and report exactly one [`Event::Attempt`](crate::Event).
    Dispatch {
        /// The request.
        id: RequestId,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Backend server to send it to.
        backend: BackendId,
        /// Service that is to run it.
        service: ServiceId,
        /// The request's body.
        body: Bytes,
        /// Timeout of the attempt, connecting included.
        timeout: Duration,
        /// Which pooled connections may be reused.
        reuse: Reuse,
    },
    /// Abort an attempt by closing its connection; no event is expected for it afterwards.
    Abort {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Close idle connections to a backend server that are at least as old as one that failed.
    DropIdle {
        /// The backend server.
        backend: BackendId,
    },
    /// Open a new connection as a health probe and report [`Event::BackendSignal`](crate::Event).
    Probe {
        /// The backend server.
        backend: BackendId,
    },
    /// Limit the connections to a backend server, idle ones included.
    Limit {
        /// The backend server.
        backend: BackendId,
        /// Maximum number of connections from this entry VM.
        connections: u32,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: Incarnation,
        /// The message.
        message: Message,
    },
    /// The drain is complete: nothing is in progress and the heir, if there is one, answers for the
    /// ids. The process may exit.
    Drained,
}
