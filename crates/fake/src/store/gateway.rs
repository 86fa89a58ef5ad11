//! JSON messages of etcd's gRPC gateway.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use crate::store::kv::KeyRange;
use crate::store::kv::Operation;
use crate::store::kv::Record;

/// Bytes, encoded in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Blob(pub(crate) Bytes);

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Blob, D::Error> {
        let text = String::deserialize(input)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Blob(Bytes::from(bytes)))
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        output.serialize_str(&STANDARD.encode(&self.0))
    }
}

/// A 64-bit integer, encoded as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Number(pub(crate) i64);

impl Number {
    pub(crate) fn unsigned(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }

    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl From<u64> for Number {
    fn from(number: u64) -> Number {
        Number(i64::try_from(number).unwrap_or(i64::MAX))
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Number, D::Error> {
        String::deserialize(input)?.parse().map(Number).map_err(D::Error::custom)
    }
}

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        output.collect_str(&self.0)
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct RangeRequest {
    key: Blob,
    range_end: Option<Blob>,
    #[serde(default)]
    pub(crate) limit: Number,
    #[serde(default)]
    revision: Number,
}

#[derive(Debug, Deserialize)]
pub(crate) struct PutRequest {
    key: Blob,
    #[serde(default)]
    value: Blob,
    #[serde(default)]
    lease: Number,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    #[serde(default)]
    pub(crate) success: Vec<RequestOp>,
    #[serde(default)]
    pub(crate) failure: Vec<RequestOp>,
}

#[derive(Debug, PartialEq, Eq, Deserialize)]
pub(crate) enum Target {
    #[serde(rename = "MOD")]
    Mod,
}

#[derive(Debug, PartialEq, Eq, Deserialize)]
pub(crate) enum Relation {
    #[serde(rename = "EQUAL")]
    Equal,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Compare {
    pub(crate) key: Blob,
    #[serde(rename = "target")]
    _target: Target,
    #[serde(rename = "result")]
    _relation: Relation,
    #[serde(default)]
    pub(crate) mod_revision: Number,
}

#[derive(Debug, Deserialize)]
pub(crate) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

#[derive(Debug, Deserialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Number,
    #[serde(rename = "ID", default)]
    pub(crate) id: Number,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Number,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: CreateRequest,
}

#[derive(Debug, Deserialize)]
pub(crate) struct CreateRequest {
    key: Blob,
    range_end: Option<Blob>,
    #[serde(default)]
    pub(crate) start_revision: Number,
    #[serde(default)]
    pub(crate) progress_notify: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct Header {
    revision: Number,
}

#[derive(Debug, Serialize)]
pub(crate) struct KeyValue {
    key: Blob,
    #[serde(skip_serializing_if = "Number::is_zero")]
    create_revision: Number,
    mod_revision: Number,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<Blob>,
    #[serde(skip_serializing_if = "Number::is_zero")]
    lease: Number,
}

#[derive(Debug, Serialize)]
pub(crate) struct RangeAnswer {
    header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "is_false")]
    more: bool,
    #[serde(skip_serializing_if = "Number::is_zero")]
    count: Number,
}

#[derive(Debug, Serialize)]
pub(crate) struct HeaderAnswer {
    pub(crate) header: Header,
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnAnswer {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "is_false")]
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<ResponseOp>,
}

#[derive(Debug, Serialize)]
pub(crate) enum ResponseOp {
    #[serde(rename = "response_range")]
    Range(RangeAnswer),
    #[serde(rename = "response_put")]
    Put(HeaderAnswer),
    #[serde(rename = "response_delete_range")]
    Delete(DeleteAnswer),
}

#[derive(Debug, Serialize)]
pub(crate) struct DeleteAnswer {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub(crate) deleted: Number,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseAnswer {
    pub(crate) header: Header,
    #[serde(rename = "ID")]
    pub(crate) id: Number,
    #[serde(rename = "TTL", skip_serializing_if = "Number::is_zero")]
    pub(crate) ttl: Number,
}

#[derive(Debug, Serialize)]
pub(crate) struct StreamAnswer<T> {
    pub(crate) result: T,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchAnswer {
    pub(crate) header: Header,
    #[serde(skip_serializing_if = "is_false")]
    pub(crate) created: bool,
    #[serde(skip_serializing_if = "is_false")]
    pub(crate) canceled: bool,
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub(crate) compact_revision: Number,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) events: Vec<Event>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Event {
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    kind: Option<&'static str>,
    kv: KeyValue,
}

#[derive(Debug, Serialize)]
pub(crate) struct ErrorAnswer {
    pub(crate) error: String,
    pub(crate) code: u32,
    pub(crate) message: String,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

pub(crate) fn header(revision: u64) -> Header {
    Header { revision: revision.into() }
}

impl RangeRequest {
    fn key_range(&self) -> KeyRange {
        KeyRange { start: self.key.0.clone(), end: end_key(&self.range_end) }
    }

    pub(crate) fn operation(&self) -> Operation {
        Operation::Range { key_range: self.key_range(), revision: self.revision.unsigned() }
    }
}

impl PutRequest {
    pub(crate) fn operation(&self) -> Operation {
        let PutRequest { key, value, lease } = self;
        Operation::Put { key: key.0.clone(), value: value.0.clone(), lease: lease.0 }
    }
}

impl RequestOp {
    pub(crate) fn operation(&self) -> Operation {
        match self {
            RequestOp::Range(range) => range.operation(),
            RequestOp::Put(put) => put.operation(),
            RequestOp::Delete(range) => Operation::Delete { key_range: range.key_range() },
        }
    }
}

impl CreateRequest {
    pub(crate) fn key_range(&self) -> KeyRange {
        KeyRange { start: self.key.0.clone(), end: end_key(&self.range_end) }
    }
}

impl From<Record> for KeyValue {
    fn from(record: Record) -> KeyValue {
        KeyValue {
            key: Blob(record.key),
            create_revision: record.version.created.into(),
            mod_revision: record.version.revision.into(),
            value: record.version.value.map(Blob),
            lease: Number(record.version.lease),
        }
    }
}

impl From<Record> for Event {
    fn from(record: Record) -> Event {
        let kind = record.version.value.is_none().then_some("DELETE");
        Event { kind, kv: record.into() }
    }
}

pub(crate) fn range_answer(revision: u64, mut records: Vec<Record>, limit: u64) -> RangeAnswer {
    let count = records.len() as u64;
    let kept = if limit == 0 { count } else { count.min(limit) };
    records.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    RangeAnswer {
        header: header(revision),
        kvs: records.into_iter().map(KeyValue::from).collect(),
        more: kept < count,
        count: count.into(),
    }
}

fn end_key(range_end: &Option<Blob>) -> Option<Bytes> {
    range_end.as_ref().map(|end| end.0.clone()).filter(|end| !end.is_empty())
}
