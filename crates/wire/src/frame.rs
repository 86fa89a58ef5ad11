//! Frames between entry VMs.
//!
//! A frame is a CBOR array of a numeric kind and a byte string that holds the CBOR encoded body. A
//! receiver can therefore skip an unknown kind without decoding its body. The hello and heartbeat
//! kinds belong to the peer connection itself; every other kind carries messages of one
//! [`Subsystem`], which encodes and decodes its bodies with [`encode`] and [`decode`].

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;
use thiserror::Error;

use model::Incarnation;
use model::RegionId;
use model::VmId;
use model::ZoneId;

/// Version of the protocol between entry VMs.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum length of a data frame's body, in bytes.
pub const MAX_BODY_LEN: usize = 2 << 20;
/// Maximum length of an encoded frame, in bytes.
pub const MAX_FRAME_LEN: usize = MAX_BODY_LEN + 64;

/// Maximum nesting depth of a decoded value.
const MAX_DEPTH: usize = 64;

const KIND_HELLO: u16 = 0;
const KIND_PING: u16 = 1;
const KIND_PONG: u16 = 2;
const KIND_ROUTE: u16 = 16;
const KIND_GANG: u16 = 17;
const KIND_FLEET: u16 = 18;
const KIND_BURN: u16 = 19;

/// First frame that each side of a connection sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// VM of the sender.
    pub vm: VmId,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Region of the sender.
    pub region: RegionId,
}

impl Hello {
    /// Creates a hello with [`PROTOCOL_VERSION`].
    pub fn new(incarnation: Incarnation, vm: VmId, zone: ZoneId, region: RegionId) -> Hello {
        Hello { version: PROTOCOL_VERSION, incarnation, vm, zone, region }
    }
}

/// Subsystem that a message belongs to.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, AsRefStr, Display, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Subsystem {
    /// Request routing.
    Route,
    /// Job scheduling.
    Gang,
    /// Membership and configuration.
    Fleet,
    /// Error budgets.
    Burn,
}

impl Subsystem {
    fn kind(self) -> u16 {
        match self {
            Subsystem::Route => KIND_ROUTE,
            Subsystem::Gang => KIND_GANG,
            Subsystem::Fleet => KIND_FLEET,
            Subsystem::Burn => KIND_BURN,
        }
    }

    fn from_kind(kind: u16) -> Option<Subsystem> {
        Subsystem::VARIANTS.iter().copied().find(|subsystem| subsystem.kind() == kind)
    }
}

/// A message between two entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Identifies the sender.
    Hello(Hello),
    /// Heartbeat request with its sequence number.
    Ping(u64),
    /// Reply to the ping with this sequence number.
    Pong(u64),
    /// Message of a subsystem.
    Data {
        /// Subsystem that the message belongs to.
        subsystem: Subsystem,
        /// The message, encoded in CBOR.
        body: Bytes,
    },
    /// Frame of a kind that this version does not know; receivers skip it.
    Unknown {
        /// Numeric kind of the frame.
        kind: u16,
    },
}

#[derive(Serialize, Deserialize)]
struct Envelope(u16, Bytes);

#[derive(Deserialize)]
struct VersionOnly {
    version: u16,
}

/// Error of encoding a message or frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The value cannot be represented in CBOR.
    #[error("message cannot be encoded: {reason}")]
    Value {
        /// Error message of the CBOR encoder.
        reason: String,
    },
    /// The body is longer than [`MAX_BODY_LEN`].
    #[error("message of {len} bytes is longer than the limit of {limit} bytes")]
    TooLong {
        /// Length of the body, in bytes.
        len: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
}

