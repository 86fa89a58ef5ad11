//! What the router asks of the shell.

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

/// Why an answer is what it is.
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
    /// The backend server's whole answer came.
    Answered,
    /// Its answer is no longer kept, only the verdict.
    AnswerDropped,
    /// It waits for a slot.
    Queued,
    /// It runs, or waits for a retry.
    Running,
    /// The id was given out and not used so far.
    Unused,
    /// The home did not give this id out.
    NotIssued,
    /// The id is older than the home's record.
    TooOld,
    /// Another request was sent under the same id.
    Conflict,
    /// The configuration has no such service.
    NoService,
    /// The configuration has no such client account.
    NoAccount,
    /// The client account is above its rate.
    RateLimit,
    /// The client account has too many requests waiting.
    QueueLimit,
    /// The deadline cannot be met under the present load.
    Shed,
    /// The deadline passed before it was dispatched.
    Expired,
    /// The caller went away before it was dispatched.
    Cancelled,
    /// A service that it depends on is down.
    DependencyDown,
    /// No backend server of the pool can take work.
    NoBackend,
    /// No connection to a backend server could be made.
    ConnectFailed,
    /// The connection broke after bytes were written.
    ConnectionLost,
    /// No whole answer came in time.
    Timeout,
    /// The backend server answered with status 503.
    Unavailable,
    /// The caller's deadline passed while it ran.
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
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Whether the verdict will never change; only a repeat of an idempotent request whose home
    /// has ended may still run.
    pub last: bool,
    /// Why.
    pub reason: Reason,
    /// Pause after which a new try makes sense: with the same id while `last` is false, otherwise
    /// with a fresh one.
    pub retry: Option<Duration>,
    /// HTTP status for the caller.
    pub status: u16,
    /// Body of the backend server's answer; empty unless the reason is [`Reason::Answered`].
    pub body: Bytes,
    /// Backend server that answered or failed last.
    pub backend: Option<BackendId>,
    /// Dependency that is down.
    pub dependency: Option<ServiceId>,
}

/// Which open connections an attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reuse {
    /// Any.
    Any,
    /// A new one, or one that answered within the last seconds.
    Proven,
}

/// What the router asks of the shell.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller.
    Answer {
        /// Who waits.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to a backend server and report one [`Event::Attempt`](crate::Event).
    Dispatch {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Where to.
        backend: BackendId,
        /// Service that is to run it.
        service: ServiceId,
        /// The request's body.
        body: Bytes,
        /// Time for the attempt, connecting included.
        timeout: Duration,
        /// Which open connections may be used.
        reuse: Reuse,
    },
    /// Close the connection of an attempt; no event is expected for it any more.
    Abort {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Close idle connections that are as old as one that failed.
    DropIdle {
        /// The backend server.
        backend: BackendId,
    },
    /// Make a new connection and report [`Event::BackendSign`](crate::Event).
    Probe {
        /// The backend server.
        backend: BackendId,
    },
    /// Hold no more connections to a backend server than this, idle ones included.
    Limit {
        /// The backend server.
        backend: BackendId,
        /// Most connections of this entry VM.
        connections: u32,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: Incarnation,
        /// The message.
        message: Message,
    },
    /// Nothing is left in progress and the ids are in an heir's hands: the process may end.
    Drained,
}
