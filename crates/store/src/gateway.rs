//! JSON of the store's gateway: 64-bit numbers are strings, bytes are base64, zeros are left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error as _;
use thiserror::Error;

use crate::api::Cas;
use crate::api::Entry;
use crate::api::LeaseId;
use crate::api::Listing;
use crate::api::WatchEvent;

/// An answer of the store cannot be read.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// It is not the JSON that the gateway defines.
    #[error("not the expected json: {0}")]
    Json(#[from] serde_json::Error),
    /// A key or value is not base64.
    #[error("not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A key is not UTF-8.
    #[error("key is not utf-8")]
    Key,
    /// A part is missing that the call cannot do without.
    #[error("answer lacks {0}")]
    Missing(&'static str),
    /// The answer is larger than any that the store may give.
    #[error("answer is longer than {limit} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
}

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) limit: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) revision: Option<String>,
}

#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: String,
    pub(crate) value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) lease: Option<String>,
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: [Compare; 1],
    pub(crate) success: [Operation; 1],
    pub(crate) failure: [Operation; 1],
}

#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: String,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    pub(crate) mod_revision: String,
}

#[derive(Debug, Serialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: CreateRequest,
}

#[derive(Debug, Serialize)]
pub(crate) struct CreateRequest {
    pub(crate) key: String,
    pub(crate) range_end: String,
    pub(crate) start_revision: String,
    pub(crate) progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
struct Header {
    #[serde(default, deserialize_with = "number")]
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "number")]
    mod_revision: u64,
}

#[derive(Debug, Deserialize)]
struct RangeAnswer {
    header: Header,
    #[serde(default)]
    kvs: Vec<KeyValue>,
    #[serde(default)]
    more: bool,
}

#[derive(Debug, Deserialize)]
struct PutAnswer {
    header: Header,
}

#[derive(Debug, Deserialize)]
struct TxnAnswer {
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<OperationAnswer>,
}

#[derive(Debug, Deserialize)]
struct OperationAnswer {
    response_range: Option<RangeAnswer>,
}

#[derive(Debug, Deserialize)]
struct LeaseAnswer {
    #[serde(rename = "ID", default, deserialize_with = "signed")]
    id: i64,
    #[serde(rename = "TTL", default, deserialize_with = "signed")]
    ttl: i64,
}

#[derive(Debug, Deserialize)]
struct Streamed<T> {
    result: T,
}

#[derive(Debug, Deserialize)]
struct WatchAnswer {
    header: Header,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default, deserialize_with = "number")]
    compact_revision: u64,
    #[serde(default)]
    events: Vec<EventAnswer>,
}

#[derive(Debug, Deserialize)]
struct EventAnswer {
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: KeyValue,
}

#[derive(Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Default, Deserialize)]
struct Problem {
    #[serde(default)]
    message: String,
    #[serde(default)]
    code: u32,
}

/// An error as the gateway reports it.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) code: u32,
    pub(crate) message: String,
}

/// A lease as it was granted.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Granted {
    pub(crate) id: LeaseId,
    pub(crate) seconds: u64,
}

/// One page of a range.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Page {
    pub(crate) listing: Listing,
    pub(crate) more: bool,
}

/// One line of a watch.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchLine {
    /// The watch stands.
    Created {
        /// Revision of the store when it was opened.
        revision: u64,
    },
    /// Nothing changed up to a revision.
    Progress {
        /// The revision.
        revision: u64,
    },
    /// Changes of one revision.
    Changes(Vec<WatchEvent>),
    /// The start of the watch is compacted away.
    Compacted {
        /// The first revision that is left.
        revision: u64,
    },
    /// The store ended the watch.
    Canceled,
}

fn number<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    String::deserialize(input)?.parse().map_err(D::Error::custom)
}

fn signed<'de, D: Deserializer<'de>>(input: D) -> Result<i64, D::Error> {
    String::deserialize(input)?.parse().map_err(D::Error::custom)
}

pub(crate) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

pub(crate) fn lease(id: Option<LeaseId>) -> Option<String> {
    id.map(|id| id.0.to_string())
}

/// The end of the range that holds every key under `prefix`.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return encode(&end);
        }
    }
    encode(&[0])
}

