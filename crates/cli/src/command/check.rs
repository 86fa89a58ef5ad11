//! `basilrack check`: reports the faults of a configuration.

use std::path::Path;

use crate::error::Error;
use crate::files;
use crate::options::CheckOptions;
use crate::options::Format;
use crate::output::LineKind;
use crate::output::Output;
use crate::status::Status;
use text::Fault;
use text::FleetSize;
use text::Text;

/// Checks a configuration, and its guarantees against the size of a worker fleet if one is given.
///
/// # Errors
///
/// A file cannot be read, or the fleet file is malformed. Faults of the configuration are printed
/// and not returned as an error.
pub fn run(options: &CheckOptions, output: &mut Output) -> Result<Status, Error> {
    let faults = match files::read_config(&options.file) {
        Ok(read) => check_fleet(&read.text, options.fleet.as_deref())?,
        Err(Error::Faults(faults)) => faults,
        Err(error) => return Err(error),
    };
    match options.format {
        Format::Json => output.json(&faults),
        Format::Table if faults.is_empty() => {
            output.line(LineKind::Success, format!("{}: no faults", options.file.display()));
        }
        Format::Table => faults.iter().for_each(|fault| output.line(LineKind::Error, fault)),
    }
    output.flush()?;
    Ok(if faults.is_empty() { Status::Success } else { Status::Faults })
}

fn check_fleet(text: &Text, path: Option<&Path>) -> Result<Vec<Fault>, Error> {
    let Some(path) = path else { return Ok(Vec::new()) };
    let fleet: FleetSize = files::read_json(path)?;
    Ok(text::check_guarantees(text, &fleet))
}
