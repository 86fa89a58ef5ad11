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

/// Shows error budgets and burn rates, and writes them as an SVG chart if a file is given.
///
/// # Errors
///
/// No entry VM responds, or the chart cannot be written.
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

/// Writes the report as tables to `output`.
pub fn write(report: &border::BurnReport, output: &mut Output) {
    output.line(LineKind::Heading, format!("Error budgets at {}", format_time(report.as_of_ms)));
    let first = report.lines.first().map_or(&[][..], |line| &line.windows);
    let windows = first.iter().map(|window| window.window.as_str());
    let mut header = vec!["service", "account", "objective", "budget left"];
    header.extend(windows);
    header.push("alert");
    let rows: Vec<Row> = report.lines.iter().map(budget_row).collect();
    output.table(&header, &rows);
    output.heading("Windows");
    let rows: Vec<Row> = (0..first.len())
        .filter_map(|index| WindowTotal::new(&report.lines, index))
        .map(window_row)
        .collect();
    output.table(&["window", "good", "bad", "unknown", "covered"], &rows);
    output.unknowns(&report.unknown);
}

fn budget_row(line: &border::BurnLine) -> Row {
    let kind = if line.alert.is_some() { LineKind::Error } else { LineKind::Plain };
    let (service, account) = (line.service.clone(), line.account.clone());
    let mut cells =
        vec![service, account, format_objective(line.objective), format_percent(line.left)];
    cells.extend(line.windows.iter().map(|window| format!("{:.2}", window.burn)));
    cells.push(line.alert.clone().unwrap_or_default());
    Row::new(kind, cells)
}

/// Counts of one window, summed over all services and client accounts; `covered` is the minimum.
#[derive(Clone, Debug)]
struct WindowTotal<'r> {
    window: &'r str,
    good: u64,
    bad: u64,
    unknown: u64,
    covered: f64,
}

impl WindowTotal<'_> {
    fn new(lines: &[border::BurnLine], index: usize) -> Option<WindowTotal<'_>> {
        let windows = || lines.iter().filter_map(|line| line.windows.get(index));
        let sum = |count: fn(&border::BurnWindow) -> u64| windows().map(count).sum();
        Some(WindowTotal {
            window: &windows().next()?.window,
            good: sum(|window| window.good),
            bad: sum(|window| window.bad),
            unknown: sum(|window| window.unknown),
            covered: windows().map(|window| window.covered).fold(1.0, f64::min),
        })
    }
}

fn window_row(total: WindowTotal<'_>) -> Row {
    let kind = if total.unknown > 0 { LineKind::Warning } else { LineKind::Plain };
    let counts = [total.good, total.bad, total.unknown].map(|count| count.to_string());
    let [good, bad, unknown] = counts;
    Row::new(kind, [total.window.to_owned(), good, bad, unknown, format_percent(total.covered)])
}

/// Formats an objective as a percentage with at most four decimals and no trailing zeros, which
/// hides floating-point rounding errors.
fn format_objective(share: f64) -> String {
    let digits = format!("{:.4}", share * 100.0);
    format!("{}%", digits.trim_end_matches('0').trim_end_matches('.'))
}

fn format_percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
