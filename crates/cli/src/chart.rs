//! Draws the burn report: one panel for each service and client account, with its burn over each
//! window and the rates at which alerts fire.

use std::error;

use plotters::coord::Shift;
use plotters::prelude::BLACK;
use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::DrawingArea;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::RED;
use plotters::prelude::SVGBackend;
use plotters::prelude::Text;
use plotters::prelude::WHITE;
use plotters::style::Color;
use plotters::style::IntoFont;
use plotters::style::RGBColor;

use crate::error::Error;
use burn::Alert;
use wire::border;

/// Width of a panel, in pixels.
const PANEL_WIDTH: u32 = 480;
/// Height of a panel, in pixels.
const PANEL_HEIGHT: u32 = 280;
/// Panels in a row.
const COLUMNS: usize = 2;
/// Space above the highest value, as a factor.
const HEADROOM: f64 = 1.2;
/// Colour of the slow alert's rate.
const AMBER: RGBColor = RGBColor(214, 137, 16);
/// Font of all labels.
const FONT: &str = "sans-serif";

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// The report as SVG.
///
/// # Errors
///
/// [`Error::Draw`].
pub fn draw(report: &border::BurnReport) -> Result<String, Error> {
    let mut svg = String::new();
    paint(report, &mut svg).map_err(|error| Error::Draw { reason: error.to_string() })?;
    Ok(svg)
}

fn paint(report: &border::BurnReport, svg: &mut String) -> Result<(), Box<dyn error::Error>> {
    let columns = report.lines.len().clamp(1, COLUMNS);
    let rows = report.lines.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL_WIDTH * u32::try_from(columns)?, PANEL_HEIGHT * u32::try_from(rows)?);
    let root = SVGBackend::with_string(svg, size).into_drawing_area();
    root.fill(&WHITE)?;
    if report.lines.is_empty() {
        let place = (20, i32::try_from(PANEL_HEIGHT / 2)?);
        root.draw(&Text::new("No requests were counted", place, (FONT, 18)))?;
    }
    for (line, area) in report.lines.iter().zip(root.split_evenly((rows, columns))) {
        panel(line, &area)?;
    }
    root.present()?;
    Ok(())
}

fn panel(line: &border::BurnLine, area: &Area<'_>) -> Result<(), Box<dyn error::Error>> {
    let points: Vec<(f64, f64)> = (0u32..)
        .map(f64::from)
        .zip(line.windows.iter().map(|window| finite(window.burn)))
        .collect();
    let highest = points.iter().map(|point| point.1).fold(Alert::Fast.rate(), f64::max);
    let last = f64::from(u32::try_from(points.len())?).max(2.0) - 1.0;
    let title = format!("{} for {}", line.service, line.account);
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, 16).into_font())
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(-0.3..last + 0.3, 0.0..highest * HEADROOM)?;
    let label = |at: &f64| window_label(line, *at);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(points.len().max(1) * 2)
        .x_label_formatter(&label)
        .y_desc("burn")
        .draw()?;
    for (alert, colour) in [(Alert::Fast, RED), (Alert::Slow, AMBER)] {
        let rate = alert.rate();
        let ends = [(-0.3, rate), (last + 0.3, rate)];
        chart.draw_series(LineSeries::new(ends, &colour))?;
        let label = format!("{alert} alert, {rate}");
        let style = (FONT, 11).into_font().color(&colour);
        chart.draw_series([Text::new(label, (-0.25, rate + highest * 0.07), style)])?;
    }
    chart.draw_series(LineSeries::new(points.clone(), BLUE.stroke_width(2)))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, BLUE.filled())))?;
    chart.draw_series(points.iter().map(|point| {
        let style = (FONT, 11).into_font().color(&BLACK);
        Text::new(format!("{:.2}", point.1), (point.0 + 0.05, point.1 + highest * 0.08), style)
    }))?;
    Ok(())
}

/// Name of the window at a place of the horizontal axis, which only whole numbers have.
fn window_label(line: &border::BurnLine, at: f64) -> String {
    let index = at.round();
    if (at - index).abs() > 0.01 || index < 0.0 {
        return String::new();
    }
    line.windows.get(index as usize).map_or_else(String::new, |window| window.window.clone())
}

fn finite(burn: f64) -> f64 {
    if burn.is_finite() { burn.max(0.0) } else { 0.0 }
}
