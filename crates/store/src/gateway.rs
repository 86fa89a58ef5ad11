//! JSON of the store's gateway: 64-bit numbers are strings, bytes are base64, zeros are left out.

use std::num::ParseIntError;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use thiserror::Error;

use crate::api::Cas;
use crate::api::Entry;
use crate::api::LeaseId;
use crate::api::Listing;
use crate::api::WatchEvent;
use crate::types::Compare;
use crate::types::CompareResult;
use crate::types::CompareTarget;
use crate::types::ErrorResponse;
use crate::types::Event;
use crate::types::EventType;
use crate::types::KeyValue;
use crate::types::LeaseResponse;
use crate::types::LeaseStream;
use crate::types::PutRequest;
use crate::types::PutResponse;
use crate::types::RangeRequest;
use crate::types::RangeResponse;
use crate::types::ResponseHeader;
use crate::types::TxnResponse;
use crate::types::WatchCreateRequest;
use crate::types::WatchRequest;
use crate::types::WatchStream;

/// An answer of the store cannot be read.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// It is not the JSON that the gateway defines.
    #[error("not the expected json: {0}")]
    Json(#[from] serde_json::Error),
    /// A key or value is not base64.
    #[error("not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A number is not one, or is out of range.
    #[error("not a number: {0}")]
    Number(#[from] ParseIntError),
    /// A number is below zero where none may be.
    #[error("number {number} is negative")]
    Negative {
        /// The number.
        number: i64,
    },
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

/// Longest time to live that is believed, so that it can be added to any time.
const MAX_TTL: Duration = Duration::from_secs(365 * 24 * 3600);
/// Most characters of an error that is not in the gateway's form.
const MAX_MESSAGE_CHARS: usize = 200;

/// An error as the gateway reports it.
#[derive(Debug)]
pub(crate) struct GatewayError {
    pub(crate) code: u32,
    pub(crate) message: String,
}

/// A lease as it was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Its id.
    pub id: LeaseId,
    /// Time to live.
    pub ttl: Duration,
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

pub(crate) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
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

/// A read of one key.
pub(crate) fn single_key(key: &str) -> RangeRequest {
    RangeRequest { key: encode(key.as_bytes()), range_end: None, limit: None, revision: None }
}

/// A write of one key.
pub(crate) fn put_request(key: &str, value: &[u8], lease: Option<LeaseId>) -> PutRequest {
    PutRequest {
        key: encode(key.as_bytes()),
        value: encode(value),
        lease: lease.map(|lease| lease.0.to_string()),
    }
}

/// The condition that a key has a version; 0 stands for an absent key.
pub(crate) fn version_equals(key: &str, version: u64) -> Compare {
    Compare {
        key: encode(key.as_bytes()),
        target: CompareTarget::Mod,
        result: CompareResult::Equal,
        mod_revision: version.to_string(),
    }
}

/// A watch of a prefix; revision 0 stands for the next change.
pub(crate) fn watch_request(prefix: &str, from: u64) -> WatchRequest {
    let create_request = WatchCreateRequest {
        key: encode(prefix.as_bytes()),
        range_end: prefix_end(prefix),
        start_revision: from.to_string(),
        progress_notify: true,
    };
    WatchRequest { create_request }
}

fn number(text: Option<&str>) -> Result<u64, DecodeError> {
    let number: i64 = text.unwrap_or("0").parse()?;
    u64::try_from(number).map_err(|_| DecodeError::Negative { number })
}

fn text(encoded: &str) -> Result<String, DecodeError> {
    String::from_utf8(STANDARD.decode(encoded)?).map_err(|_| DecodeError::Key)
}

fn revision(header: &ResponseHeader) -> Result<u64, DecodeError> {
    number(header.revision.as_deref())
}

fn entry(kv: &KeyValue) -> Result<Entry, DecodeError> {
    Ok(Entry {
        key: text(&kv.key)?,
        value: Bytes::from(STANDARD.decode(kv.value.as_deref().unwrap_or(""))?),
        version: number(kv.mod_revision.as_deref())?,
    })
}

fn range(answer: &RangeResponse) -> Result<Page, DecodeError> {
    let entries = answer.kvs.iter().map(entry).collect::<Result<_, _>>()?;
    let listing = Listing { entries, revision: revision(&answer.header)? };
    Ok(Page { listing, more: answer.more.unwrap_or(false) })
}

fn event(event: &Event) -> Result<WatchEvent, DecodeError> {
    let kv = &event.kv;
    match event.type_ {
        Some(EventType::Delete) => {
            let version = number(kv.mod_revision.as_deref())?;
            Ok(WatchEvent::Delete { key: text(&kv.key)?, version })
        }
        Some(EventType::Put) | None => Ok(WatchEvent::Put(entry(kv)?)),
    }
}

pub(crate) fn parse_page(body: &[u8]) -> Result<Page, DecodeError> {
    range(&serde_json::from_slice(body)?)
}

pub(crate) fn parse_put(body: &[u8]) -> Result<u64, DecodeError> {
    revision(&serde_json::from_slice::<PutResponse>(body)?.header)
}

/// Reads the answer to a range.
///
/// # Errors
/// The answer is not what the gateway defines.
pub fn parse_range(body: &[u8]) -> Result<Listing, DecodeError> {
    Ok(parse_page(body)?.listing)
}

/// Reads the answer to a transaction that sets or else reads one key.
///
/// # Errors
/// The answer is not what the gateway defines.
pub fn parse_txn(body: &[u8]) -> Result<Cas, DecodeError> {
    let answer: TxnResponse = serde_json::from_slice(body)?;
    if answer.succeeded.unwrap_or(false) {
        return Ok(Cas::Committed { version: revision(&answer.header)? });
    }
    let first = answer.responses.first().and_then(|first| first.response_range.as_ref());
    let found = range(first.ok_or(DecodeError::Missing("response_range"))?)?;
    Ok(Cas::Conflict { current: found.listing.entries.into_iter().next() })
}

/// Reads one line of a watch.
///
/// # Errors
/// The line is not what the gateway defines.
pub fn parse_watch(line: &[u8]) -> Result<WatchLine, DecodeError> {
    let answer = serde_json::from_slice::<WatchStream>(line)?.result;
    let revision = revision(&answer.header)?;
    let compacted = number(answer.compact_revision.as_deref())?;
    if compacted > 0 {
        return Ok(WatchLine::Compacted { revision: compacted });
    }
    if answer.canceled.unwrap_or(false) {
        return Ok(WatchLine::Canceled);
    }
    if answer.created.unwrap_or(false) {
        return Ok(WatchLine::Created { revision });
    }
    if answer.events.is_empty() {
        return Ok(WatchLine::Progress { revision });
    }
    Ok(WatchLine::Changes(answer.events.iter().map(event).collect::<Result<_, _>>()?))
}

/// Reads the answer to a grant.
///
/// # Errors
/// The answer is not what the gateway defines.
pub fn parse_grant(body: &[u8]) -> Result<LeaseGrant, DecodeError> {
    let answer: LeaseResponse = serde_json::from_slice(body)?;
    let id = answer.id.as_deref().ok_or(DecodeError::Missing("ID"))?;
    Ok(LeaseGrant { id: LeaseId(id.parse()?), ttl: ttl(&answer)? })
}

/// Reads the answer to a renewal: the time to live, zero if the lease is gone.
///
/// # Errors
/// The answer is not what the gateway defines.
pub fn parse_renewal(line: &[u8]) -> Result<Duration, DecodeError> {
    ttl(&serde_json::from_slice::<LeaseStream>(line)?.result)
}

fn ttl(answer: &LeaseResponse) -> Result<Duration, DecodeError> {
    Ok(Duration::from_secs(number(answer.ttl.as_deref())?).min(MAX_TTL))
}

pub(crate) fn parse_error_body(body: &[u8]) -> GatewayError {
    let answer: ErrorResponse = serde_json::from_slice(body).unwrap_or_default();
    let message = answer.message.filter(|message| !message.is_empty());
    let start = || String::from_utf8_lossy(body).chars().take(MAX_MESSAGE_CHARS).collect();
    GatewayError { code: answer.code.unwrap_or(0), message: message.unwrap_or_else(start) }
}
