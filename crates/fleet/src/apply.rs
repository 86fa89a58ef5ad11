//! State machine of one change to the configuration: read, compare-and-swap, resolve conflicts.
//!
//! A write whose answer was lost is repeated unchanged: it expects the same version, so only one of
//! the two can take effect. If the repeated write conflicts, the write id in the stored record
//! tells whether the first one took effect. The outcome is thus either certain or reported as
//! unknown.

use std::sync::Arc;

use thiserror::Error;

use crate::Record;
use crate::RecordError;
use crate::WriteId;
use model::Revision;
use model::Stamp;
use model::Verdict;
use text::Change;
use text::Fault;

/// Number of unanswered store calls after which a change is given up.
const MAX_LOST_ANSWERS: u32 = 6;

/// Next step of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the stored value.
    Read,
    /// Set the stored value if its version is unchanged.
    Write {
        /// Expected version of the key; 0 stands for an absent key.
        expect: u64,
        /// The new value.
        value: String,
    },
    /// Nothing: the change is finished with this outcome.
    Finished(Outcome),
}

/// The store's answer to a [`Step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The stored value.
    Value {
        /// Version of the key; 0 if it is absent.
        version: u64,
        /// The stored value; `None` if the key is absent.
        value: Option<String>,
    },
    /// The write took effect.
    Written,
    /// The key had another version.
    Conflict,
    /// There was no answer.
    Lost,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Outcome {
    /// The change is stored.
    #[error("revision {revision} is stored")]
    Applied {
        /// Revision that the change created.
        revision: Revision,
        /// Differences to the previous revision.
        changes: Vec<Change>,
    },
    /// The text equals the one in force.
    #[error("revision {revision} already says this")]
    Unchanged {
        /// The revision in force.
        revision: Revision,
    },
    /// Another change was stored first. Nothing was stored.
    #[error("{} changed the configuration first, to revision {revision}", authors.join(", "))]
    Raced {
        /// The revision in force.
        revision: Revision,
        /// Authors of the other changes.
        authors: Vec<String>,
        /// Differences from the base to the revision in force.
        theirs: Vec<Change>,
    },
    /// A base revision was expected, but the store holds no configuration. Nothing was stored.
    #[error("the store holds no configuration, where revision {base} was expected")]
    Missing {
        /// The expected revision.
        base: Revision,
    },
    /// The text is invalid. Nothing was stored.
    #[error("the text has {} faults", faults.len())]
    Refused {
        /// Faults found in the text.
        faults: Vec<Fault>,
    },
    /// The store did not answer, and no write was sent.
    #[error("the store did not answer; nothing was changed")]
    Unreachable,
    /// The store did not answer after a write was sent; the write may have taken effect.
    #[error("the store did not answer; whether the change is stored is unknown")]
    Unsettled,
    /// The stored value cannot be used.
    #[error(transparent)]
    Record(RecordError),
}

impl Outcome {
    /// Whether the change took effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Applied { .. } | Outcome::Unchanged { .. } => Verdict::Ran,
            Outcome::Unsettled => Verdict::Unknown,
            _ => Verdict::NotRun,
        }
    }
}

/// New text with its author and write id.
#[derive(Clone, Debug)]
struct Proposal {
    text: Arc<str>,
    base: Option<Revision>,
    author: String,
    write: WriteId,
    at: Stamp,
}

/// The record that a write replaces; `None` if there was none.
#[derive(Clone, Debug)]
struct BaseRecord {
    record: Option<Record>,
}

/// State machine of one change to the configuration.
#[derive(Clone, Debug)]
pub struct Apply {
    proposal: Proposal,
    base: Option<BaseRecord>,
    /// Whether a write conflicted and its outcome must be resolved from the stored record.
    is_conflicted: bool,
    lost_answers: u32,
    next: Step,
}

impl Apply {
    /// Starts replacing the configuration with `text`, provided that its revision is still `base`.
    ///
    /// Without a base, the change applies to whatever revision is stored when it starts.
    pub fn new(
        text: &str,
        base: Option<Revision>,
        author: &str,
        write: WriteId,
        at: Stamp,
    ) -> Apply {
        let next = match text::parse("text", text) {
            Ok(_) => Step::Read,
            Err(faults) => Step::Finished(Outcome::Refused { faults }),
        };
        let author = author.to_owned();
        let proposal = Proposal { text: Arc::from(text), base, author, write, at };
        Apply { proposal, base: None, is_conflicted: false, lost_answers: 0, next }
    }

