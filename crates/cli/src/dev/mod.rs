//! Runs a whole system in this process: several entry VMs over loopback, with stand-ins for the
//! platform, under a mixed load whose every answer is checked.

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

/// The configuration that runs unless another one is named.
const SAMPLE: &str = include_str!("../../../../examples/graudu-talons.jsonc");
/// Name of the embedded configuration in messages.
const SAMPLE_NAME: &str = "examples/graudu-talons.jsonc";
/// Interval of the progress lines.
const PROGRESS: Duration = Duration::from_secs(1);

/// Runs the system until its time is over or Ctrl-C, and prints a report.
///
/// # Errors
///
/// The configuration has faults, or a part cannot start.
pub fn run(options: &DevOptions) -> Result<Status, Error> {
    let (source, text) = read_text(options)?;
    entry::logs::start(LogLevel::Warn, LogFormat::Text);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(trial(options, &source, &text))
}

fn read_text(options: &DevOptions) -> Result<(String, Text), Error> {
    let (name, source) = match &options.text {
        None => (SAMPLE_NAME.to_owned(), SAMPLE.to_owned()),
        Some(path) => {
            let source = fs::read_to_string(path)
                .map_err(|source| Error::Read { path: path.clone(), source })?;
            (path.display().to_string(), source)
        }
    };
    let text = text::parse(&name, &source).map_err(Error::Faults)?;
    Ok((source, text))
}

async fn trial(options: &DevOptions, source: &str, text: &Text) -> Result<Status, Error> {
    let cluster = LocalCluster::start(options, text).await?;
    if !options.quiet {
        print!("{}", cluster.describe());
    }
    cluster.apply(source).await?;
    let load = Arc::new(LoadGenerator::new(options, text, &cluster));
    let running = tokio::spawn(load.clone().run());
    let until = tokio::time::sleep(options.duration.unwrap_or(Duration::MAX / 4));
    tokio::pin!(until);
    let mut progress = tokio::time::interval(PROGRESS);
    loop {
        tokio::select! {
            () = &mut until => break,
            _ = tokio::signal::ctrl_c() => break,
            _ = progress.tick() => {
                if !options.quiet {
                    println!("{}", load.progress());
                }
            }
        }
    }
    load.finish().await;
    running.abort();
    let burn = cluster.burn().await;
    let report = Report::new(&load, &cluster, burn).await;
    println!("{report}");
    cluster.stop().await;
    Ok(if report.all_passed() { Status::Success } else { Status::Broken })
}
