//! Execution verdict of a request or job.

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::EnumString;
use strum::VariantArray;

/// Whether a request or job ran, as far as is known.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// It did not run and will not run under this id.
    NotRun,
    /// It ran, and its complete response is known.
    Ran,
    /// It may have run.
    Unknown,
}

impl Verdict {
    /// Whether a non-idempotent request can safely be resent under a new id.
    pub fn permits_resend(self) -> bool {
        self == Verdict::NotRun
    }

    /// Verdict of a request with two attempts: `Ran` if either ran, otherwise `Unknown` if either
    /// is unknown.
    pub fn combine(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
            (Verdict::Unknown, _) | (_, Verdict::Unknown) => Verdict::Unknown,
            (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
        }
    }
}
