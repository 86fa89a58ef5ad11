//! Request-response calls between entry VMs, about jobs and state.
//!
//! Without a link to the peer a question is not sent. A question that was sent but not answered in
//! time may have been carried out; the error tells the two cases apart.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::debug;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::oneshot;

use crate::jobs;
use model::Incarnation;
use model::JobId;
use model::ShardId;
use model::Verdict;
use net::peer::Peers;
use wire::Subsystem;
use wire::border;

/// Timeout of a question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Question to another entry VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// Call to a shard that the peer owns.
    Job {
        /// The shard.
        shard: ShardId,
        /// The call.
        call: jobs::Call,
    },
    /// State history of a job.
    ExplainJob {
        /// The job.
        job: JobId,
    },
    /// Shards, workers and guarantees of the peer.
    Shards,
    /// Counts of the peer for the burn-rate report.
    Burn,
}

/// Answer of another entry VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Answer of the shard to a call.
    Job(jobs::Answer),
    /// State history of the job; `None` if the peer does not know it.
    ExplainJob(Option<border::Explanation>),
    /// State of the shards that the peer owns.
    Shards(OwnedShards),
    /// Counts of the peer.
    Burn(Box<burn::Record>),
}

/// State of the shards that one entry VM owns.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OwnedShards {
    /// The shards.
    pub shards: Vec<border::ShardStatus>,
    /// Lost and quarantined workers.
    pub workers: Vec<border::WorkerStatus>,
    /// State of the guaranteed shapes.
    pub guarantees: Vec<border::GuaranteeStatus>,
    /// Facts that cannot be determined now, with the reason.
    pub unknown: Vec<border::Doubt>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Message {
    Ask { number: u64, question: Question },
    Tell { number: u64, answer: PeerAnswer },
}

/// A question was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RelayError {
    /// There is no link to the peer, so the question was not sent.
    #[error("no link to the entry VM that has to answer")]
    NotSent,
    /// The question was sent but not answered in time; it may have been carried out.
    #[error("the entry VM that has to answer did not answer in time")]
    NoAnswer,
}

impl RelayError {
    /// Verdict on the question: unknown if it may have been carried out.
    pub fn verdict(self) -> Verdict {
        match self {
            RelayError::NotSent => Verdict::NotRun,
            RelayError::NoAnswer => Verdict::Unknown,
        }
    }
}

#[derive(Debug)]
struct RelayState {
    peers: Peers,
    next_number: AtomicU64,
    pending: Mutex<BTreeMap<u64, oneshot::Sender<PeerAnswer>>>,
}

/// Client and server for questions between entry VMs.
#[derive(Clone, Debug)]
pub struct Relay {
    shared: Arc<RelayState>,
}

impl Relay {
    /// Creates a relay that sends over `peers`.
    pub fn new(peers: Peers) -> Relay {
        let pending = Mutex::new(BTreeMap::new());
        Relay { shared: Arc::new(RelayState { peers, next_number: AtomicU64::new(1), pending }) }
    }

    /// Sends a question to an entry VM and waits for the answer, for at most 5 s.
    ///
    /// # Errors
    ///
    /// [`RelayError`] says whether the question may have been carried out.
    pub async fn ask(&self, to: Incarnation, question: Question) -> Result<PeerAnswer, RelayError> {
        let number = self.shared.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        self.pending().insert(number, reply);
        let sent = self.send(to, &Message::Ask { number, question });
        if !sent {
            self.pending().remove(&number);
            return Err(RelayError::NotSent);
        }
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.pending().remove(&number);
        answer.ok().and_then(Result::ok).ok_or(RelayError::NoAnswer)
    }

    /// Handles a message from a peer: completes the pending question that it answers, or answers
    /// its question by `respond`.
    pub fn handle_message<F>(
        &self,
        from: Incarnation,
        body: &[u8],
        respond: impl FnOnce(Question) -> F + Send + 'static,
    ) where
        F: Future<Output = PeerAnswer> + Send + 'static,
    {
        match wire::decode(body) {
            Ok(Message::Tell { number, answer }) => {
                if let Some(reply) = self.pending().remove(&number) {
                    let _ = reply.send(answer);
                }
            }
            Ok(Message::Ask { number, question }) => {
                let relay = self.clone();
                tokio::spawn(async move {
                    let answer = respond(question).await;
                    relay.send(from, &Message::Tell { number, answer });
                });
            }
            Err(error) => debug!("relay: cannot decode a message from {from}: {error}"),
        }
    }

    fn send(&self, to: Incarnation, message: &Message) -> bool {
        match wire::encode(message) {
            Ok(body) => self.shared.peers.send(to, Subsystem::Gang, body).is_ok(),
            Err(error) => {
                debug!("relay: cannot encode a message to {to}: {error}");
                false
            }
        }
    }

    fn pending(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<PeerAnswer>>> {
        self.shared.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
