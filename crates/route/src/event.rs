//! Events that the shell reports to the router.

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

/// Identifies one HTTP caller that waits for an answer; numbered by the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request as received from a caller or a forwarding peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Id of the request, which names its home.
    pub id: RequestId,
    /// Service that is to run it.
    pub service: ServiceId,
    /// Client account that it is charged to.
    pub account: AccountId,
    /// Time left until the caller gives up.
    pub deadline: Duration,
    /// Body, passed to the backend server unchanged.
    pub body: Bytes,
}

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Incarnation: one run of its process.
    pub incarnation: Incarnation,
    /// Name in the list of VMs.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// A backend server as listed in the list of VMs.
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
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts from all entry VMs together.
    pub connections: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A health signal observed on connections to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, AsRefStr, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HealthSignal {
    /// A connection was established.
    Connected,
    /// A connection was refused or not established in time.
    Refused,
    /// The backend server closed an idle connection.
    Closed,
    /// The backend server answered with status 503.
    Unavailable,
}

/// How an attempt to run a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete answer was received.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// No byte of the request was written to the backend server.
    NotSent {
        /// What the connection pool saw.
        cause: Cause,
    },
    /// The connection broke after the first byte was written.
    Broken {
        /// What the connection pool saw.
        cause: Cause,
    },
    /// The attempt timed out and its connection was closed.
    TimedOut {
        /// Whether any byte of the request was written.
        sent: bool,
    },
}

/// Transport error that ended an attempt without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, AsRefStr, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The connection was refused.
    Refused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// No connection was available, or none that [`Reuse`](crate::Reuse) permits.
    NoConnection,
    /// The connection was closed.
    Closed,
    /// The connection was reset.
    Reset,
    /// The answer ended early.
    Truncated,
    /// The answer is not valid HTTP.
    Malformed,
    /// A body exceeds the size limit of the shell.
    TooLarge,
}

/// Something that happened outside the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request, or repeated one.
    Call {
        /// The waiting caller.
        ticket: Ticket,
        /// The request.
        call: Call,
    },
    /// A caller disconnected.
    Hangup {
        /// The caller that waited.
        ticket: Ticket,
    },
    /// A caller asked for the verdict on a request.
    Query {
        /// The waiting caller.
        ticket: Ticket,
        /// The request.
        id: RequestId,
    },
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// A peer became reachable.
    PeerUp {
        /// The peer.
        peer: Peer,
    },
    /// A peer became unreachable, or its process ended.
    PeerDown {
        /// The peer.
        peer: Incarnation,
        /// Whether its process has certainly ended; otherwise it may still run.
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
    /// The list of VMs changed.
    Backends {
        /// All backend servers of the list.
        list: Vec<Backend>,
    },
    /// A health signal was observed outside an attempt.
    BackendSignal {
        /// The backend server.
        backend: BackendId,
        /// The health signal.
        sign: HealthSignal,
    },
    /// The configuration changed.
    Policy {
        /// Services and client accounts.
        policy: Arc<Policy>,
    },
    /// The process is to stop: hand over queued requests and finish running ones.
    Drain,
    /// The time returned by [`Router::next_wake`](crate::Router::next_wake) has been reached.
    Tick,
}
