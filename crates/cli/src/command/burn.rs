//! `basilrack burn`: shows error budgets and burn rates.

use crate::chart;
use crate::client::Client;
use crate::error::Error;
use crate::files;
use crate::options::BurnOptions;
use crate::options::Format;
use crate::page::Page;
use crate::page::Row;
use crate::page::Tone;
use crate::page::time;
use crate::status::Status;
use wire::border;

/// Shows error budgets and burn rates, and draws them if that is wanted.
///
/// # Errors
///
/// No entry VM answers, or the drawing cannot be written.
pub async fn run(options: &BurnOptions, client: &Client, page: &mut Page) -> Result<Status, Error> {
    let report: border::BurnReport = client.read("/v1/burn").await?;
    if let Some(path) = &options.svg {
        files::write(path, &chart::draw(&report)?)?;
    }
    match options.format {
        Format::Json => page.json(&report),
        Format::Table => write(&report, page),
    }
    page.show()?;
    Ok(Status::Success)
}

/// Adds the report as tables.
pub fn write(report: &border::BurnReport, page: &mut Page) {
    page.line(Tone::Head, format!("Error budgets at {}", time(report.as_of_ms)));
    let rows: Vec<Row> = report.lines.iter().map(budget).collect();
    page.table(&["service", "account", "objective", "budget left", "alert"], &rows);
    page.heading("Windows");
    let rows: Vec<Row> = report
        .lines
        .iter()
        .flat_map(|line| line.windows.iter().map(move |part| window(line, part)))
        .collect();
    let header =
        ["service", "account", "window", "burn", "good", "bad", "unknown", "window covered"];
    page.table(&header, &rows);
    page.doubts(&report.unknown);
}

fn budget(line: &border::BurnLine) -> Row {
    let tone = if line.alert.is_some() { Tone::Bad } else { Tone::Plain };
    let cells = [
        line.service.clone(),
        line.account.clone(),
        format!("{}%", line.objective * 100.0),
        percent(line.left),
        line.alert.clone().unwrap_or_default(),
    ];
    Row::new(tone, cells)
}

fn window(line: &border::BurnLine, part: &border::BurnWindow) -> Row {
    let tone = if part.unknown > 0 || part.covered < 1.0 { Tone::Doubt } else { Tone::Plain };
    let cells = [
        line.service.clone(),
        line.account.clone(),
        part.window.clone(),
        format!("{:.2}", part.burn),
        part.good.to_string(),
        part.bad.to_string(),
        part.unknown.to_string(),
        percent(part.covered),
    ];
    Row::new(tone, cells)
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
