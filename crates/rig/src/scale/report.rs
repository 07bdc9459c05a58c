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
    /// Bytes of the list.
    pub list_bytes: usize,
    /// What was measured.
    pub outcome: Outcome,
}

/// Whether a size was measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was.
    Measured {
        /// Its figures.
        figures: Vec<Measured>,
        /// How the requests ended that they are of.
        requests: RequestCount,
    },
    /// The dispatchers did not take a list of this size.
    Refused {
        /// What was seen, and what the dispatcher said.
        reason: String,
    },
}

impl Row {
    /// The value of a figure, if it was measured.
    pub fn value(&self, figure: Figure) -> Option<f64> {
        let Outcome::Measured { figures, .. } = &self.outcome else { return None };
        figures.iter().find(|m| m.figure == figure).map(|m| m.value)
    }
}

/// How a figure grows with the workers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Law {
    /// Which figure.
    pub figure: Figure,
    /// The line through its values.
    pub line: Line,
    /// Whether all values are near the line.
    pub linear: bool,
}

/// A measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// What was asked for.
    pub plan: Plan,
    /// One for each size, in the order of the plan.
    pub rows: Vec<Row>,
    /// One for each figure that was measured at two sizes or more.
    pub laws: Vec<Law>,
}

impl Report {
    /// Fits a line to each figure of these rows.
    pub fn new(plan: &Plan, rows: Vec<Row>) -> Report {
        let law = |figure: Figure| {
            let line = fit(&points(&rows, figure))?;
            Some(Law { figure, line, linear: line.is_linear() })
        };
        let laws = Figure::ALL.into_iter().filter_map(law).collect();
        Report { plan: plan.clone(), rows, laws }
    }

    /// The values of a figure by size.
    pub fn points(&self, figure: Figure) -> Vec<Point> {
        points(&self.rows, figure)
    }
}

fn points(rows: &[Row], figure: Figure) -> Vec<Point> {
    let point = |row: &Row| Some(Point { workers: row.workers as f64, value: row.value(figure)? });
    rows.iter().filter_map(point).collect()
}
