///Condition of a transaction.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Compare {
    ///The key. Base64.
    pub key: ::std::string::String,
    ///Revision of the last change to the key. A 64-bit number.
    pub mod_revision: ::std::string::String,
    pub result: CompareResult,
    pub target: CompareTarget,
}
///How it is compared.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum CompareResult {
    #[serde(rename = "EQUAL")]
    Equal,
}
impl ::std::fmt::Display for CompareResult {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Equal => f.write_str("EQUAL"),
        }
    }
}
impl ::std::str::FromStr for CompareResult {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "EQUAL" => Ok(Self::Equal),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for CompareResult {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for CompareResult {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///What is compared.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum CompareTarget {
    #[serde(rename = "MOD")]
    Mod,
}
impl ::std::fmt::Display for CompareTarget {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Mod => f.write_str("MOD"),
        }
    }
}
impl ::std::str::FromStr for CompareTarget {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "MOD" => Ok(Self::Mod),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for CompareTarget {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for CompareTarget {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Why a call failed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct ErrorResponse {
    ///Status code of gRPC.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub code: ::std::option::Option<u32>,
    ///What happened.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub message: ::std::option::Option<::std::string::String>,
}
///A change.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Event {
    pub kv: KeyValue,
    #[serde(rename = "type", skip_serializing_if = "::std::option::Option::is_none")]
    pub type_: ::std::option::Option<EventType>,
}
///Kind of a change.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum EventType {
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
}
impl ::std::fmt::Display for EventType {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Put => f.write_str("PUT"),
            Self::Delete => f.write_str("DELETE"),
        }
    }
}
impl ::std::str::FromStr for EventType {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "PUT" => Ok(Self::Put),
            "DELETE" => Ok(Self::Delete),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EventType {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EventType {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The part of the store's JSON gateway that the client uses.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct Gateway(pub ::serde_json::Value);
impl ::std::ops::Deref for Gateway {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Gateway> for ::serde_json::Value {
    fn from(value: Gateway) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Gateway {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///Takes out a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GrantRequest {
    ///Time to live, in seconds. A 64-bit number.
    #[serde(rename = "TTL")]
    pub ttl: ::std::string::String,
}
///A key with its value.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KeyValue {
    ///The key. Base64.
    pub key: ::std::string::String,
    ///Revision of the last change. A 64-bit number.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub mod_revision: ::std::option::Option<::std::string::String>,
    ///The value. Base64.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::std::string::String>,
}
///Renews or ends a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    ///The lease. A 64-bit number.
    #[serde(rename = "ID")]
    pub id: ::std::string::String,
}
///Answer to a grant or a renewal.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct LeaseResponse {
    ///The lease. A 64-bit number.
    #[serde(rename = "ID", skip_serializing_if = "::std::option::Option::is_none")]
    pub id: ::std::option::Option<::std::string::String>,
    ///Time to live, in seconds; none if the lease is gone. A 64-bit number.
    #[serde(rename = "TTL", skip_serializing_if = "::std::option::Option::is_none")]
    pub ttl: ::std::option::Option<::std::string::String>,
}
///A renewal, as it is streamed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseStream {
    pub result: LeaseResponse,
}
///Sets a key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PutRequest {
    ///The key. Base64.
    pub key: ::std::string::String,
    ///Lease that the key goes with. A 64-bit number.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<::std::string::String>,
    ///The value. Base64.
    pub value: ::std::string::String,
}
///Answer to a write.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PutResponse {
    pub header: ResponseHeader,
}
///Reads a key or a range of keys, or names those to delete.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RangeRequest {
    ///First key. Base64.
    pub key: ::std::string::String,
    ///Most entries to return. A 64-bit number.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limit: ::std::option::Option<::std::string::String>,
    ///Key after the last one; none for one key alone. Base64.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub range_end: ::std::option::Option<::std::string::String>,
    ///Revision to read at. A 64-bit number.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<::std::string::String>,
}
///Answer to a read.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RangeResponse {
    pub header: ResponseHeader,
    ///The entries, by key.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub kvs: ::std::vec::Vec<KeyValue>,
    ///Whether the limit left entries out.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub more: ::std::option::Option<bool>,
}
///One operation of a transaction.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct RequestOp {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request_delete_range: ::std::option::Option<RangeRequest>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request_put: ::std::option::Option<PutRequest>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request_range: ::std::option::Option<RangeRequest>,
}
///Head of an answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct ResponseHeader {
    ///Revision of the store. A 64-bit number.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<::std::string::String>,
}
///Answer to one operation.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct ResponseOp {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub response_put: ::std::option::Option<PutResponse>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub response_range: ::std::option::Option<RangeResponse>,
}
///Runs operations by a condition.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TxnRequest {
    ///The conditions.
    pub compare: ::std::vec::Vec<Compare>,
    ///Operations if they do not.
    pub failure: ::std::vec::Vec<RequestOp>,
    ///Operations if they hold.
    pub success: ::std::vec::Vec<RequestOp>,
}
///Answer to a transaction.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TxnResponse {
    pub header: ResponseHeader,
    ///Answers to the operations.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub responses: ::std::vec::Vec<ResponseOp>,
    ///Whether the condition held.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub succeeded: ::std::option::Option<bool>,
}
///Opens a watch.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchCreateRequest {
    ///First key. Base64.
    pub key: ::std::string::String,
    ///Whether to report progress when nothing changes.
    pub progress_notify: bool,
    ///Key after the last one. Base64.
    pub range_end: ::std::string::String,
    ///First revision to report. A 64-bit number.
    pub start_revision: ::std::string::String,
}
///A message to a watch.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchRequest {
    pub create_request: WatchCreateRequest,
}
///A report of a watch.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchResponse {
    ///Whether the watch has ended.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub canceled: ::std::option::Option<bool>,
    ///First revision that is left, if the watch began before it. A 64-bit number.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub compact_revision: ::std::option::Option<::std::string::String>,
    ///Whether the watch was opened.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub created: ::std::option::Option<bool>,
    ///Changes of one revision.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub events: ::std::vec::Vec<Event>,
    pub header: ResponseHeader,
}
///A report, as it is streamed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchStream {
    pub result: WatchResponse,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
