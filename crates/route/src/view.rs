//! What operators can see of the decisions.

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

/// The present state of one router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether the router is draining.
    pub draining: bool,
    /// Requests in the table, kept answers included.
    pub requests: usize,
    /// Requests with an attempt in progress.
    pub running: usize,
    /// Requests that wait at a peer.
    pub forwarded: usize,
    /// Bytes of kept answers.
    pub kept_bytes: usize,
    /// Waiting requests by pool, class and client account.
    pub queues: Vec<QueueView>,
    /// Backend servers.
    pub backends: Vec<BackendView>,
    /// Peers.
    pub peers: Vec<PeerView>,
    /// Answers given since the start.
    pub answers: Vec<AnswerCount>,
    /// Retries since the start.
    pub retries: u64,
    /// Hedged attempts since the start.
    pub hedges: u64,
    /// Bytes sent to backend servers of other regions since the start.
    pub link_bytes: u64,
}

/// Waiting requests of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueView {
    /// Pool that they wait for.
    pub pool: PoolId,
    /// Their latency class.
    pub class: Class,
    /// Their client account.
    pub account: AccountId,
    /// Number of them.
    pub waiting: usize,
}

/// One backend server as this entry VM sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    /// Name in the list of VMs.
    pub id: BackendId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Condition.
    pub state: BackendState,
    /// Entry VM that lends its slots, if one can be reached.
    pub lender: Option<Incarnation>,
    /// Slot credits that this entry VM holds.
    pub held: u32,
    /// Slots that this entry VM uses.
    pub used: u32,
    /// Slots that this entry VM has lent to others.
    pub lent: u32,
}

/// One peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Whether it can be reached.
    pub reachable: bool,
    /// Whether it is stopping.
    pub draining: bool,
}

/// Number of answers of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerCount {
    /// Their verdict.
    pub verdict: Verdict,
    /// Their reason.
    pub reason: Reason,
    /// Number of them.
    pub count: u64,
}

/// One step of a request along its chart.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it happened.
    pub at: Time,
    /// State that it led to.
    pub state: RequestState,
    /// Attempt that it belongs to, 0 if none.
    pub attempt: u32,
    /// Backend server that it belongs to.
    pub backend: Option<BackendId>,
    /// Why, if the step ended the request or an attempt.
    pub reason: Option<Reason>,
}
