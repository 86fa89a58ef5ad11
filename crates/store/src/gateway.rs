//! Encoding and decoding of the gateway's JSON. 64-bit numbers are strings, bytes are base64, and
//! fields with a zero value are omitted.

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

/// Reason why a response of the store is invalid.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// It is not JSON or does not match the schema.
    #[error("response does not match the gateway schema: {0}")]
    Json(#[from] serde_json::Error),
    /// A key or value is not base64.
    #[error("key or value is not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A number is malformed or out of range.
    #[error("invalid number: {0}")]
    Number(#[from] ParseIntError),
    /// A number is negative, which the schema does not allow.
    #[error("number {number} is negative")]
    Negative {
        /// Value of the number.
        number: i64,
    },
    /// A key is not UTF-8.
    #[error("key is not utf-8")]
    Key,
    /// A required field is missing.
    #[error("response lacks {0}")]
    Missing(&'static str),
    /// The response exceeds the size limit.
    #[error("response is longer than {limit} bytes")]
    TooLong {
        /// Size limit, in bytes.
        limit: usize,
    },
}

/// Upper bound of decoded lease TTLs, so that adding one to a time cannot overflow.
const MAX_TTL: Duration = Duration::from_secs(365 * 24 * 3600);
/// Maximum length of the message taken from an error body without a `message` field.
const MAX_MESSAGE_CHARS: usize = 200;

/// Error response of the gateway. The code is a gRPC status code, or 0 if there is none.
#[derive(Debug)]
pub(crate) struct GatewayError {
    pub(crate) code: u32,
    pub(crate) message: String,
}

/// Response to the creation of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Id of the lease.
    pub id: LeaseId,
    /// Time to live granted by the store.
    pub ttl: Duration,
}

/// One page of a listing; `more` if entries follow after it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Page {
    pub(crate) listing: Listing,
    pub(crate) more: bool,
}

/// One line of a watch stream.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchLine {
    /// The watch was created.
    Created {
        /// Revision of the store at that time.
        revision: u64,
    },
    /// Progress notification: all changes up to this revision were reported.
    Progress {
        /// The revision.
        revision: u64,
    },
    /// Changes of one revision.
    Changes(Vec<WatchEvent>),
    /// The start revision of the watch was compacted.
    Compacted {
        /// First revision that is still available.
        revision: u64,
    },
    /// The store ended the watch.
    Canceled,
}

pub(crate) fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Exclusive end of the key range that covers `prefix`, base64-encoded.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return encode_base64(&end);
        }
    }
    encode_base64(&[0])
}

/// Request to read or delete one key.
pub(crate) fn single_key(key: &str) -> RangeRequest {
    RangeRequest {
        key: encode_base64(key.as_bytes()),
        range_end: None,
        limit: None,
        revision: None,
    }
}

/// Request to set one key.
pub(crate) fn put_request(key: &str, value: &[u8], lease: Option<LeaseId>) -> PutRequest {
    PutRequest {
        key: encode_base64(key.as_bytes()),
        value: encode_base64(value),
        lease: lease.map(|lease| lease.0.to_string()),
    }
}

/// Condition that a key has a version; 0 means that the key is absent.
pub(crate) fn version_equals(key: &str, version: u64) -> Compare {
    Compare {
        key: encode_base64(key.as_bytes()),
        target: CompareTarget::Mod,
        result: CompareResult::Equal,
        mod_revision: version.to_string(),
    }
}

/// Request to watch a prefix from revision `from` on; 0 means from the next change.
pub(crate) fn watch_request(prefix: &str, from: u64) -> WatchRequest {
    let create_request = WatchCreateRequest {
        key: encode_base64(prefix.as_bytes()),
        range_end: prefix_end(prefix),
        start_revision: from.to_string(),
        progress_notify: true,
    };
    WatchRequest { create_request }
}

fn parse_number(text: Option<&str>) -> Result<u64, DecodeError> {
    let number: i64 = text.unwrap_or("0").parse()?;
    u64::try_from(number).map_err(|_| DecodeError::Negative { number })
}

fn decode_utf8(encoded: &str) -> Result<String, DecodeError> {
    String::from_utf8(STANDARD.decode(encoded)?).map_err(|_| DecodeError::Key)
}

fn parse_revision(header: &ResponseHeader) -> Result<u64, DecodeError> {
    parse_number(header.revision.as_deref())
}

