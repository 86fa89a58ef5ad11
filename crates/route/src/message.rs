//! Messages between the routers of entry VMs.
//!
//! Every message may be lost, doubled or overtaken by another; the sender repeats what it needs.

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
    /// A caller waits at the sender for a request whose home is the receiver.
    Forward {
        /// The request.
        call: Call,
    },
    /// Nobody waits at the sender for the request any more.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// The sender asks for the verdict on a request.
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
        /// The present state of the request.
        answer: Answer,
    },
    /// The sender asks the lender for slot credits and gives back those above `total`.
    Ask {
        /// One entry a backend server.
        wants: Vec<CreditRequest>,
    },
    /// The lender's answer to [`Message::Ask`], repeated when more can be lent.
    Grant {
        /// One entry a backend server.
        grants: Vec<CreditGrant>,
    },
    /// The lender asks for credits back as soon as requests finish.
    Recall {
        /// The backend server.
        backend: BackendId,
        /// Credits that the receiver may keep.
        keep: u32,
    },
    /// A backend server showed that it does not take work.
    Signal {
        /// The backend server.
        backend: BackendId,
        /// What it showed.
        sign: HealthSignal,
    },
    /// The sender is stopping and takes no duties any more.
    Draining,
    /// Part of the requests and verdicts of a stopping home.
    Handover {
        /// The home whose ids these are.
        home: Incarnation,
        /// Number of the part.
        part: u64,
        /// Requests that have not run, and kept answers.
        records: Vec<HandoverRecord>,
        /// Verdicts of all other ids; comes with the last part.
        ledger: Option<LedgerImage>,
    },
    /// The receiver of [`Message::Handover`] took it.
    Taken {
        /// The home.
        home: Incarnation,
        /// Number of the part.
        part: u64,
    },
    /// The receiver of [`Message::Handover`] did not take it and never will.
    Declined {
        /// The home.
        home: Incarnation,
        /// Number of the part.
        part: u64,
    },
    /// The ids of a home that has stopped are in the hands of another.
    Heir {
        /// The home.
        home: Incarnation,
        /// Who answers for its ids.
        heir: Incarnation,
    },
}

/// Slot credits of one backend server that a borrower wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// The backend server.
    pub backend: BackendId,
    /// Rises with each ask of this borrower.
    pub serial: u64,
    /// Credits held at the time of asking, never more than `total`.
    pub held: u32,
    /// Credits for batch work among those held.
    pub batch_held: u32,
    /// Credits wanted; the borrower uses no more from now on.
    pub total: u32,
    /// Most of them for batch work.
    pub batch: u32,
}

/// Slot credits of one backend server that are lent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// The backend server.
    pub backend: BackendId,
    /// Serial of the ask that this answers.
    pub serial: u64,
    /// Credits lent.
    pub total: u32,
    /// Most of them for batch work.
    pub batch: u32,
}

/// One request in a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The request.
    pub id: RequestId,
    /// Service that is to run it.
    pub service: ServiceId,
    /// Client account that pays for it.
    pub account: AccountId,
    /// Digest of service, client account and body.
    pub digest: u128,
    /// Where it stands.
    pub state: HandoverState,
}

/// Where a request of a handover stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverState {
    /// It has not run and may be dispatched by the heir.
    Queued {
        /// Time left.
        deadline: Duration,
        /// The request's body.
        body: Bytes,
        /// Whether an earlier attempt may have run.
        exposed: bool,
    },
    /// It is settled.
    Done {
        /// The kept answer.
        answer: Answer,
    },
}

/// Verdicts of the ids of one home, two bits an id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerImage {
    /// First sequence number that was not given out.
    pub issued: u64,
    /// First sequence number that is still known.
    pub floor: u64,
    /// Blocks of verdicts that are not all unused.
    pub blocks: Vec<LedgerBlock>,
}

/// Verdicts of consecutive ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerBlock {
    /// Number of the block.
    pub index: u64,
    /// Two bits an id.
    pub words: Vec<u64>,
}
