//! `basilrack dev`: runs a complete system in this process: several entry VMs on loopback
//! addresses and simulated platform services, under a mixed load whose every response is checked.

mod load;
mod local_cluster;
mod report;
mod tally;

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use crate::dev::load::LoadGenerator;
use crate::dev::local_cluster::LocalCluster;
use crate::dev::report::Report;
use crate::error::Error;
use crate::options::DevOptions;
use crate::status::Status;
use text::LogFormat;
use text::LogLevel;
use text::Text;

/// Embedded configuration, used unless `--text` names another one.
const SAMPLE_CONFIG: &str = include_str!("../../../../examples/graudu-talons.jsonc");
/// Name of the embedded configuration in messages.
const SAMPLE_CONFIG_NAME: &str = "examples/graudu-talons.jsonc";
/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the system until the given time has passed or Ctrl-C is pressed, and prints a report.
///
/// # Errors
///
/// The configuration has faults, or an entry VM or simulated service cannot start or become ready.
pub fn run(options: &DevOptions) -> Result<Status, Error> {
    let (source, text) = read_config(options)?;
    entry::logs::start(LogLevel::Warn, LogFormat::Text);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run_load(options, &source, &text))
}

fn read_config(options: &DevOptions) -> Result<(String, Text), Error> {
    let (name, source) = match &options.text {
        None => (SAMPLE_CONFIG_NAME.to_owned(), SAMPLE_CONFIG.to_owned()),
        Some(path) => {
            let source = fs::read_to_string(path)
                .map_err(|source| Error::Read { path: path.clone(), source })?;
            (path.display().to_string(), source)
        }
    };
    let text = text::parse(&name, &source).map_err(Error::Faults)?;
    Ok((source, text))
}

async fn run_load(options: &DevOptions, source: &str, text: &Text) -> Result<Status, Error> {
    let cluster = LocalCluster::start(options, text).await?;
    if !options.quiet {
        print!("{}", cluster.describe());
    }
    cluster.apply(source).await?;
    let load = Arc::new(LoadGenerator::new(options, text, &cluster));
    let generator = tokio::spawn(load.clone().run());
    let end = tokio::time::sleep(options.duration.unwrap_or(Duration::MAX / 4));
    tokio::pin!(end);
    let mut progress = tokio::time::interval(PROGRESS_INTERVAL);
    loop {
        tokio::select! {
            () = &mut end => break,
            _ = tokio::signal::ctrl_c() => break,
            _ = progress.tick() => {
                if !options.quiet {
                    println!("{}", load.progress());
                }
            }
        }
    }
    load.finish().await;
    generator.abort();
    let burn = cluster.burn().await;
    let report = Report::new(&load, &cluster, burn).await;
    println!("{report}");
    cluster.stop().await;
    Ok(if report.all_passed() { Status::Success } else { Status::Broken })
}
