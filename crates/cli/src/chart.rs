//! Draws the burn report as SVG: one panel per service, with the burn rate of each client account
//! over each window and the thresholds of the alerts.

use std::collections::BTreeMap;
use std::error;

use plotters::chart::SeriesLabelPosition;
use plotters::coord::Shift;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::DrawingArea;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
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
const PANEL_WIDTH: u32 = 560;
/// Height of a panel, in pixels.
const PANEL_HEIGHT: u32 = 320;
/// Maximum number of panels side by side.
const PANEL_COLUMNS: usize = 2;
/// Ratio of the upper end of the vertical axis to the highest value.
const HEADROOM_FACTOR: f64 = 1.15;
/// Space left and right of the outermost windows; one unit is the distance between two windows.
const MARGIN_WINDOWS: f64 = 0.3;
/// Number of labels on the vertical axis.
const BURN_AXIS_LABELS: usize = 6;
/// Colour of the threshold line of the slow alert.
const SLOW_ALERT_COLOUR: RGBColor = RGBColor(214, 137, 16);
/// Font of all labels.
const FONT: &str = "sans-serif";

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Panels<'a> = BTreeMap<&'a str, Vec<&'a border::BurnLine>>;

/// Draws the report as an SVG document.
///
/// # Errors
///
/// [`Error::Draw`].
pub fn draw(report: &border::BurnReport) -> Result<String, Error> {
    let mut svg = String::new();
    draw_report(report, &mut svg).map_err(|error| Error::Draw { reason: error.to_string() })?;
    Ok(svg)
}

fn draw_report(report: &border::BurnReport, svg: &mut String) -> Result<(), Box<dyn error::Error>> {
    let mut panels = Panels::new();
    for line in &report.lines {
        panels.entry(&line.service).or_default().push(line);
    }
    let columns = panels.len().clamp(1, PANEL_COLUMNS);
    let rows = panels.len().div_ceil(PANEL_COLUMNS).max(1);
    let size = (PANEL_WIDTH * u32::try_from(columns)?, PANEL_HEIGHT * u32::try_from(rows)?);
    let root = SVGBackend::with_string(svg, size).into_drawing_area();
    root.fill(&WHITE)?;
    if panels.is_empty() {
        let place = (20, i32::try_from(PANEL_HEIGHT / 2)?);
        root.draw(&Text::new("No requests were counted", place, (FONT, 18)))?;
    }
    for ((service, lines), area) in panels.iter().zip(root.split_evenly((rows, columns))) {
        draw_panel(service, lines, &area)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel(
    service: &str,
    lines: &[&border::BurnLine],
    area: &Area<'_>,
) -> Result<(), Box<dyn error::Error>> {
    let all = lines.iter().flat_map(|line| points(line));
    let highest = all.map(|point| point.1).fold(Alert::Fast.rate(), f64::max);
    let windows = lines.iter().map(|line| line.windows.len()).max().unwrap_or(0);
    let last = f64::from(u32::try_from(windows)?).max(2.0) - 1.0;
    let mut chart = ChartBuilder::on(area)
        .caption(service, (FONT, 18).into_font())
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(
            -MARGIN_WINDOWS..last + MARGIN_WINDOWS,
            0.0..highest * HEADROOM_FACTOR,
        )?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(0)
        .y_labels(BURN_AXIS_LABELS)
        .x_labels(windows.max(1) * 2)
        .x_label_formatter(&|at| window_label(lines, *at))
        .y_desc("burn rate")
        .draw()?;
    for (alert, colour) in [(Alert::Fast, RED), (Alert::Slow, SLOW_ALERT_COLOUR)] {
        let rate = alert.rate();
        let series =
            LineSeries::new([(-MARGIN_WINDOWS, rate), (last + MARGIN_WINDOWS, rate)], &colour);
        chart
            .draw_series(series)?
            .label(format!("{alert} alert, {rate}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    for (index, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points(line), colour.stroke_width(2)))?
            .label(&line.account)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        chart.draw_series(points(line).map(|point| Circle::new(point, 3, colour.filled())))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .label_font((FONT, 12))
        .draw()?;
    Ok(())
}

/// Points of a burn line: index of each window and burn rate over it.
fn points(line: &border::BurnLine) -> impl Iterator<Item = (f64, f64)> {
    let burns = line.windows.iter().map(|window| clamp_burn(window.burn));
    (0_u32..).map(f64::from).zip(burns)
}

/// Label at a position of the horizontal axis: the window's name at whole numbers, else empty.
fn window_label(lines: &[&border::BurnLine], at: f64) -> String {
    let index = at.round();
    if (at - index).abs() > 0.01 || index < 0.0 {
        return String::new();
    }
    let windows = lines.iter().map(|line| &line.windows).max_by_key(|windows| windows.len());
    let window = windows.and_then(|windows| windows.get(index as usize));
    window.map_or_else(String::new, |window| window.window.clone())
}

fn clamp_burn(burn: f64) -> f64 {
    if burn.is_finite() { burn.max(0.0) } else { 0.0 }
}
