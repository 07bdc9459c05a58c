//! Text of a report: a Markdown table of the values, and one of the fitted lines.

use crate::scale::figure::Figure;
use crate::scale::load::RequestCount;
use crate::scale::report::{LinearFit, Outcome, Report, Row};
use std::fmt::Write;

/// Renders both tables, followed by a line for each rejected size and each fault.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut text = values_table(report);
    text.push('\n');
    text += &fits_table(&report.fits);
    for row in &report.rows {
        match &row.outcome {
            Outcome::Refused { reason } => {
                let _ = writeln!(text, "\n{} workers: rejected: {reason}", row.workers);
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

/// Summary of a row, printed as soon as the size is measured.
#[must_use]
pub fn row_summary(row: &Row) -> String {
    match &row.outcome {
        Outcome::Measured { requests, .. } => {
            format!(
                "{} workers, a list of {} bytes: {}",
                row.workers,
                row.list_bytes,
                request_summary(requests)
            )
        }
        Outcome::Refused { reason } => format!("{} workers: rejected: {reason}", row.workers),
    }
}

fn request_summary(requests: &RequestCount) -> String {
    let RequestCount { served, refused, failed, not_sent } = requests;
    format!("requests: {served} served, {refused} rejected, {failed} failed, {not_sent} not sent")
}

/// Table with a row for each figure and a column for each size.
fn values_table(report: &Report) -> String {
    let sizes: Vec<String> = report.rows.iter().map(|row| row.workers.to_string()).collect();
    let mut text = format!("| workers | {} |\n|{}\n", sizes.join(" | "), " --- |".repeat(sizes.len() + 1));
    for figure in Figure::ALL {
        let value = |row: &Row| match row.outcome {
            Outcome::Measured { .. } => row.value(figure).map_or("-".to_owned(), format_value),
            Outcome::Refused { .. } => "rejected".to_owned(),
        };
        if report.rows.iter().any(|row| row.value(figure).is_some()) {
            let cells: Vec<String> = report.rows.iter().map(value).collect();
            let _ = writeln!(text, "| {} | {} |", figure.label(), cells.join(" | "));
        }
    }
    text
}

fn fits_table(fits: &[LinearFit]) -> String {
    let mut text = String::from(
        "| figure | slope per worker | constant | largest residual, % of the mean | spread of repetitions, % | linear |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for LinearFit { figure, line, verdict, spread } in fits {
        let residual = format!("{:.1} at {:.0}", line.largest_residual * 100.0, line.residual_at);
        let slope = format_value(line.slope);
        let constant = format_value(line.constant);
        let spread = format!("{:.1}", spread * 100.0);
        let cells = [figure.label(), &slope, &constant, &residual, &spread, verdict.label()];
        let _ = writeln!(text, "| {} |", cells.join(" | "));
    }
    text
}

/// Formats a value with three significant digits, with all integer digits and with at most nine decimal places.
fn format_value(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || size == 0.0 {
        return format!("{value:.0}");
    }
    let digits = (2.0 - size.log10().floor()).clamp(0.0, 9.0) as usize;
    format!("{value:.digits$}")
}
