//! What the shell tells the router.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;

use crate::Message;
use crate::Policy;
use crate::PoolId;
use model::AccountId;
use model::BackendId;
use model::Incarnation;
use model::RegionId;
use model::RequestId;
use model::ServiceId;
use model::VmId;
use model::ZoneId;

/// One waiting HTTP caller, numbered by the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request as a caller or a forwarding peer hands it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Names the request and its home.
    pub id: RequestId,
    /// Service that is to run it.
    pub service: ServiceId,
    /// Client account that pays for it.
    pub account: AccountId,
    /// Time left in which the caller wants the answer.
    pub deadline: Duration,
    /// Passed to the backend server as it is.
    pub body: Bytes,
}

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Name in the list of VMs.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// A backend server of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name in the list of VMs.
    pub id: BackendId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts over all entry VMs.
    pub connections: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// What a backend server itself shows of its condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, AsRefStr, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HealthSignal {
    /// A connection was made.
    Connected,
    /// A connection was refused or could not be made in time.
    Refused,
    /// It closed an idle connection.
    Closed,
    /// It answered with status 503.
    Unavailable,
}

/// How an attempt to run a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The whole answer came.
    Answered {
        /// HTTP status.
        status: u16,
        /// The answer's body.
        body: Bytes,
    },
    /// No byte of it was written to the backend server.
    NotSent {
        /// What the connection pool saw.
        cause: Cause,
    },
    /// The connection broke after the first byte was written.
    Broken {
        /// What the connection pool saw.
        cause: Cause,
    },
    /// The timeout passed and the connection was closed.
    TimedOut {
        /// Whether any byte was written.
        sent: bool,
    },
}

/// Why an attempt did not bring an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, AsRefStr, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The connection was refused.
    Refused,
    /// The connection was not made in time.
    ConnectTimeout,
    /// No connection was free, or none that [`Reuse`](crate::Reuse) allows.
    NoConnection,
    /// The connection was closed.
    Closed,
    /// The connection was reset.
    Reset,
    /// The answer ended early.
    Truncated,
    /// The answer is no valid HTTP.
    Malformed,
    /// The body is larger than the shell passes on.
    TooLarge,
}

/// What the shell tells the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller hands in a request, or repeats one.
    Call {
        /// Who waits.
        ticket: Ticket,
        /// The request.
        call: Call,
    },
    /// A caller went away.
    Hangup {
        /// Who waited.
        ticket: Ticket,
    },
    /// A caller asks for the verdict on a request.
    Query {
        /// Who waits.
        ticket: Ticket,
        /// The request.
        id: RequestId,
    },
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: Incarnation,
        /// What it sent.
        message: Message,
    },
    /// A peer can be reached.
    PeerUp {
        /// The peer.
        peer: Peer,
    },
    /// A peer cannot be reached.
    PeerDown {
        /// The peer.
        peer: Incarnation,
        /// Whether its process has certainly ended; otherwise it may live.
        gone: bool,
    },
    /// An attempt ended.
    Attempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
    },
    /// All backend servers of the list of VMs.
    Backends {
        /// The whole list.
        list: Vec<Backend>,
    },
    /// A backend server showed something of its condition outside an attempt.
    BackendSignal {
        /// The backend server.
        backend: BackendId,
        /// What it showed.
        sign: HealthSignal,
    },
    /// The configuration changed.
    Policy {
        /// Services and client accounts.
        policy: Arc<Policy>,
    },
    /// The process is to stop: hand over what has not run and finish what runs.
    Drain,
    /// The time of [`Router::next_wake`](crate::Router::next_wake) has come.
    Tick,
}
