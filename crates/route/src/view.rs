//! Views of the router state for operators.

use crate::BackendState;
use crate::PoolId;
use crate::Reason;
use crate::RequestState;
use model::AccountId;
use model::BackendId;
use model::Class;
use model::Incarnation;
use model::Revision;
use model::Time;
use model::Verdict;

/// The current state of one router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether the router is draining.
    pub draining: bool,
    /// Number of requests in the table, settled ones included.
    pub requests: usize,
    /// Number of attempts in progress.
    pub running: usize,
    /// Number of requests forwarded to a peer and not answered yet.
    pub forwarded: usize,
    /// Size of kept answers in bytes.
    pub kept_bytes: usize,
    /// Queued requests by pool, class and client account.
    pub queues: Vec<QueueView>,
    /// Backend servers.
    pub backends: Vec<BackendView>,
    /// Peers.
    pub peers: Vec<PeerView>,
    /// Answers sent to callers since the start.
    pub answers: Vec<AnswerCount>,
    /// Retries since the start.
    pub retries: u64,
    /// Hedged attempts since the start.
    pub hedges: u64,
    /// Bytes sent to backend servers of other regions since the start.
    pub link_bytes: u64,
}

/// Queued requests of one pool, class and client account.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueView {
    /// The pool.
    pub pool: PoolId,
    /// The latency class.
    pub class: Class,
    /// The client account.
    pub account: AccountId,
    /// Number of queued requests.
    pub waiting: usize,
}

/// One backend server as this entry VM sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    /// Name in the list of VMs.
    pub id: BackendId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Health state.
    pub state: BackendState,
    /// Entry VM that lends its slots; `None` if it cannot be reached.
    pub lender: Option<Incarnation>,
    /// Slot credits that this entry VM holds.
    pub held: u32,
    /// Slots that this entry VM uses now.
    pub used: u32,
    /// Slots that this entry VM has lent to others.
    pub lent: u32,
}

/// One peer as this entry VM sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Incarnation: one run of its process.
    pub incarnation: Incarnation,
    /// Whether it is reachable.
    pub reachable: bool,
    /// Whether it is draining.
    pub draining: bool,
}

/// Number of answers with one verdict and reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerCount {
    /// The verdict.
    pub verdict: Verdict,
    /// The reason.
    pub reason: Reason,
    /// Number of answers.
    pub count: u64,
}

/// One recorded state change of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it happened.
    pub at: Time,
    /// State after the step.
    pub state: RequestState,
    /// Number of the attempt that it belongs to, 0 if none.
    pub attempt: u32,
    /// Backend server of the attempt, if any.
    pub backend: Option<BackendId>,
    /// Reason, if the step ended the request or an attempt.
    pub reason: Option<Reason>,
}
