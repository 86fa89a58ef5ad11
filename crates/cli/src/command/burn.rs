//! `basilrack burn`: shows error budgets and burn rates.

use crate::chart;
use crate::client::Client;
use crate::error::Error;
use crate::files;
use crate::options::BurnOptions;
use crate::options::Format;
use crate::output::LineKind;
use crate::output::Output;
use crate::output::Row;
use crate::output::format_time;
use crate::status::Status;
use wire::border;

/// Shows error budgets and burn rates, and draws them if that is wanted.
///
/// # Errors
///
/// No entry VM answers, or the drawing cannot be written.
pub async fn run(
    options: &BurnOptions,
    client: &Client,
    output: &mut Output,
) -> Result<Status, Error> {
    let report: border::BurnReport = client.read("/v1/burn").await?;
    if let Some(path) = &options.svg {
        files::write(path, &chart::draw(&report)?)?;
    }
    match options.format {
        Format::Json => output.json(&report),
        Format::Table => write(&report, output),
    }
    output.flush()?;
    Ok(Status::Success)
}

/// Adds the report as tables.
pub fn write(report: &border::BurnReport, output: &mut Output) {
    output.line(LineKind::Heading, format!("Error budgets at {}", format_time(report.as_of_ms)));
    let first = report.lines.first().map_or(&[][..], |line| &line.windows);
    let windows = first.iter().map(|window| window.window.as_str());
    let mut header = vec!["service", "account", "objective", "budget left"];
    header.extend(windows);
    header.push("alert");
    let rows: Vec<Row> = report.lines.iter().map(budget).collect();
    output.table(&header, &rows);
    output.heading("Windows");
    let rows: Vec<Row> =
        (0..first.len()).filter_map(|index| Total::new(&report.lines, index)).map(row).collect();
    output.table(&["window", "good", "bad", "unknown", "covered"], &rows);
    output.unknowns(&report.unknown);
}

fn budget(line: &border::BurnLine) -> Row {
    let tone = if line.alert.is_some() { LineKind::Error } else { LineKind::Plain };
    let (service, account) = (line.service.clone(), line.account.clone());
    let mut cells = vec![service, account, objective(line.objective), percent(line.left)];
    cells.extend(line.windows.iter().map(|window| format!("{:.2}", window.burn)));
    cells.push(line.alert.clone().unwrap_or_default());
    Row::new(tone, cells)
}

/// One window of all services and client accounts.
#[derive(Clone, Debug)]
struct Total<'r> {
    window: &'r str,
    good: u64,
    bad: u64,
    unknown: u64,
    covered: f64,
}

impl Total<'_> {
    fn new(lines: &[border::BurnLine], index: usize) -> Option<Total<'_>> {
        let windows = || lines.iter().filter_map(|line| line.windows.get(index));
        let sum = |count: fn(&border::BurnWindow) -> u64| windows().map(count).sum();
        Some(Total {
            window: &windows().next()?.window,
            good: sum(|window| window.good),
            bad: sum(|window| window.bad),
            unknown: sum(|window| window.unknown),
            covered: windows().map(|window| window.covered).fold(1.0, f64::min),
        })
    }
}

fn row(total: Total<'_>) -> Row {
    let tone = if total.unknown > 0 { LineKind::Warning } else { LineKind::Plain };
    let counts = [total.good, total.bad, total.unknown].map(|count| count.to_string());
    let [good, bad, unknown] = counts;
    Row::new(tone, [total.window.to_owned(), good, bad, unknown, percent(total.covered)])
}

/// An objective without the digits that its binary form brings.
fn objective(share: f64) -> String {
    let digits = format!("{:.4}", share * 100.0);
    format!("{}%", digits.trim_end_matches('0').trim_end_matches('.'))
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
