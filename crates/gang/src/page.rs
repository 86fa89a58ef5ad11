//! Jobs as they stand in the store: pages of many records, in CBOR.

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

/// Keys of a shard's pages begin with this.
pub fn page_prefix(shard: &ShardId) -> String {
    format!("jobs/{shard}/")
}

pub(crate) fn page_key(shard: &ShardId, number: usize) -> String {
    format!("{}{number:06}", page_prefix(shard))
}

/// What is stored about where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, AsRefStr, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Waits; no task of it runs.
    Queued,
    /// Its tasks may run where its parts say.
    Placed,
    /// It ran.
    Done,
    /// It failed wherever it ran.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// No set of workers can hold it.
    Impossible,
    /// It may have run and will not run again.
    Unknown,
}

impl Stage {
    /// The final job state that the stage stands for.
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

/// A job as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What was submitted.
    pub spec: JobSpec,
    /// When it was submitted.
    #[serde(rename = "at")]
    pub submitted_at: Stamp,
    /// Where it stands.
    pub stage: Stage,
    /// Its latest attempt.
    pub attempt: Attempt,
    /// Where the attempt is placed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Part>,
    /// Whether a placement was ever stored, so that tasks may have started.
    pub started: bool,
    /// Whether it is to be cancelled.
    pub cancel: bool,
    /// When it ended.
    pub ended: Stamp,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
}

impl Record {
    /// The record of a job that was just submitted.
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

    /// Whether it ended longer than `keep` ago.
    pub fn is_stale(&self, now: Stamp, keep: Duration) -> bool {
        self.stage.end().is_some() && now.since(self.ended) > keep
    }

    /// Estimated size in a page, in bytes.
    pub(crate) fn size(&self) -> usize {
        let workers = self.parts.len().max(self.spec.shape.total().div_ceil(8) as usize);
        RECORD_BASE_BYTES + PART_BYTES * workers
    }
}

const RECORD_BASE_BYTES: usize = 420;
const PART_BYTES: usize = 72;

/// A page as stored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct PageValue {
    /// Epoch of the owner that wrote it.
    pub epoch: Epoch,
    /// That owner.
    pub owner: Incarnation,
    /// The write that made this version.
    pub write: WriteId,
    /// Jobs on the page.
    pub jobs: Vec<Record>,
}

#[derive(Serialize)]
struct PageRef<'a> {
    epoch: Epoch,
    owner: Incarnation,
    write: WriteId,
    jobs: &'a [&'a Record],
}

/// A stored page cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("page {key:?} cannot be decoded: {reason}")]
pub struct PageError {
    /// The page.
    pub key: String,
    /// What the decoder said.
    pub reason: String,
}

impl PageValue {
    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// [`PageError`] if the value is not a page.
    pub fn decode(key: &str, value: &[u8]) -> Result<PageValue, PageError> {
        ciborium::from_reader(value)
            .map_err(|error| PageError { key: key.to_owned(), reason: error.to_string() })
    }

    /// Encodes a page out of borrowed records.
    pub fn encode(epoch: Epoch, owner: Incarnation, write: WriteId, jobs: &[&Record]) -> Vec<u8> {
        let mut value = Vec::new();
        let page = PageRef { epoch, owner, write, jobs };
        // Writing to a vector cannot fail, and the types have no case that CBOR lacks.
        ciborium::into_writer(&page, &mut value).expect("a page is always encodable");
        value
    }
}
