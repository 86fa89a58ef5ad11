//! Runs the mode of `basilrackd` that the command line selects.

use std::fs;
use std::path::Path;

use log::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::bounded;
use crate::error::Error;
use crate::logs;
use crate::node::Listeners;
use crate::node::Node;
use crate::options::Mode;
use crate::options::Options;
use text::HostSettings;
use text::Settings;

/// Runs `basilrackd` until it is stopped, or checks its settings.
///
/// # Errors
///
/// The settings are invalid, the entry VM cannot start, or the other entry VMs fenced it; see
/// [`Error`].
pub fn run(options: &Options) -> Result<(), Error> {
    match options.mode {
        Mode::Host | Mode::CheckHost => return run_host(options),
        Mode::Serve | Mode::Check => {}
    }
    let settings = read_settings(&options.settings)?;
    match options.mode {
        Mode::Check => {
            println!("{}: settings are valid", options.settings.display());
            Ok(())
        }
        _ => {
            logs::start(settings.log_level, settings.log_format);
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .enable_all()
                .build()
                .map_err(Error::Runtime)?;
            runtime.block_on(serve(&settings, options.quiet))
        }
    }
}

fn run_host(options: &Options) -> Result<(), Error> {
    let path = &options.settings;
    let settings = read_host_settings(path)?;
    if options.mode == Mode::CheckHost {
        node::check(&settings).map_err(Error::Host)?;
        println!("{}: settings are valid", path.display());
        return Ok(());
    }
    logs::start_stdout(settings.log_level, settings.log_format);
    let result =
        node::run(settings, || read_host_settings(path).map_err(|error| error.to_string()));
    let result = result.map_err(Error::Host);
    bounded::flush();
    result
}

fn read_host_settings(path: &Path) -> Result<HostSettings, Error> {
    let source = read_file(path)?;
    text::parse_host_settings(&path.display().to_string(), &source).map_err(Error::Settings)
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::ReadSettings { path: path.to_owned(), source })
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file cannot be read, or it is invalid; the error lists all faults.
pub fn read_settings(path: &Path) -> Result<Settings, Error> {
    let source = read_file(path)?;
    text::parse_settings(&path.display().to_string(), &source).map_err(Error::Settings)
}

async fn serve(settings: &Settings, quiet: bool) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Runtime)?;
    let mut node = Node::start(settings, Listeners::bind(settings)?)?;
    if !quiet {
        println!("serving callers on http://{}", node.callers());
    }
    let fenced = tokio::select! {
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
        () = node.fenced() => true,
    };
    node.stop().await;
    if fenced {
        info!("node: ended because the other entry VMs fenced this process");
        return Err(Error::Fenced);
    }
    Ok(())
}