fn text(encoded: &str) -> Result<String, DecodeError> {
    String::from_utf8(STANDARD.decode(encoded)?).map_err(|_| DecodeError::Key)
}

impl KeyValue {
    fn into_entry(self) -> Result<Entry, DecodeError> {
        Ok(Entry {
            key: text(&self.key)?,
            value: Bytes::from(STANDARD.decode(&self.value)?),
            version: self.mod_revision,
        })
    }
}

impl RangeAnswer {
    fn into_page(self) -> Result<Page, DecodeError> {
        let entries = self.kvs.into_iter().map(KeyValue::into_entry).collect::<Result<_, _>>()?;
        Ok(Page { listing: Listing { entries, revision: self.header.revision }, more: self.more })
    }
}

impl EventAnswer {
    fn into_event(self) -> Result<WatchEvent, DecodeError> {
        if self.kind == EventKind::Put {
            return Ok(WatchEvent::Put(self.kv.into_entry()?));
        }
        Ok(WatchEvent::Delete { key: text(&self.kv.key)?, version: self.kv.mod_revision })
    }
}

pub(crate) fn page(body: &[u8]) -> Result<Page, DecodeError> {
    serde_json::from_slice::<RangeAnswer>(body)?.into_page()
}

pub(crate) fn put(body: &[u8]) -> Result<u64, DecodeError> {
    Ok(serde_json::from_slice::<PutAnswer>(body)?.header.revision)
}

/// Reads the answer to a range.
///
/// # Errors
/// The answer is not what the gateway defines.
pub fn parse_range(body: &[u8]) -> Result<Listing, DecodeError> {
    Ok(page(body)?.listing)
}

/// Reads the answer to a transaction that sets or else reads one key.
///
/// # Errors
/// The answer is not what the gateway defines.
pub fn parse_txn(body: &[u8]) -> Result<Cas, DecodeError> {
    let answer = serde_json::from_slice::<TxnAnswer>(body)?;
    if answer.succeeded {
        return Ok(Cas::Committed { version: answer.header.revision });
    }
    let first = answer.responses.into_iter().next();
    let range = first.and_then(|first| first.response_range);
    let page = range.ok_or(DecodeError::Missing("response_range"))?.into_page()?;
    Ok(Cas::Conflict { current: page.listing.entries.into_iter().next() })
}

/// Reads one line of a watch.
///
/// # Errors
/// The line is not what the gateway defines.
pub fn parse_watch(line: &[u8]) -> Result<WatchLine, DecodeError> {
    let answer = serde_json::from_slice::<Streamed<WatchAnswer>>(line)?.result;
    let revision = answer.header.revision;
    if answer.compact_revision > 0 {
        return Ok(WatchLine::Compacted { revision: answer.compact_revision });
    }
    if answer.canceled {
        return Ok(WatchLine::Canceled);
    }
    if answer.created {
        return Ok(WatchLine::Created { revision });
    }
    if answer.events.is_empty() {
        return Ok(WatchLine::Progress { revision });
    }
    let events = answer.events.into_iter().map(EventAnswer::into_event);
    Ok(WatchLine::Changes(events.collect::<Result<_, _>>()?))
}

pub(crate) fn granted(body: &[u8]) -> Result<Granted, DecodeError> {
    let answer = serde_json::from_slice::<LeaseAnswer>(body)?;
    if answer.id == 0 {
        return Err(DecodeError::Missing("ID"));
    }
    Ok(Granted { id: LeaseId(answer.id), seconds: u64::try_from(answer.ttl).unwrap_or(0) })
}

/// Time to live in seconds of a renewed lease; 0 if it is gone.
pub(crate) fn renewed(line: &[u8]) -> Result<u64, DecodeError> {
    let answer = serde_json::from_slice::<Streamed<LeaseAnswer>>(line)?.result;
    Ok(u64::try_from(answer.ttl).unwrap_or(0))
}

pub(crate) fn failure(body: &[u8]) -> Failure {
    let problem = serde_json::from_slice::<Problem>(body).unwrap_or_default();
    let message = match problem.message.as_str() {
        "" => String::from_utf8_lossy(body).chars().take(200).collect(),
        message => message.to_owned(),
    };
    Failure { code: problem.code, message }
}
