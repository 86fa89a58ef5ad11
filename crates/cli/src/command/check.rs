//! `basilrack check`: names every fault of a configuration.

use std::path::Path;

use crate::error::Error;
use crate::files;
use crate::options::CheckOptions;
use crate::options::Format;
use crate::page::Page;
use crate::page::Tone;
use crate::status::Status;
use text::Fault;
use text::FleetSize;
use text::Text;

/// Checks a configuration by itself, and against a fleet of workers if one is given.
///
/// # Errors
///
/// A file cannot be read. Faults of the configuration are no error: they are printed.
pub fn run(options: &CheckOptions, page: &mut Page) -> Result<Status, Error> {
    let faults = match files::read_text(&options.file) {
        Ok(read) => check_fleet(&read.text, options.fleet.as_deref())?,
        Err(Error::Faults(faults)) => faults,
        Err(error) => return Err(error),
    };
    match options.format {
        Format::Json => page.json(&faults),
        Format::Table if faults.is_empty() => {
            page.line(Tone::Good, format!("{}: no faults", options.file.display()));
        }
        Format::Table => faults.iter().for_each(|fault| page.line(Tone::Bad, fault)),
    }
    page.show()?;
    Ok(if faults.is_empty() { Status::Success } else { Status::Faults })
}

fn check_fleet(text: &Text, path: Option<&Path>) -> Result<Vec<Fault>, Error> {
    let Some(path) = path else { return Ok(Vec::new()) };
    let fleet: FleetSize = files::read_json(path)?;
    Ok(text::check_guarantees(text, &fleet))
}
