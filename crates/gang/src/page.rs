//! Stored form of jobs: pages of many job records, encoded in CBOR.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use thiserror::Error;

use crate::Attempt;
use crate::JobSpec;
use crate::JobState;
use crate::Part;
use crate::WriteId;
use model::Epoch;
use model::Incarnation;
use model::ShardId;
use model::Stamp;

/// Common prefix of the store keys of a shard's pages.
pub fn page_prefix(shard: &ShardId) -> String {
    format!("jobs/{shard}/")
}

pub(crate) fn page_key(shard: &ShardId, number: usize) -> String {
    format!("{}{number:06}", page_prefix(shard))
}

/// Stored state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, AsRefStr, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Queued; none of its tasks runs.
    Queued,
    /// Its tasks may be running on the workers named in its parts.
    Placed,
    /// All tasks succeeded.
    Done,
    /// Given up after failures.
    Failed,
    /// Cancelled.
    Cancelled,
    /// Does not fit on the listed workers, even if all were idle.
    Impossible,
    /// It may have run, and must not be started again.
    Unknown,
}

impl Stage {
    /// The final job state of this stage; `None` if the job has not ended.
    pub fn end(self) -> Option<JobState> {
        match self {
            Stage::Queued | Stage::Placed => None,
            Stage::Done => Some(JobState::Done),
            Stage::Failed => Some(JobState::Failed),
            Stage::Cancelled => Some(JobState::Cancelled),
            Stage::Impossible => Some(JobState::Impossible),
            Stage::Unknown => Some(JobState::Unknown),
        }
    }
}

/// Stored record of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Time of submission.
    #[serde(rename = "at")]
    pub submitted_at: Stamp,
    /// Stored state.
    pub stage: Stage,
    /// Latest attempt whose placement was stored.
    pub attempt: Attempt,
    /// Placement of that attempt; empty unless the stage is [`Stage::Placed`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Part>,
    /// Whether tasks may have been started by any attempt, because a placement was stored.
    pub started: bool,
    /// Whether cancellation was requested.
    pub cancel: bool,
    /// Time at which the job ended.
    pub ended: Stamp,
    /// Why the job ended.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
}

impl Record {
    /// Creates the record of a newly submitted job.
    pub fn new(spec: JobSpec, submitted_at: Stamp) -> Record {
        Record {
            spec,
            submitted_at,
            stage: Stage::Queued,
            attempt: Attempt::default(),
            parts: Vec::new(),
            started: false,
            cancel: false,
            ended: Stamp::default(),
            reason: String::new(),
        }
    }

    /// Whether the job ended more than `keep` ago.
    pub fn is_stale(&self, now: Stamp, keep: Duration) -> bool {
        self.stage.end().is_some() && now.since(self.ended) > keep
    }

    /// Estimated encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        let workers =
            self.parts.len().max(self.spec.shape.total_accelerators().div_ceil(8) as usize);
        RECORD_BASE_BYTES + PART_BYTES * workers
    }
}

const RECORD_BASE_BYTES: usize = 420;
const PART_BYTES: usize = 72;

/// Decoded value of a page.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct PageValue {
    /// Epoch of the owner that wrote this version.
    pub epoch: Epoch,
    /// Owner that wrote this version.
    pub owner: Incarnation,
    /// Write that made this version.
    pub write: WriteId,
    /// Records of the page.
    pub jobs: Vec<Record>,
}

#[derive(Serialize)]
struct PageRef<'a> {
    epoch: Epoch,
    owner: Incarnation,
    write: WriteId,
    jobs: &'a [&'a Record],
}

/// A stored page cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("page {key:?} cannot be decoded: {reason}")]
pub struct PageError {
    /// Key of the page.
    pub key: String,
    /// Error of the decoder.
    pub reason: String,
}

impl PageValue {
    /// Decodes a stored page.
    ///
    /// # Errors
    ///
    /// [`PageError`] if the value is not a page.
    pub fn decode(key: &str, value: &[u8]) -> Result<PageValue, PageError> {
        ciborium::from_reader(value)
            .map_err(|error| PageError { key: key.to_owned(), reason: error.to_string() })
    }

    /// Encodes a page from borrowed records.
    pub fn encode(epoch: Epoch, owner: Incarnation, write: WriteId, jobs: &[&Record]) -> Vec<u8> {
        let mut value = Vec::new();
        let page = PageRef { epoch, owner, write, jobs };
        // Writing to a vector cannot fail, and the types have no case that CBOR lacks.
        ciborium::into_writer(&page, &mut value).expect("a page is always encodable");
        value
    }
}