    /// Returns the step to carry out now.
    pub fn step(&self) -> &Step {
        &self.next
    }

    /// Takes the store's answer to the current step.
    pub fn answer(&mut self, answer: Answer) {
        if matches!(self.next, Step::Finished(_)) {
            return;
        }
        match answer {
            Answer::Lost => self.count_lost_answer(),
            Answer::Value { version, value } => self.handle_value(version, value.as_deref()),
            Answer::Written => self.finish_written(),
            Answer::Conflict => {
                self.is_conflicted = true;
                self.next = Step::Read;
            }
        }
    }

    fn count_lost_answer(&mut self) {
        self.lost_answers += 1;
        if self.lost_answers >= MAX_LOST_ANSWERS {
            let outcome = match self.base {
                Some(_) => Outcome::Unsettled,
                None => Outcome::Unreachable,
            };
            self.next = Step::Finished(outcome);
        }
    }

    fn finish_written(&mut self) {
        let old = self.base.as_ref().and_then(|base| base.record.as_ref());
        let revision = Revision(old.map_or(0, |record| record.revision.0) + 1);
        let changes = changes(old.map_or("", |record| &record.text), &self.proposal.text);
        self.next = Step::Finished(Outcome::Applied { revision, changes });
    }

    fn handle_value(&mut self, version: u64, value: Option<&str>) {
        let record = match value.map(Record::decode).transpose() {
            Ok(record) => record,
            Err(error) => {
                self.next = Step::Finished(Outcome::Record(error));
                return;
            }
        };
        self.next = match (&self.base, self.is_conflicted) {
            (Some(base), true) => Step::Finished(self.resolve_conflict(base, record.as_ref())),
            _ => self.prepare_write(version, record),
        };
    }

    /// Determines the outcome of a write that conflicted.
    fn resolve_conflict(&self, base: &BaseRecord, record: Option<&Record>) -> Outcome {
        let Some(record) = record else { return Outcome::Unsettled };
        let old = base.record.as_ref();
        let text = old.map_or("", |record| &record.text);
        if let Some(revision) = record.revision_of(self.proposal.write) {
            return Outcome::Applied { revision, changes: changes(text, &self.proposal.text) };
        }
        let from = old.map_or(Revision(0), |record| record.revision);
        match record.write_of(Revision(from.0 + 1)) {
            Some(_) => raced_outcome(from, text, record),
            None => Outcome::Unsettled,
        }
    }

    fn prepare_write(&mut self, version: u64, record: Option<Record>) -> Step {
        let proposal = &self.proposal;
        if let Some(outcome) =
            record.as_ref().and_then(|record| already_applied(record, proposal.write))
        {
            return Step::Finished(outcome);
        }
        let revision = record.as_ref().map_or(Revision(0), |record| record.revision);
        match (proposal.base, &record) {
            (Some(base), Some(record)) if base != revision => {
                let text = record.text_at(base).unwrap_or_default();
                return Step::Finished(raced_outcome(base, &text, record));
            }
            (Some(base), None) if base != revision => {
                return Step::Finished(Outcome::Missing { base });
            }
            _ => {}
        }
        if record.as_ref().is_some_and(|record| record.text == proposal.text) {
            return Step::Finished(Outcome::Unchanged { revision });
        }
        let Proposal { text, author, write, at, .. } = proposal;
        let next = match &record {
            Some(record) => record.next(*write, author, *at, text),
            None => Record::first(*write, author, *at, text),
        };
        match next.encode() {
            Ok(value) => {
                self.base = Some(BaseRecord { record });
                Step::Write { expect: version, value }
            }
            Err(error) => Step::Finished(Outcome::Record(error)),
        }
    }
}

/// Outcome of a change whose write id is already stored, because an earlier attempt succeeded.
fn already_applied(record: &Record, write: WriteId) -> Option<Outcome> {
    let revision = record.revision_of(write)?;
    let old = record.text_at(Revision(revision.0 - 1)).unwrap_or_default();
    let new = record.text_at(revision).unwrap_or_default();
    Some(Outcome::Applied { revision, changes: changes(&old, &new) })
}

fn raced_outcome(base: Revision, old: &str, record: &Record) -> Outcome {
    Outcome::Raced {
        revision: record.revision,
        authors: record.authors_since(base),
        theirs: changes(old, &record.text),
    }
}

fn changes(old: &str, new: &str) -> Vec<Change> {
    let old = text::parse("old", old).unwrap_or_default();
    let new = text::parse("new", new).unwrap_or_default();
    text::diff(&old, &new)
}
