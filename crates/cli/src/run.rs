//! Carries out what the options say.

use crate::dev;
use crate::error::Error;
use crate::options::Options;
use crate::status::Status;

/// Carries out a command.
///
/// # Errors
///
/// See [`Error`].
pub fn run(options: Options) -> Result<Status, Error> {
    match options {
        Options::Dev(options) => dev::run(&options),
    }
}
