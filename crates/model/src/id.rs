//! Names of things, one type for each kind.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes an id from its name.
            pub fn new(name: &str) -> $name {
                $name(Arc::from(name))
            }

            /// The name.
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

name!(
    /// A client account.
    AccountId
);
name!(
    /// A backend server.
    BackendId
);
name!(
    /// A rack of workers.
    RackId
);
name!(
    /// A region.
    RegionId
);
name!(
    /// A service of the configuration.
    ServiceId
);
name!(
    /// A placement shard: an availability zone, or a part of one.
    ShardId
);
name!(
    /// A VM.
    VmId
);
name!(
    /// A worker.
    WorkerId
);
name!(
    /// An availability zone.
    ZoneId
);

macro_rules! counter {
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

counter!(
    /// Fencing number of a shard's owner; a later owner has a higher one.
    Epoch
);
counter!(
    /// Revision of the configuration; a later text has a higher one.
    Revision
);

/// An id does not have the expected form.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not a valid id: expected {expected}")]
pub struct ParseIdError {
    text: String,
    expected: &'static str,
}

/// One run of one entry VM's process, drawn at random when it starts.
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

macro_rules! sequenced {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name {
            /// The incarnation that gave the id out.
            pub home: Incarnation,
            /// Its sequence number there.
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

sequenced!(
    /// A request, which only its home incarnation may dispatch.
    RequestId,
    "<home>:<sequence>"
);
sequenced!(
    /// A job, named by the incarnation that accepted it.
    JobId,
    "<incarnation>:<sequence>"
);
