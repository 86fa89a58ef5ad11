//! Faults in a configuration or settings file, with their position and a correction.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Position in a source file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Line, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// One fault in a configuration or settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{file}:{place}: {path}: {message}; {advice}")]
pub struct Fault {
    /// File name, as given by the operator.
    pub file: String,
    /// Position of the fault in the file.
    pub place: Position,
    /// Path of the field, such as `services.billing.timeout`.
    pub path: String,
    /// Description of the fault.
    pub message: String,
    /// Suggested correction.
    pub advice: String,
}
