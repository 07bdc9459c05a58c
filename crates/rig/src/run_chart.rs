//! The page of a run: what ended in each second, with the faults marked, as SVG.

use crate::report::Report;
use crate::scenario::Scenario;
use plotters::prelude::*;

/// Its size in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Room above the highest value, for the names of the faults.
const ROOM: f64 = 1.3;

/// A fault as marked: its name, from when, until when, in seconds.
fn faults(scenario: &Scenario) -> Vec<(String, f64, f64)> {
    let group = |g: &crate::links::ParticipantGroup| String::from(g.clone());
    let cuts = scenario.cuts.iter().map(|c| {
        let arrow = if c.one_way { ">" } else { "x" };
        (format!("{} {arrow} {}: {:?}", group(&c.from), group(&c.to), c.fault), c.from_s, c.until_s)
    });
    let outages =
        scenario.list.outages.iter().map(|o| (format!("list: {:?}", o.failure), o.from_s, o.until_s));
    let events =
        scenario.events.iter().map(|e| (format!("{}: {:?}", group(&e.targets), e.kind), e.at_s, e.at_s));
    cuts.chain(outages).chain(events).collect()
}

/// The page of a run, as SVG, or why there is none.
pub fn svg(scenario: &Scenario, report: &Report) -> Result<String, String> {
    let mut text = String::new();
    draw(scenario, report, &mut text).map_err(|e| e.to_string())?;
    Ok(text)
}

fn draw(scenario: &Scenario, report: &Report, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = report.by_second.len().max(1) as f64;
    let most = report.by_second.iter().flatten().copied().max().unwrap_or(1).max(1) as f64 * ROOM;
    let (d, w) = report.size;
    let title = format!("{}: {d} dispatchers, {w} workers, seed {}", report.scenario, report.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..seconds, 0.0..most)?;
    chart.configure_mesh().x_desc("seconds since the start").y_desc("tries that ended, a second").draw()?;
    for (i, (name, from, until)) in faults(scenario).into_iter().enumerate() {
        let shade = RGBColor(200, 60, 60).mix(0.12);
        let until = until.max(from + seconds / 300.0);
        chart.draw_series([Rectangle::new([(from, 0.0), (until, most)], shade.filled())])?;
        let at = (from, most * (1.0 - 0.04 * (i % 6 + 1) as f64));
        chart.draw_series([Text::new(name, at, ("sans-serif", 11).into_font())])?;
    }
    let lines = [
        ("served", RGBColor(20, 120, 60)),
        ("refused", RGBColor(220, 140, 0)),
        ("failed or lost", RGBColor(190, 20, 20)),
    ];
    for (kind, (name, colour)) in lines.into_iter().enumerate() {
        let points = report.by_second.iter().enumerate().map(|(s, n)| (s as f64 + 0.5, n[kind] as f64));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
