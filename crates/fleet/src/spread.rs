//! Configuration on one entry VM: the revision in force and how current it is.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::LazyLock;

use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;
use xxhash_rust::xxh3::xxh3_64;

use crate::Splice;
use crate::TextBody;
use crate::tuning::FETCH_TIMEOUT;
use crate::tuning::MAX_KEPT_TEXTS;
use chart::Machine;
use model::Incarnation;
use model::Revision;
use model::Time;

/// State of the configuration on one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, AsRefStr, Display, VariantArray)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TextState {
    /// No revision is in force.
    Absent,
    /// A higher revision is known to exist.
    Behind,
    /// A peer has been asked for a higher revision.
    Fetching,
    /// No higher revision is known.
    Current,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
enum TextEvent {
    /// A higher revision became known.
    Seen,
    /// A peer was asked for its text.
    Ask,
    /// The peer did not answer in time.
    Expired,
    /// A higher revision was received.
    Arrived,
}

static REVISION: LazyLock<Machine<TextState, TextEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/revision.json")));

#[derive(Clone, Debug)]
struct Fetch {
    from: Incarnation,
    sent_at: Time,
}

/// Configuration replica of one entry VM.
#[derive(Clone, Debug)]
pub(crate) struct TextReplica {
    state: TextState,
    revision: Revision,
    /// Latest texts by revision; the last one is in force.
    kept_texts: BTreeMap<Revision, Arc<str>>,
    /// Highest revision known to exist.
    highest_known: Revision,
    fetch: Option<Fetch>,
    checked_at: Option<Time>,
}

impl Default for TextReplica {
    fn default() -> TextReplica {
        TextReplica {
            state: REVISION.initial(),
            revision: Revision(0),
            kept_texts: BTreeMap::new(),
            highest_known: Revision(0),
            fetch: None,
            checked_at: None,
        }
    }
}

impl TextReplica {
    /// Revision in force; 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn state(&self) -> TextState {
        self.state
    }

    pub(crate) fn highest_known(&self) -> Revision {
        self.highest_known
    }

    /// When the store last confirmed that no revision is higher than the one in force; `None` if it
    /// never did.
    pub(crate) fn checked_at(&self) -> Option<Time> {
        self.checked_at
    }

    /// Puts a text in force if its revision is higher. Returns whether it did.
    pub(crate) fn adopt(&mut self, revision: Revision, text: &Arc<str>) -> bool {
        if revision <= self.revision {
            return false;
        }
        let before = self.revision;
        self.revision = revision;
        self.kept_texts.insert(revision, text.clone());
        while self.kept_texts.len() > MAX_KEPT_TEXTS {
            self.kept_texts.pop_first();
        }
        self.fetch = None;
        REVISION.advance(&mut self.state, TextEvent::Arrived);
        assert!(self.revision > before, "revision in force did not increase");
        let highest = self.highest_known.max(revision);
        self.observe(highest);
        true
    }

    /// Records that a revision exists.
    pub(crate) fn observe(&mut self, revision: Revision) {
        self.highest_known = self.highest_known.max(revision);
        if self.highest_known > self.revision {
            REVISION.advance(&mut self.state, TextEvent::Seen);
        }
    }

    /// Starts a fetch from `from`, which has a higher revision, unless one is in progress. Returns
    /// whether the caller is to send the request.
    pub(crate) fn start_fetch(&mut self, from: Incarnation, now: Time) -> bool {
        if self.state != TextState::Behind {
            return false;
        }
        self.fetch = Some(Fetch { from, sent_at: now });
        REVISION.advance(&mut self.state, TextEvent::Ask);
        true
    }

    /// Gives up a fetch that has timed out or whose peer is down.
    pub(crate) fn expire_fetch(&mut self, now: Time, is_down: impl Fn(Incarnation) -> bool) {
        let Some(fetch) = &self.fetch else { return };
        if now.since(fetch.sent_at) > FETCH_TIMEOUT || is_down(fetch.from) {
            self.fetch = None;
            REVISION.advance(&mut self.state, TextEvent::Expired);
        }
    }

    /// Records the store's confirmation, given at `at`, that no revision is higher than `revision`.
    pub(crate) fn record_check(&mut self, revision: Revision, at: Time) {
        if revision <= self.revision && self.revision > Revision(0) {
            self.checked_at = self.checked_at.max(Some(at));
        }
    }

    /// Encodes the text in force for a peer that has the revision `have`; `None` if none is in
    /// force.
    pub(crate) fn encode_for(&self, have: Revision) -> Option<TextBody> {
        let text = self.kept_texts.get(&self.revision)?;
        match self.kept_texts.get(&have) {
            Some(base) => Some(TextBody::Splice(make_splice(have, base, text))),
            None => Some(TextBody::Full(text.clone())),
        }
    }

    /// Decodes a text that a peer sent; `None` if its base is not kept or its checksum differs.
    pub(crate) fn decode(&self, body: &TextBody) -> Option<Arc<str>> {
        match body {
            TextBody::Full(text) => Some(text.clone()),
            TextBody::Splice(splice) => apply_splice(self.kept_texts.get(&splice.base)?, splice),
        }
    }

    /// Asserts that the text in force is the latest kept one and that the state matches.
    pub(crate) fn check_invariants(&self) {
        let last = self.kept_texts.last_key_value().map_or(Revision(0), |(revision, _)| *revision);
        assert!(
            last == self.revision,
            "revision {} is in force, latest kept is {last}",
            self.revision
        );
        let behind = self.highest_known > self.revision;
        let said = matches!(self.state, TextState::Behind | TextState::Fetching);
        assert!(
            behind == said,
            "text state {} does not match revision {}",
            self.state,
            self.revision
        );
    }
}

/// Encodes `new` as the replacement of one byte range of `old`.
pub(crate) fn make_splice(base: Revision, old: &str, new: &str) -> Splice {
    let pairs = old.bytes().zip(new.bytes());
    let mut at = pairs.take_while(|(a, b)| a == b).count();
    while !old.is_char_boundary(at) || !new.is_char_boundary(at) {
        at -= 1;
    }
    let pairs = old[at..].bytes().rev().zip(new[at..].bytes().rev());
    let mut same = pairs.take_while(|(a, b)| a == b).count();
    while !old.is_char_boundary(old.len() - same) || !new.is_char_boundary(new.len() - same) {
        same -= 1;
    }
    Splice {
        base,
        offset: at as u64,
        removed_bytes: (old.len() - same - at) as u64,
        inserted: Arc::from(&new[at..new.len() - same]),
        checksum: xxh3_64(new.as_bytes()),
    }
}

/// Applies a splice to `old`; `None` if it does not fit or the checksum differs.
pub(crate) fn apply_splice(old: &str, splice: &Splice) -> Option<Arc<str>> {
    let at = usize::try_from(splice.offset).ok()?;
    let end = at.checked_add(usize::try_from(splice.removed_bytes).ok()?)?;
    let text = [old.get(..at)?, &splice.inserted, old.get(end..)?].concat();
    (xxh3_64(text.as_bytes()) == splice.checksum).then(|| Arc::from(text))
}
