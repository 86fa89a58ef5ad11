//! Stored form of the configuration: the text in force and its history.
//!
//! The value is a line of JSON, which holds the revision, its author and the splices that restore
//! earlier revisions, followed by the text verbatim. When the history exceeds its limit, the oldest
//! texts are dropped; author and write id of a revision are kept longer.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::Splice;
use crate::spread::apply_splice;
use crate::spread::make_splice;
use model::Revision;
use model::Stamp;

/// Maximum size of the stored value, in bytes.
const MAX_RECORD_BYTES: usize = 1_000_000;
/// Maximum share of the stored value that the history takes, in bytes.
const MAX_HISTORY_BYTES: usize = 250_000;
/// Maximum number of revisions kept before the one in force.
const MAX_PAST_REVISIONS: usize = 200;

/// Identifies one attempt to change the configuration; drawn at random by the client. Repeats of
/// the attempt reuse it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub u64);

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Reason why a stored value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The value is not a valid record.
    #[error("stored configuration does not parse: {reason}")]
    Syntax {
        /// Error message of the parser.
        reason: String,
    },
    /// The value exceeds the maximum size of a stored value.
    #[error("configuration takes {bytes} bytes in the store, which allows {limit}")]
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
}

/// Configuration as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Revision, from 1.
    pub revision: Revision,
    /// Id of the attempt that wrote it.
    pub write: WriteId,
    /// Author of the revision.
    pub author: String,
    /// When it was written.
    pub at: Stamp,
    /// Configuration text.
    pub text: Arc<str>,
    /// Earlier revisions, latest first.
    pub past: VecDeque<PastRevision>,
}

/// An earlier revision of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRevision {
    /// Its revision.
    pub revision: Revision,
    /// Id of the attempt that wrote it.
    pub write: WriteId,
    /// Author of the revision.
    pub author: String,
    /// When it was written.
    pub at: Stamp,
    /// Splice that restores this text from the next revision's; `None` if it was dropped.
    #[serde(rename = "back")]
    pub undo: Option<Splice>,
}

#[derive(Serialize, Deserialize)]
struct Header {
    revision: Revision,
    write: WriteId,
    author: String,
    at: Stamp,
    past: VecDeque<PastRevision>,
}

impl Record {
    /// Creates the first record.
    pub fn first(write: WriteId, author: &str, at: Stamp, text: &Arc<str>) -> Record {
        Record {
            revision: Revision(1),
            write,
            author: author.to_owned(),
            at,
            text: text.clone(),
            past: VecDeque::new(),
        }
    }

    /// Creates the record that follows this one.
    pub fn next(&self, write: WriteId, author: &str, at: Stamp, text: &Arc<str>) -> Record {
        let mut past = self.past.clone();
        past.push_front(PastRevision {
            revision: self.revision,
            write: self.write,
            author: self.author.clone(),
            at: self.at,
            undo: Some(make_splice(Revision(self.revision.0 + 1), text, &self.text)),
        });
        trim_history(&mut past);
        Record {
            revision: Revision(self.revision.0 + 1),
            write,
            author: author.to_owned(),
            at,
            text: text.clone(),
            past,
        }
    }

    /// Encodes the stored value.
    ///
    /// # Errors
    ///
    /// [`RecordError::TooLarge`] if the value exceeds the maximum size.
    pub fn encode(&self) -> Result<String, RecordError> {
        let header = Header {
            revision: self.revision,
            write: self.write,
            author: self.author.clone(),
            at: self.at,
            past: self.past.clone(),
        };
        let header = serde_json::to_string(&header).map_err(syntax_error)?;
        let value = [&header, "\n", &self.text].concat();
        if value.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge { bytes: value.len(), limit: MAX_RECORD_BYTES });
        }
        Ok(value)
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// [`RecordError::Syntax`] if the first line is not a valid header.
    pub fn decode(value: &str) -> Result<Record, RecordError> {
        let (header, text) = value.split_once('\n').unwrap_or((value, ""));
        let header: Header = serde_json::from_str(header).map_err(syntax_error)?;
        Ok(Record {
            revision: header.revision,
            write: header.write,
            author: header.author,
            at: header.at,
            text: Arc::from(text),
            past: header.past,
        })
    }

    /// Text of a revision; `None` if it is not kept.
    pub fn text_at(&self, revision: Revision) -> Option<Arc<str>> {
        let mut text = self.text.clone();
        if revision == self.revision {
            return Some(text);
        }
        for past in &self.past {
            text = apply_splice(&text, past.undo.as_ref()?)?;
            if past.revision == revision {
                return Some(text);
            }
        }
        None
    }

    /// Id of the attempt that wrote a revision; `None` if the revision is not kept.
    pub fn write_of(&self, revision: Revision) -> Option<WriteId> {
        if revision == self.revision {
            return Some(self.write);
        }
        self.past.iter().find(|past| past.revision == revision).map(|past| past.write)
    }

    /// Revision that an attempt wrote; `None` if it is not kept.
    pub fn revision_of(&self, write: WriteId) -> Option<Revision> {
        if write == self.write {
            return Some(self.revision);
        }
        self.past.iter().find(|past| past.write == write).map(|past| past.revision)
    }

    /// Authors of the kept revisions after `revision`, latest first; consecutive duplicates are
    /// merged.
    pub fn authors_since(&self, revision: Revision) -> Vec<String> {
        let last = (self.revision, &self.author);
        let past = self.past.iter().map(|past| (past.revision, &past.author));
        let later = [last].into_iter().chain(past).filter(|(r, _)| *r > revision);
        let mut authors: Vec<String> = later.map(|(_, author)| author.clone()).collect();
        authors.dedup();
        authors
    }
}

fn trim_history(past: &mut VecDeque<PastRevision>) {
    past.truncate(MAX_PAST_REVISIONS);
    let mut total = 0;
    for past in past.iter_mut() {
        // JSON escapes at most double the size of text that an editor writes.
        total += past.undo.as_ref().map_or(0, |undo| 2 * undo.inserted.len());
        if total > MAX_HISTORY_BYTES {
            past.undo = None;
        }
    }
}

fn syntax_error(error: serde_json::Error) -> RecordError {
    RecordError::Syntax { reason: error.to_string() }
}
