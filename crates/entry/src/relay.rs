//! Questions that one entry VM asks another about jobs and state.
//!
//! A question that finds no link was not asked. One that is asked and not answered in time may
//! have been carried out, which the caller is told.

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
use wire::Part;
use wire::border;

/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What one entry VM asks another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// A call for a shard that the other owns.
    Job {
        /// The shard.
        shard: ShardId,
        /// The call.
        call: jobs::Call,
    },
    /// How a job came to its state.
    ExplainJob {
        /// The job.
        job: JobId,
    },
    /// What the other knows of shards, workers and guarantees.
    Shards,
    /// What the other counted for the burn report.
    Burn,
}

/// An answer from another entry VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Answer of the shard.
    Job(jobs::Answer),
    /// The path, if the other knows the job.
    ExplainJob(Option<border::Explanation>),
    /// State of the shards that it owns.
    Shards(OwnedShards),
    /// Its counts.
    Burn(Box<burn::Record>),
}

/// State of the shards that one entry VM owns.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OwnedShards {
    /// The shards.
    pub shards: Vec<border::ShardStatus>,
    /// Workers that are not well.
    pub workers: Vec<border::WorkerStatus>,
    /// Guaranteed shapes.
    pub guarantees: Vec<border::GuaranteeStatus>,
    /// What cannot be known now.
    pub unknown: Vec<border::Doubt>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Message {
    Ask { number: u64, question: Question },
    Tell { number: u64, answer: PeerAnswer },
}

/// No answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RelayError {
    /// The question was not sent.
    #[error("there is no link to the entry VM that has to answer")]
    NotSent,
    /// The question was sent; it may have been carried out.
    #[error("the entry VM that has to answer did not do so in time")]
    NoAnswer,
}

impl RelayError {
    /// Whether the question may have been carried out.
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

/// Asks other entry VMs.
#[derive(Clone, Debug)]
pub struct Relay {
    shared: Arc<RelayState>,
}

impl Relay {
    /// A relay over `peers`.
    pub fn new(peers: Peers) -> Relay {
        let pending = Mutex::new(BTreeMap::new());
        Relay { shared: Arc::new(RelayState { peers, next_number: AtomicU64::new(1), pending }) }
    }

    /// Asks one entry VM.
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

    /// Takes a message; a question in it is answered by `respond`.
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
            Err(error) => debug!("relay: message from {from} cannot be read: {error}"),
        }
    }

    fn send(&self, to: Incarnation, message: &Message) -> bool {
        match wire::encode(message) {
            Ok(body) => self.shared.peers.send(to, Part::Gang, body).is_ok(),
            Err(error) => {
                debug!("relay: message to {to} cannot be encoded: {error}");
                false
            }
        }
    }

    fn pending(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<PeerAnswer>>> {
        self.shared.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
