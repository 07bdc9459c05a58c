//! Report of a measurement: the figures of all sizes, and how each figure grows with the number of workers.

use crate::scale::figure::{Figure, FigureValue};
use crate::scale::fit::{Line, Point, fit};
use crate::scale::load::RequestCount;
use crate::scale::plan::Plan;
use serde::{Deserialize, Serialize};

/// Result of one size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Number of workers in the list.
    pub workers: usize,
    /// Size of the list in bytes, without framing.
    pub list_bytes: usize,
    /// The figures, or why there are none.
    pub outcome: Outcome,
}

/// Whether a size was measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The size was measured.
    Measured {
        /// Values of the figures.
        figures: Vec<FigureValue>,
        /// Numbers of requests by how they ended.
        requests: RequestCount,
        /// Failures of the move or the restart after the phases.
        faults: Vec<String>,
    },
    /// The dispatchers rejected a list of this size.
    Refused {
        /// What was observed, and what a dispatcher logged.
        reason: String,
    },
}

impl Row {
    /// Value of a figure, if it was measured.
    #[must_use]
    pub fn value(&self, figure: Figure) -> Option<f64> {
        self.measured(figure).map(|measured| measured.value)
    }

    fn measured(&self, figure: Figure) -> Option<&FigureValue> {
        let Outcome::Measured { figures, .. } = &self.outcome else { return None };
        figures.iter().find(|measured| measured.figure == figure)
    }

    /// Combines the repetitions of one size: medians of the figures, sums of the requests. If any repetition was rejected,
    /// the result is that repetition.
    #[must_use]
    pub fn of_repetitions(repetitions: Vec<Row>) -> Option<Row> {
        if let Some(refused) = repetitions.iter().find(|row| matches!(row.outcome, Outcome::Refused { .. })) {
            return Some(refused.clone());
        }
        let first = repetitions.first()?;
        let values = |figure| repetitions.iter().filter_map(|row| row.value(figure)).collect();
        let figures = Figure::ALL
            .into_iter()
            .filter_map(|figure| FigureValue::median_of(figure, values(figure)))
            .collect();
        let mut all_requests = RequestCount::default();
        let mut all_faults = Vec::new();
        for row in &repetitions {
            if let Outcome::Measured { requests, faults, .. } = &row.outcome {
                all_requests += *requests;
                all_faults.extend(faults.iter().cloned());
            }
        }
        let outcome = Outcome::Measured { figures, requests: all_requests, faults: all_faults };
        Some(Row { outcome, ..first.clone() })
    }
}

/// Whether the values of a figure grow linearly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Linearity {
    /// All values are close to the line.
    Linear,
    /// A value is far from the line.
    NotLinear,
    /// A value is far from the line, but repetitions of one size differ by at least as much.
    Noise,
    /// There are too few sizes to check linearity.
    #[serde(rename = "two-sizes")]
    TooFewSizes,
}

impl Linearity {
    fn of(line: &Line, spread: f64) -> Linearity {
        match (line.checked, line.is_linear()) {
            (false, _) => Linearity::TooFewSizes,
            (true, true) => Linearity::Linear,
            (true, false) if spread >= line.largest_residual => Linearity::Noise,
            (true, false) => Linearity::NotLinear,
        }
    }

    /// Text in the table.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Linearity::Linear => "yes",
            Linearity::NotLinear => "NO",
            Linearity::Noise => "unknown: repetitions differ by more",
            Linearity::TooFewSizes => "unknown: too few sizes",
        }
    }
}

/// Line fitted to the values of a figure over the number of workers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LinearFit {
    /// The figure.
    pub figure: Figure,
    /// The fitted line.
    pub line: Line,
    /// Whether the values grow linearly.
    pub verdict: Linearity,
    /// Largest difference between repetitions of one size, as a share of the mean of the absolute values.
    pub spread: f64,
}

/// Report of a measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Parameters of the measurement.
    pub plan: Plan,
    /// Results by size, in the order of the plan.
    pub rows: Vec<Row>,
    /// Fitted lines of the figures that were measured at two sizes or more.
    #[serde(rename = "laws")]
    pub fits: Vec<LinearFit>,
}

impl Report {
    /// Creates the report of these rows, with a line fitted to each figure.
    #[must_use]
    pub fn new(plan: &Plan, rows: Vec<Row>) -> Report {
        let fit_figure = |figure: Figure| {
            let line = fit(&points(&rows, figure))?;
            let spread = spread(&rows, figure);
            Some(LinearFit { figure, line, verdict: Linearity::of(&line, spread), spread })
        };
        let fits = Figure::ALL.into_iter().filter_map(fit_figure).collect();
        Report { plan: plan.clone(), rows, fits }
    }

    /// Values of a figure by size.
    #[must_use]
    pub fn points(&self, figure: Figure) -> Vec<Point> {
        points(&self.rows, figure)
    }
}

fn points(rows: &[Row], figure: Figure) -> Vec<Point> {
    let point = |row: &Row| Some(Point { workers: row.workers as f64, value: row.value(figure)? });
    rows.iter().filter_map(point).collect()
}

/// Largest difference between repetitions of one size, as a share of the mean of the absolute values.
fn spread(rows: &[Row], figure: Figure) -> f64 {
    let values: Vec<&FigureValue> = rows.iter().filter_map(|row| row.measured(figure)).collect();
    let mean = values.iter().map(|measured| measured.value.abs()).sum::<f64>() / values.len().max(1) as f64;
    let most = values.iter().map(|measured| measured.most - measured.least).fold(0.0, f64::max);
    if mean > 0.0 { most / mean } else { 0.0 }
}
