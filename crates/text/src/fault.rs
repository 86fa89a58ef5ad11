//! What is wrong with a text, where, and what to write instead.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Position in a source file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// One defect of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{file}:{place}: {path}: {message}; {advice}")]
pub struct Fault {
    /// File name as the operator gave it.
    pub file: String,
    /// Where the defect is.
    pub place: Position,
    /// Path of the field, such as `services.billing.timeout`.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub advice: String,
}
