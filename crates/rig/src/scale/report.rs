//! The sizes of a measurement together, and the law of each figure.

use crate::scale::figure::{Figure, Measured};
use crate::scale::fit::{Line, Point, fit};
use crate::scale::load::RequestCount;
use crate::scale::plan::Plan;
use serde::{Deserialize, Serialize};

/// What came of one size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Workers in the list.
    pub workers: usize,
    /// Bytes of the list on the wire.
    pub list_bytes: usize,
    /// What was measured.
    pub outcome: Outcome,
}

/// Whether a size was measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was measured.
    Measured {
        /// Its figures.
        figures: Vec<Measured>,
        /// How the requests ended.
        requests: RequestCount,
        /// What went wrong after the phases.
        faults: Vec<String>,
    },
    /// The dispatchers rejected a list of this size.
    Refused {
        /// What was observed, and what a dispatcher logged.
        reason: String,
    },
}

impl Row {
    /// The value of a figure, if it was measured.
    #[must_use]
    pub fn value(&self, figure: Figure) -> Option<f64> {
        self.measured(figure).map(|measured| measured.value)
    }

    fn measured(&self, figure: Figure) -> Option<&Measured> {
        let Outcome::Measured { figures, .. } = &self.outcome else { return None };
        figures.iter().find(|measured| measured.figure == figure)
    }

    /// The row of several repetitions of one size: medians, and the requests of all. A rejected repetition is the row.
    #[must_use]
    pub fn of_repetitions(repetitions: Vec<Row>) -> Option<Row> {
        if let Some(refused) = repetitions.iter().find(|row| matches!(row.outcome, Outcome::Refused { .. })) {
            return Some(refused.clone());
        }
        let first = repetitions.first()?;
        let values = |figure| repetitions.iter().filter_map(|row| row.value(figure)).collect();
        let figures =
            Figure::ALL.into_iter().filter_map(|figure| Measured::of(figure, values(figure))).collect();
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

/// Whether the values of a figure follow its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// All are near the line.
    Linear,
    /// One is far from the line.
    NotLinear,
    /// One is far from the line, and repetitions of one size differ by more than that.
    Noise,
    /// There are too few sizes for a verdict.
    TwoSizes,
}

impl Verdict {
    fn of(line: &Line, spread: f64) -> Verdict {
        match (line.checked, line.is_linear()) {
            (false, _) => Verdict::TwoSizes,
            (true, true) => Verdict::Linear,
            (true, false) if spread >= line.largest_residual => Verdict::Noise,
            (true, false) => Verdict::NotLinear,
        }
    }

    /// Its text in the table.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Verdict::Linear => "yes",
            Verdict::NotLinear => "NO",
            Verdict::Noise => "not told: plays differ by more",
            Verdict::TwoSizes => "two sizes cannot tell",
        }
    }
}

/// How a figure grows with the workers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Law {
    /// Which figure.
    pub figure: Figure,
    /// The line through its values.
    pub line: Line,
    /// Whether they follow it.
    pub verdict: Verdict,
    /// The most by which repetitions of one size differ, as a share of the mean of the values.
    pub spread: f64,
}

/// A measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The plan.
    pub plan: Plan,
    /// A row for each size, in the order of the plan.
    pub rows: Vec<Row>,
    /// A law for each figure that was measured at two sizes or more.
    pub laws: Vec<Law>,
}

impl Report {
    /// Fits a line to each figure of these rows.
    #[must_use]
    pub fn new(plan: &Plan, rows: Vec<Row>) -> Report {
        let law = |figure: Figure| {
            let line = fit(&points(&rows, figure))?;
            let spread = spread(&rows, figure);
            Some(Law { figure, line, verdict: Verdict::of(&line, spread), spread })
        };
        let laws = Figure::ALL.into_iter().filter_map(law).collect();
        Report { plan: plan.clone(), rows, laws }
    }

    /// The values of a figure by size.
    #[must_use]
    pub fn points(&self, figure: Figure) -> Vec<Point> {
        points(&self.rows, figure)
    }
}

fn points(rows: &[Row], figure: Figure) -> Vec<Point> {
    let point = |row: &Row| Some(Point { workers: row.workers as f64, value: row.value(figure)? });
    rows.iter().filter_map(point).collect()
}

/// The most by which repetitions of one size differ, as a share of the mean.
fn spread(rows: &[Row], figure: Figure) -> f64 {
    let values: Vec<&Measured> = rows.iter().filter_map(|row| row.measured(figure)).collect();
    let mean = values.iter().map(|measured| measured.value.abs()).sum::<f64>() / values.len().max(1) as f64;
    let most = values.iter().map(|measured| measured.most - measured.least).fold(0.0, f64::max);
    if mean > 0.0 { most / mean } else { 0.0 }
}
