//! `basilrack man`: generates manual pages.

use crate::app;
use crate::error::Error;
use crate::options::ManOptions;
use crate::output::Output;
use crate::status::Status;

/// Prints the main manual page, or writes one page per command to a folder.
///
/// # Errors
///
/// The pages cannot be written.
pub fn run(options: &ManOptions, output: &mut Output) -> Result<Status, Error> {
    if let Some(folder) = &options.folder {
        let write = |source| Error::Write { path: folder.clone(), source };
        clap_mangen::generate_to(app::build(), folder).map_err(write)?;
        return Ok(Status::Success);
    }
    let mut text = Vec::new();
    clap_mangen::Man::new(app::build()).render(&mut text).map_err(Error::Print)?;
    output.raw(&String::from_utf8_lossy(&text));
    output.flush()?;
    Ok(Status::Success)
}
