//! Frames between entry VMs.
//!
//! A frame is a CBOR array of a kind and a byte string, which holds the body in CBOR of its own. A
//! receiver can so pass over a kind that it does not know without reading the body. Heartbeats and
//! the hello belong to the peer channel; everything else belongs to a [`Subsystem`], which
//! encodes and decodes its bodies with [`encode`] and [`decode`].

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
/// Longest body of a data frame, in bytes.
pub const MAX_BODY_LEN: usize = 2 << 20;
/// Longest frame, in bytes.
pub const MAX_FRAME_LEN: usize = MAX_BODY_LEN + 64;

/// Deepest nesting of a decoded value.
const MAX_DEPTH: usize = 64;

const KIND_HELLO: u16 = 0;
const KIND_PING: u16 = 1;
const KIND_PONG: u16 = 2;
const KIND_ROUTE: u16 = 16;
const KIND_GANG: u16 = 17;
const KIND_FLEET: u16 = 18;
const KIND_BURN: u16 = 19;

/// First frame of each side of a connection.
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
    /// A hello of this version of the program.
    pub fn new(incarnation: Incarnation, vm: VmId, zone: ZoneId, region: RegionId) -> Hello {
        Hello { version: PROTOCOL_VERSION, incarnation, vm, zone, region }
    }
}

/// Subsystem of the system that a message belongs to.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, AsRefStr, Display, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Subsystem {
    /// Requests.
    Route,
    /// Jobs.
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

/// One message of a peer channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Names the sender.
    Hello(Hello),
    /// Heartbeat with its sequence number.
    Ping(u64),
    /// Answer to the heartbeat of that number.
    Pong(u64),
    /// Message of a part.
    Data {
        /// The part.
        subsystem: Subsystem,
        /// Its message, in CBOR.
        body: Bytes,
    },
    /// A kind that this version does not know.
    Unknown {
        /// The kind.
        kind: u16,
    },
}

#[derive(Serialize, Deserialize)]
struct Envelope(u16, Bytes);

#[derive(Deserialize)]
struct VersionOnly {
    version: u16,
}

/// A value cannot be sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The value has no CBOR form.
    #[error("message cannot be encoded: {reason}")]
    Value {
        /// What the encoder said.
        reason: String,
    },
    /// The message is longer than a frame may be.
    #[error("message of {len} bytes is longer than the limit of {limit} bytes")]
    TooLong {
        /// Its length, in bytes.
        len: usize,
        /// The limit, in bytes.
        limit: usize,
    },
}

/// Received bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// More bytes than a frame may have.
    #[error("message of {len} bytes is longer than the limit of {limit} bytes")]
    TooLong {
        /// Its length, in bytes.
        len: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The bytes are not CBOR.
    #[error("message is not valid CBOR at byte {offset}")]
    Syntax {
        /// Where it stops being valid.
        offset: usize,
    },
    /// The bytes end within a value.
    #[error("message ends early")]
    Truncated,
    /// Bytes follow the value.
    #[error("message has {len} bytes after its end")]
    Trailing {
        /// How many.
        len: usize,
    },
    /// The value is nested too deeply.
    #[error("message is nested more than {MAX_DEPTH} deep")]
    TooDeep,
    /// Valid CBOR, but not of the expected type: a newer version may have sent it.
    #[error("message has an unexpected form: {reason}")]
    Unexpected {
        /// What the decoder said.
        reason: String,
    },
    /// A hello of another protocol version.
    #[error("protocol version {found} is not supported, expected {PROTOCOL_VERSION}")]
    Version {
        /// The version it names.
        found: u16,
    },
}

impl Frame {
    /// The frame's bytes.
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
        write(&envelope, len)
    }

    /// The frame that `bytes` hold.
    ///
    /// # Errors
    ///
    /// The bytes are no frame, or a hello of another version.
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

/// The CBOR form of `value`.
///
/// # Errors
///
/// The value has no CBOR form.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, EncodeError> {
    write(value, 0)
}

fn write<T: Serialize>(value: &T, len: usize) -> Result<Bytes, EncodeError> {
    const HEAD_LEN: usize = 16;
    let mut bytes = Vec::with_capacity(len + HEAD_LEN);
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| EncodeError::Value { reason: error.to_string() })?;
    Ok(bytes.into())
}

/// The value that `bytes` hold in CBOR, all of them.
///
/// # Errors
///
/// The bytes are too many, are not CBOR, or hold something else than a `T`.
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