/// Error of decoding received bytes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The input is longer than [`MAX_FRAME_LEN`].
    #[error("message of {len} bytes is longer than the limit of {limit} bytes")]
    TooLong {
        /// Length of the input, in bytes.
        len: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The input is not valid CBOR.
    #[error("message is not valid CBOR at byte {offset}")]
    Syntax {
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// The input ends within a value.
    #[error("message ends early")]
    Truncated,
    /// Bytes follow the value.
    #[error("message has {len} bytes after its end")]
    Trailing {
        /// Number of bytes after the value.
        len: usize,
    },
    /// The value is nested too deeply.
    #[error("message is nested more than {MAX_DEPTH} deep")]
    TooDeep,
    /// Valid CBOR, but not of the expected type, for example from a newer version.
    #[error("message has an unexpected form: {reason}")]
    Unexpected {
        /// Error message of the CBOR decoder.
        reason: String,
    },
    /// A hello of another protocol version.
    #[error("protocol version {found} is not supported, expected {PROTOCOL_VERSION}")]
    Version {
        /// Protocol version of the sender.
        found: u16,
    },
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// The body is longer than [`MAX_BODY_LEN`].
    pub fn encode(&self) -> Result<Bytes, EncodeError> {
        let envelope = match self {
            Frame::Hello(hello) => Envelope(KIND_HELLO, encode(hello)?),
            Frame::Ping(sequence) => Envelope(KIND_PING, encode(sequence)?),
            Frame::Pong(sequence) => Envelope(KIND_PONG, encode(sequence)?),
            Frame::Data { subsystem, body } => Envelope(subsystem.kind(), body.clone()),
            Frame::Unknown { kind } => Envelope(*kind, Bytes::new()),
        };
        let len = envelope.1.len();
        if len > MAX_BODY_LEN {
            return Err(EncodeError::TooLong { len, limit: MAX_BODY_LEN });
        }
        write_cbor(&envelope, len)
    }

    /// Decodes a frame from `bytes`.
    ///
    /// # Errors
    ///
    /// The bytes are not a frame, or are a hello of another protocol version.
    pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
        let Envelope(kind, body) = decode(bytes)?;
        match kind {
            KIND_HELLO => decode_hello(&body).map(Frame::Hello),
            KIND_PING => decode(&body).map(Frame::Ping),
            KIND_PONG => decode(&body).map(Frame::Pong),
            _ => Ok(match Subsystem::from_kind(kind) {
                Some(subsystem) => Frame::Data { subsystem, body },
                None => Frame::Unknown { kind },
            }),
        }
    }
}

fn decode_hello(body: &[u8]) -> Result<Hello, DecodeError> {
    let VersionOnly { version } = decode(body)?;
    if version != PROTOCOL_VERSION {
        return Err(DecodeError::Version { found: version });
    }
    decode(body)
}

/// Encodes `value` in CBOR.
///
/// # Errors
///
/// The value cannot be represented in CBOR.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, EncodeError> {
    write_cbor(value, 0)
}

fn write_cbor<T: Serialize>(value: &T, body_len: usize) -> Result<Bytes, EncodeError> {
    const HEADER_LEN: usize = 16;
    let mut bytes = Vec::with_capacity(body_len + HEADER_LEN);
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| EncodeError::Value { reason: error.to_string() })?;
    Ok(bytes.into())
}

/// Decodes a value from `bytes`, which must contain nothing else.
///
/// # Errors
///
/// The input is longer than [`MAX_FRAME_LEN`], is not valid CBOR, does not hold a `T`, or continues
/// after the value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    if bytes.len() > MAX_FRAME_LEN {
        return Err(DecodeError::TooLong { len: bytes.len(), limit: MAX_FRAME_LEN });
    }
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)?;
    match rest.len() {
        0 => Ok(value),
        len => Err(DecodeError::Trailing { len }),
    }
}

impl From<ciborium::de::Error<std::io::Error>> for DecodeError {
    fn from(error: ciborium::de::Error<std::io::Error>) -> DecodeError {
        match error {
            ciborium::de::Error::Io(_) => DecodeError::Truncated,
            ciborium::de::Error::Syntax(offset) => DecodeError::Syntax { offset },
            ciborium::de::Error::Semantic(_, reason) => DecodeError::Unexpected { reason },
            ciborium::de::Error::RecursionLimitExceeded => DecodeError::TooDeep,
        }
    }
}
