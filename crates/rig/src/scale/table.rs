//! A measurement as text: a table of the values, and one of the laws.

use crate::scale::figure::Figure;
use crate::scale::load::RequestCount;
use crate::scale::report::{Law, Outcome, Report, Row};
use std::fmt::Write;

/// Both tables, and a line for each size that was rejected and for each fault.
#[must_use]
pub fn text(report: &Report) -> String {
    let mut text = values(report);
    text.push('\n');
    text += &laws(&report.laws);
    for row in &report.rows {
        match &row.outcome {
            Outcome::Refused { reason } => {
                let _ = writeln!(text, "\n{} workers: refused: {reason}", row.workers);
            }
            Outcome::Measured { faults, .. } => {
                for fault in faults {
                    let _ = writeln!(text, "\n{} workers: {fault}", row.workers);
                }
            }
        }
    }
    text
}

/// The line that is shown as soon as a size is measured.
#[must_use]
pub fn line(row: &Row) -> String {
    match &row.outcome {
        Outcome::Measured { requests, .. } => {
            format!("{} workers, a list of {} bytes: {}", row.workers, row.list_bytes, ends(requests))
        }
        Outcome::Refused { reason } => format!("{} workers: refused: {reason}", row.workers),
    }
}

fn ends(requests: &RequestCount) -> String {
    let RequestCount { served, refused, failed, not_sent } = requests;
    format!("requests: {served} served, {refused} refused, {failed} failed, {not_sent} not sent")
}

/// A row for each figure, a column for each size.
fn values(report: &Report) -> String {
    let sizes: Vec<String> = report.rows.iter().map(|row| row.workers.to_string()).collect();
    let mut text = format!("| workers | {} |\n|{}\n", sizes.join(" | "), " --- |".repeat(sizes.len() + 1));
    for figure in Figure::ALL {
        let value = |row: &Row| match row.outcome {
            Outcome::Measured { .. } => row.value(figure).map_or("-".to_owned(), shown),
            Outcome::Refused { .. } => "refused".to_owned(),
        };
        if report.rows.iter().any(|row| row.value(figure).is_some()) {
            let cells: Vec<String> = report.rows.iter().map(value).collect();
            let _ = writeln!(text, "| {} | {} |", figure.label(), cells.join(" | "));
        }
    }
    text
}

fn laws(laws: &[Law]) -> String {
    let mut text = String::from(
        "| figure | a worker adds | constant | largest residual, % of the mean | plays differ by, % | linear |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for Law { figure, line, verdict, spread } in laws {
        let residual = format!("{:.1} at {:.0}", line.largest_residual * 100.0, line.residual_at);
        let slope = shown(line.slope);
        let constant = shown(line.constant);
        let spread = format!("{:.1}", spread * 100.0);
        let cells = [figure.label(), &slope, &constant, &residual, &spread, verdict.label()];
        let _ = writeln!(text, "| {} |", cells.join(" | "));
    }
    text
}

/// Three significant digits, or all before the point; at most nine behind it.
fn shown(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || size == 0.0 {
        return format!("{value:.0}");
    }
    let digits = (2.0 - size.log10().floor()).clamp(0.0, 9.0) as usize;
    format!("{value:.digits$}")
}
