//! The chart of a figure by size with its fitted line, as SVG.

use crate::error::CapacityError;
use crate::report::{Report, Series};
use plotters::prelude::*;

/// The size of the chart, in pixels.
const SIZE: (u32, u32) = (760, 400);
/// The length of the axes as a multiple of the largest size and of the highest value.
const AXIS_MARGIN: f64 = 1.1;
/// The color of the measured values.
const MEASURED: RGBColor = RGBColor(20, 90, 160);
/// The color of the fitted line.
const FITTED: RGBColor = RGBColor(190, 60, 20);

/// Why the SVG backend could not draw a chart.
pub type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// The chart of one figure, as SVG.
///
/// # Errors
/// [`CapacityError::Chart`] if it cannot be drawn.
pub fn svg(report: &Report, series: &Series) -> Result<String, CapacityError> {
    let mut text = String::new();
    draw(report, series, &mut text)?;
    Ok(text)
}

fn draw(report: &Report, series: &Series, text: &mut String) -> Result<(), DrawError> {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let largest = series.points.iter().map(|p| f64::from(p.size)).fold(1.0, f64::max) * AXIS_MARGIN;
    let highest = series.points.iter().map(|p| p.max()).fold(f64::MIN_POSITIVE, f64::max) * AXIS_MARGIN;
    let title = format!("{}: {}, {}", report.experiment, series.name, series.unit);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..largest, 0.0..highest)?;
    chart.configure_mesh().x_desc(report.size_label).y_desc(series.unit).draw()?;
    let medians = series.points.iter().map(|p| (f64::from(p.size), p.median()));
    chart.draw_series(LineSeries::new(medians, MEASURED.stroke_width(2)))?;
    for point in &series.points {
        let size = f64::from(point.size);
        let spread = vec![(size, point.min()), (size, point.max())];
        chart.draw_series([PathElement::new(spread, MEASURED.stroke_width(1))])?;
        chart.draw_series([Circle::new((size, point.median()), 3, MEASURED.filled())])?;
    }
    if let Some(fit) = &series.linear_fit {
        let line = [(0.0, fit.value_at(0.0)), (largest, fit.value_at(largest))];
        chart.draw_series(LineSeries::new(line, FITTED.stroke_width(1)))?;
    }
    area.present()?;
    Ok(())
}
