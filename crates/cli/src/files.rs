//! Reads and writes files named on the command line.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::error::Error;
use text::Text;

/// A configuration file and its parsed content.
#[derive(Clone, Debug)]
pub struct ConfigFile {
    /// Content of the file, comments included.
    pub source: String,
    /// Parsed configuration.
    pub text: Text,
}

/// Reads a file.
///
/// # Errors
///
/// [`Error::Read`].
pub fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })
}

/// Writes a file.
///
/// # Errors
///
/// [`Error::Write`].
pub fn write(path: &Path, content: &str) -> Result<(), Error> {
    fs::write(path, content).map_err(|source| Error::Write { path: path.to_owned(), source })
}

/// Reads, parses and checks a configuration file.
///
/// # Errors
///
/// [`Error::Read`] or [`Error::Faults`].
pub fn read_config(path: &Path) -> Result<ConfigFile, Error> {
    let source = read(path)?;
    let text = text::parse(&path.display().to_string(), &source).map_err(Error::Faults)?;
    Ok(ConfigFile { source, text })
}

/// Reads and deserializes a JSON file.
///
/// # Errors
///
/// [`Error::Read`] or [`Error::Json`].
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let source = read(path)?;
    serde_json::from_str(&source).map_err(|error| Error::Json {
        path: path.to_owned(),
        line: error.line(),
        column: error.column(),
        reason: error.to_string(),
    })
}