fn decode_entry(kv: &KeyValue) -> Result<Entry, DecodeError> {
    Ok(Entry {
        key: decode_utf8(&kv.key)?,
        value: Bytes::from(STANDARD.decode(kv.value.as_deref().unwrap_or(""))?),
        version: parse_number(kv.mod_revision.as_deref())?,
    })
}

fn decode_range(answer: &RangeResponse) -> Result<Page, DecodeError> {
    let entries = answer.kvs.iter().map(decode_entry).collect::<Result<_, _>>()?;
    let listing = Listing { entries, revision: parse_revision(&answer.header)? };
    Ok(Page { listing, more: answer.more.unwrap_or(false) })
}

fn decode_event(event: &Event) -> Result<WatchEvent, DecodeError> {
    let kv = &event.kv;
    match event.type_ {
        Some(EventType::Delete) => {
            let version = parse_number(kv.mod_revision.as_deref())?;
            Ok(WatchEvent::Delete { key: decode_utf8(&kv.key)?, version })
        }
        Some(EventType::Put) | None => Ok(WatchEvent::Put(decode_entry(kv)?)),
    }
}

pub(crate) fn parse_page(body: &[u8]) -> Result<Page, DecodeError> {
    decode_range(&serde_json::from_slice(body)?)
}

pub(crate) fn parse_put(body: &[u8]) -> Result<u64, DecodeError> {
    parse_revision(&serde_json::from_slice::<PutResponse>(body)?.header)
}

/// Decodes the response to a range request.
///
/// # Errors
/// The response does not match the gateway's schema.
pub fn parse_range(body: &[u8]) -> Result<Listing, DecodeError> {
    Ok(parse_page(body)?.listing)
}

/// Decodes the response to a transaction that changes one key, or reads it if the condition fails.
///
/// # Errors
/// The response does not match the gateway's schema.
pub fn parse_txn(body: &[u8]) -> Result<Cas, DecodeError> {
    let answer: TxnResponse = serde_json::from_slice(body)?;
    if answer.succeeded.unwrap_or(false) {
        return Ok(Cas::Committed { version: parse_revision(&answer.header)? });
    }
    let first = answer.responses.first().and_then(|first| first.response_range.as_ref());
    let found = decode_range(first.ok_or(DecodeError::Missing("response_range"))?)?;
    Ok(Cas::Conflict { current: found.listing.entries.into_iter().next() })
}

/// Decodes one line of a watch stream.
///
/// # Errors
/// The line does not match the gateway's schema.
pub fn parse_watch(line: &[u8]) -> Result<WatchLine, DecodeError> {
    let answer = serde_json::from_slice::<WatchStream>(line)?.result;
    let revision = parse_revision(&answer.header)?;
    let compacted = parse_number(answer.compact_revision.as_deref())?;
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
    Ok(WatchLine::Changes(answer.events.iter().map(decode_event).collect::<Result<_, _>>()?))
}

/// Decodes the response to the creation of a lease.
///
/// # Errors
/// The response does not match the gateway's schema.
pub fn parse_grant(body: &[u8]) -> Result<LeaseGrant, DecodeError> {
    let answer: LeaseResponse = serde_json::from_slice(body)?;
    let id = answer.id.as_deref().ok_or(DecodeError::Missing("ID"))?;
    Ok(LeaseGrant { id: LeaseId(id.parse()?), ttl: parse_ttl(&answer)? })
}

/// Decodes the response to a lease renewal: the time to live, which is zero if the lease no longer
/// exists.
///
/// # Errors
/// The response does not match the gateway's schema.
pub fn parse_renewal(line: &[u8]) -> Result<Duration, DecodeError> {
    parse_ttl(&serde_json::from_slice::<LeaseStream>(line)?.result)
}

fn parse_ttl(answer: &LeaseResponse) -> Result<Duration, DecodeError> {
    Ok(Duration::from_secs(parse_number(answer.ttl.as_deref())?).min(MAX_TTL))
}

pub(crate) fn parse_error_body(body: &[u8]) -> GatewayError {
    let answer: ErrorResponse = serde_json::from_slice(body).unwrap_or_default();
    let message = answer.message.filter(|message| !message.is_empty());
    let start = || String::from_utf8_lossy(body).chars().take(MAX_MESSAGE_CHARS).collect();
    GatewayError { code: answer.code.unwrap_or(0), message: message.unwrap_or_else(start) }
}
