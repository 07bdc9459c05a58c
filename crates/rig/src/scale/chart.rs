//! Chart of a measurement: the values of each figure, and the line fitted to them.

use crate::run_chart::ChartError;
use crate::scale::figure::Figure;
use crate::scale::report::{LinearFit, Linearity, Report};
use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

/// Width and height of the panel of one figure, in pixels.
const PANEL_SIZE: (u32, u32) = (380, 260);
/// Panels in a row.
const COLUMNS: usize = 3;
/// Length of an axis, as a multiple of the highest value on it.
const HEADROOM: f64 = 1.15;
/// Radius of the dot that marks a value, in pixels.
const DOT_RADIUS: i32 = 4;

type DrawResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;

/// Renders the chart as SVG.
///
/// # Errors
///
/// The chart library cannot draw it.
pub fn svg(report: &Report) -> Result<String, ChartError> {
    let mut text = String::new();
    draw(report, &mut text)?;
    Ok(text)
}

fn draw(report: &Report, text: &mut String) -> DrawResult {
    let measured: Vec<Figure> =
        Figure::ALL.into_iter().filter(|figure| !report.points(*figure).is_empty()).collect();
    let rows = measured.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL_SIZE.0 * COLUMNS as u32, PANEL_SIZE.1 * rows as u32);
    let area = SVGBackend::with_string(text, size).into_drawing_area();
    area.fill(&WHITE)?;
    if measured.is_empty() {
        area.titled("no size was measured", ("sans-serif", 14))?;
    }
    for (panel, figure) in area.split_evenly((rows, COLUMNS)).iter().zip(measured) {
        draw_figure(report, figure, panel)?;
    }
    area.present()
}

fn draw_figure(report: &Report, figure: Figure, area: &DrawingArea<SVGBackend<'_>, Shift>) -> DrawResult {
    let points: Vec<(f64, f64)> =
        report.points(figure).iter().map(|point| (point.workers, point.value)).collect();
    let fit = report.fits.iter().find(|fit| fit.figure == figure);
    let right = points.iter().map(|point| point.0).fold(1.0, f64::max) * HEADROOM;
    let line: Vec<(f64, f64)> =
        fit.iter().flat_map(|fit| [0.0, right].map(|workers| (workers, fit.line.at(workers)))).collect();
    let values = || points.iter().chain(&line).map(|point| point.1);
    let top = values().fold(0.0, f64::max) * HEADROOM;
    let bottom = values().fold(0.0, f64::min) * HEADROOM;
    let top = if top > bottom { top } else { bottom + 1.0 };
    let mut chart = ChartBuilder::on(area)
        .caption(title(figure, fit), ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..right, bottom..top)?;
    chart
        .configure_mesh()
        .x_desc("workers")
        .x_labels(6)
        .y_labels(6)
        .x_label_formatter(&|workers| format!("{workers:.0}"))
        .max_light_lines(0)
        .draw()?;
    let is_not_linear = fit.is_some_and(|fit| fit.verdict == Linearity::NotLinear);
    let colour = if is_not_linear { RGBColor(190, 20, 20) } else { RGBColor(20, 120, 60) };
    chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
    chart.draw_series(points.into_iter().map(|point| Circle::new(point, DOT_RADIUS, colour.filled())))?;
    Ok(())
}

fn title(figure: Figure, fit: Option<&LinearFit>) -> String {
    match fit {
        Some(fit) if fit.verdict == Linearity::NotLinear => format!("{} (not linear)", figure.label()),
        _ => figure.label().to_owned(),
    }
}
