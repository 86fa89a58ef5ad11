//! Messages between the routers of entry VMs.
//!
//! Messages may be lost, duplicated or reordered; the sender repeats those that need an answer.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Answer;
use crate::Call;
use crate::HealthSignal;
use model::AccountId;
use model::BackendId;
use model::Incarnation;
use model::RequestId;
use model::ServiceId;

/// A message between the routers of two entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Forwards a request to its home, the receiver; a caller waits at the sender.
    Forward {
        /// The request.
        call: Call,
    },
    /// No caller waits at the sender for the request any more.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// Asks for the verdict on a request.
    Query {
        /// The request.
        id: RequestId,
    },
    /// Answer to [`Message::Forward`].
    Answer {
        /// The answer.
        answer: Answer,
    },
    /// Answer to [`Message::Query`].
    Told {
        /// The current state of the request.
        answer: Answer,
    },
    /// Requests slot credits from the lender, and returns those above `total`.
    Ask {
        /// One request per backend server.
        wants: Vec<CreditRequest>,
    },
    /// The lender's answer to [`Message::Ask`], sent again when more can be lent.
    Grant {
        /// One grant per backend server.
        grants: Vec<CreditGrant>,
    },
    /// Recalls credits, to be returned as soon as requests finish.
    Recall {
        /// The backend server.
        backend: BackendId,
        /// Credits that the receiver may keep.
        keep: u32,
    },
    /// Passes on that a backend server does not take work.
    Signal {
        /// The backend server.
        backend: BackendId,
        /// The health signal received.
        sign: HealthSignal,
    },
    /// The sender is stopping and will not act as lender or heir.
    Draining,
    /// One part of the handover of requests and verdicts from a stopping home.
    Handover {
        /// The home whose ids these are.
        home: Incarnation,
        /// Number of the part.
        part: u64,
        /// Requests that have not run, and kept answers.
        records: Vec<HandoverRecord>,
        /// Verdicts of all other ids, in the last part for this home.
        ledger: Option<LedgerImage>,
    },
    /// Acknowledges a part of a [`Message::Handover`].
    Taken {
        /// The home.
        home: Incarnation,
        /// Number of the part.
        part: u64,
    },
    /// Declines a part of a [`Message::Handover`] for good.
    Declined {
        /// The home.
        home: Incarnation,
        /// Number of the part.
        part: u64,
    },
    /// Announces which entry VM answers for the ids of a stopped home.
    Heir {
        /// The home.
        home: Incarnation,
        /// The entry VM that answers for its ids.
        heir: Incarnation,
    },
}

/// Request for slot credits of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// The backend server.
    pub backend: BackendId,
    /// Serial number, increasing with each request of this borrower.
    pub serial: u64,
    /// Credits held when the request was made, at most `total`.
    pub held: u32,
    /// Of the credits held, those that batch work may use.
    pub batch_held: u32,
    /// Credits requested; the borrower uses no more from now on.
    pub total: u32,
    /// Of the credits requested, the maximum for batch work.
    pub batch: u32,
}

/// Grant of slot credits of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// The backend server.
    pub backend: BackendId,
    /// Serial number of the request that this answers.
    pub serial: u64,
    /// Credits granted.
    pub total: u32,
    /// Of the credits granted, the maximum for batch work.
    pub batch: u32,
}

/// One request in a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The request.
    pub id: RequestId,
    /// Service that is to run it.
    pub service: ServiceId,
    /// Client account that it is charged to.
    pub account: AccountId,
    /// Digest of service, client account and body.
    pub digest: u128,
    /// Whether it is queued or settled.
    pub state: HandoverState,
}

/// State of a request in a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverState {
    /// Queued; the heir may dispatch it.
    Queued {
        /// Time left until the deadline.
        deadline: Duration,
        /// The request's body.
        body: Bytes,
        /// Whether an earlier attempt may have run it.
        exposed: bool,
    },
    /// Settled.
    Done {
        /// The kept answer.
        answer: Answer,
    },
}

/// Verdicts of the ids of one home, in two bits per id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerImage {
    /// First sequence number that was not issued.
    pub issued: u64,
    /// First sequence number whose verdict is still kept.
    pub floor: u64,
    /// Blocks with at least one settled id.
    pub blocks: Vec<LedgerBlock>,
}

/// Verdicts of a block of consecutive ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerBlock {
    /// Number of the block.
    pub index: u64,
    /// Verdicts, two bits per id: 0 if not settled.
    pub words: Vec<u64>,
}
