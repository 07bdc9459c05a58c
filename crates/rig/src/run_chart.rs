//! Draws the chart of a run: the attempts that ended in each second, with the faults marked, as SVG.

use crate::report::Report;
use crate::scenario::Scenario;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use thiserror::Error;

/// Width and height in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);
/// Ratio of the axis height to the highest value, which leaves space for the names of the faults.
const HEADROOM: f64 = 1.3;
/// Number of rows for the names of faults.
const NAME_ROWS: usize = 6;
/// Height of such a row, as a share of the axis height.
const NAME_ROW_SHARE: f64 = 0.04;
/// The minimum width of a fault's mark is the duration of the run divided by this.
const MIN_FAULT_WIDTH_DIVISOR: f64 = 300.0;

/// A chart cannot be drawn.
#[derive(Debug, Error)]
#[error("the chart cannot be drawn")]
pub struct ChartError(#[from] DrawingAreaErrorKind<std::io::Error>);

/// The mark of a fault or an event, with its times in seconds since the start of the run.
struct MarkedFault {
    name: String,
    from_s: f64,
    until_s: f64,
}

fn marked_faults(scenario: &Scenario) -> Vec<MarkedFault> {
    let mut marked = Vec::new();
    for link_fault in &scenario.cuts {
        let arrow = if link_fault.one_way { ">" } else { "x" };
        marked.push(MarkedFault {
            name: format!("{} {arrow} {}: {:?}", link_fault.from, link_fault.to, link_fault.fault),
            from_s: link_fault.from_s,
            until_s: link_fault.until_s,
        });
    }
    for outage in &scenario.list.outages {
        let name = format!("list: {:?}", outage.failure);
        marked.push(MarkedFault { name, from_s: outage.from_s, until_s: outage.until_s });
    }
    for event in &scenario.events {
        let name = format!("{}: {:?}", event.targets, event.kind);
        marked.push(MarkedFault { name, from_s: event.at_s, until_s: event.at_s });
    }
    marked
}

/// Draws the chart of a run as SVG.
///
/// # Errors
///
/// The chart library cannot draw it.
pub fn svg(scenario: &Scenario, report: &Report) -> Result<String, ChartError> {
    let mut text = String::new();
    draw(scenario, report, &mut text)?;
    Ok(text)
}

type DrawResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn draw(scenario: &Scenario, report: &Report, text: &mut String) -> DrawResult {
    let area = SVGBackend::with_string(text, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = report.by_second.len().max(1) as f64;
    let highest = report.by_second.iter().flatten().copied().max().unwrap_or(1).max(1);
    let top = highest as f64 * HEADROOM;
    let size = report.size;
    let title = format!(
        "{}: {} dispatchers, {} workers, seed {}",
        report.scenario, size.dispatchers, size.workers, report.seed
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..seconds, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the start")
        .y_desc("attempts that ended per second")
        .draw()?;
    draw_faults(&mut chart, scenario, seconds, top)?;
    draw_attempt_ends(&mut chart, report)?;
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()
}

fn draw_faults(chart: &mut Chart<'_, '_>, scenario: &Scenario, seconds: f64, top: f64) -> DrawResult {
    let shade = RGBColor(200, 60, 60).mix(0.12);
    for (number, fault) in marked_faults(scenario).into_iter().enumerate() {
        let until_s = fault.until_s.max(fault.from_s + seconds / MIN_FAULT_WIDTH_DIVISOR);
        chart.draw_series([Rectangle::new([(fault.from_s, 0.0), (until_s, top)], shade.filled())])?;
        let row = (number % NAME_ROWS + 1) as f64;
        let position = (fault.from_s, top * (1.0 - NAME_ROW_SHARE * row));
        chart.draw_series([Text::new(fault.name, position, ("sans-serif", 11).into_font())])?;
    }
    Ok(())
}

fn draw_attempt_ends(chart: &mut Chart<'_, '_>, report: &Report) -> DrawResult {
    let lines = [
        ("served", RGBColor(20, 120, 60)),
        ("refused", RGBColor(220, 140, 0)),
        ("failed or lost", RGBColor(190, 20, 20)),
    ];
    for (kind, (name, colour)) in lines.into_iter().enumerate() {
        let point = |(second, ends): (usize, &[usize; 3])| (second as f64 + 0.5, ends[kind] as f64);
        let points = report.by_second.iter().enumerate().map(point);
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    Ok(())
}
