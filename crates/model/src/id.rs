//! Typed ids of accounts, servers, zones, requests and jobs, and version numbers.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an id from its name.
            pub fn new(name: &str) -> $name {
                $name(Arc::from(name))
            }

            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> $name {
                $name::new(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

string_id!(
    /// A client account.
    AccountId
);
string_id!(
    /// A backend server.
    BackendId
);
string_id!(
    /// A rack of workers.
    RackId
);
string_id!(
    /// A region.
    RegionId
);
string_id!(
    /// A service defined in the configuration.
    ServiceId
);
string_id!(
    /// A placement shard: an availability zone or a part of one.
    ShardId
);
string_id!(
    /// A VM.
    VmId
);
string_id!(
    /// A worker.
    WorkerId
);
string_id!(
    /// An availability zone.
    ZoneId
);

macro_rules! version_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

version_number!(
    /// Fencing token of a shard's owner; increases with each new owner.
    Epoch
);
version_number!(
    /// Revision of the configuration; increases with each new version.
    Revision
);

/// A text is not an id of the expected format.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not a valid id: expected {expected}")]
pub struct ParseIdError {
    text: String,
    expected: &'static str,
}

/// Random number that identifies one run of an entry VM's process, drawn at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Incarnation, ParseIdError> {
        let valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = if valid { u64::from_str_radix(text, 16).ok() } else { None };
        number
            .map(Incarnation)
            .ok_or_else(|| ParseIdError { text: text.to_owned(), expected: "16 hex digits" })
    }
}

macro_rules! sequence_id {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name {
            /// The incarnation that assigned the id.
            pub home: Incarnation,
            /// Sequence number within that incarnation.
            pub sequence: u64,
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}:{}", self.home, self.sequence)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<$name, ParseIdError> {
                let invalid =
                    || ParseIdError { text: text.to_owned(), expected: $expected };
                let (home, sequence) = text.split_once(':').ok_or_else(invalid)?;
                let home = home.parse().map_err(|_| invalid())?;
                let digits = sequence.bytes().all(|b| b.is_ascii_digit());
                let sequence = sequence.parse().ok().filter(|_| digits).ok_or_else(invalid)?;
                Ok($name { home, sequence })
            }
        }
    };
}

sequence_id!(
    /// A request. Only the incarnation that assigned its id may dispatch it.
    RequestId,
    "<home>:<sequence>"
);
sequence_id!(
    /// A job. The incarnation that accepted it assigned its id.
    JobId,
    "<incarnation>:<sequence>"
);
