//! The figures of a run by size with their fitted lines, as a table and as JSON.

use crate::error::CapacityError;
use crate::figure::{Figure, FigureKind};
use crate::fit::{LinearFit, Point};
use serde::Serialize;
use std::fmt::Write;

/// The values of one figure at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Samples {
    /// The size.
    pub size: u32,
    /// One value per repetition, in order.
    #[serde(rename = "plays")]
    pub values: Vec<f64>,
}

impl Samples {
    fn sorted(&self) -> Vec<f64> {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        sorted
    }

    /// The median; the lower one of two middle values.
    pub fn median(&self) -> f64 {
        let sorted = self.sorted();
        sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// The smallest value.
    pub fn min(&self) -> f64 {
        self.sorted().first().copied().unwrap_or(0.0)
    }

    /// The largest value.
    pub fn max(&self) -> f64 {
        self.sorted().last().copied().unwrap_or(0.0)
    }
}

/// One figure over all sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// Its name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Whether it is deterministic for a seed.
    pub kind: FigureKind,
    /// The measured values by size.
    pub points: Vec<Samples>,
    /// The line through the medians; none if there are too few sizes.
    #[serde(rename = "law")]
    pub linear_fit: Option<LinearFit>,
}

impl Series {
    /// The median at a size, if that was simulated.
    pub fn median_at(&self, size: u32) -> Option<f64> {
        self.points.iter().find(|p| p.size == size).map(Samples::median)
    }

    fn fit(&mut self) {
        let point = |m: &Samples| Point { size: f64::from(m.size), value: m.median() };
        let points: Vec<Point> = self.points.iter().map(point).collect();
        self.linear_fit = LinearFit::fit(&points);
    }
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// What a size counts.
    #[serde(rename = "size_is")]
    pub size_label: &'static str,
    /// The seed of the first repetition; each further one adds 1.
    pub seed: u64,
    /// Repetitions of each size.
    #[serde(rename = "plays")]
    pub repetitions: u32,
    /// The figures.
    pub series: Vec<Series>,
}

impl Report {
    /// A report without figures.
    pub fn new(experiment: &'static str, size_label: &'static str, seed: u64, repetitions: u32) -> Report {
        Report { experiment, size_label, seed, repetitions, series: Vec::new() }
    }

    /// Adds the figures of one repetition at a size.
    pub fn add(&mut self, size: u32, figures: &[Figure]) {
        for figure in figures {
            let points = self.samples_of(figure);
            match points.iter_mut().find(|p| p.size == size) {
                Some(point) => point.values.push(figure.value),
                None => points.push(Samples { size, values: vec![figure.value] }),
            }
        }
    }

    fn samples_of(&mut self, figure: &Figure) -> &mut Vec<Samples> {
        let index = self.series.iter().position(|s| s.name == figure.name).unwrap_or_else(|| {
            let Figure { name, unit, kind, .. } = *figure;
            self.series.push(Series { name, unit, kind, points: Vec::new(), linear_fit: None });
            self.series.len() - 1
        });
        &mut self.series[index].points
    }

    /// Fits a line to each figure.
    pub fn fit(&mut self) {
        for series in &mut self.series {
            series.fit();
        }
    }

    /// A figure by its name.
    pub fn figure(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|s| s.name == name)
    }

    /// The figures as JSON.
    ///
    /// # Errors
    /// [`CapacityError::Json`] if they cannot be serialized.
    pub fn json(&self) -> Result<String, CapacityError> {
        Ok(serde_json::to_string_pretty(self)?)
    }

    /// The figures as a table in Markdown: for each size the median, with the smallest and the largest value if they differ.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{} by {}; seeds {} to {}, {} plays of each size: median (least to most)\n",
            self.experiment,
            self.size_label,
            self.seed,
            self.seed + u64::from(self.repetitions.saturating_sub(1)),
            self.repetitions
        );
        let sizes: Vec<u32> =
            self.series.first().map_or(Vec::new(), |s| s.points.iter().map(|p| p.size).collect());
        let headers: Vec<String> = sizes.iter().map(u32::to_string).collect();
        let _ = writeln!(
            text,
            "| figure | unit | kind | {} | slope | constant | largest residual | bends at |",
            headers.join(" | ")
        );
        let _ = writeln!(text, "|{}", " --- |".repeat(sizes.len() + 7));
        for series in &self.series {
            let _ = writeln!(text, "{}", table_row(series));
        }
        text
    }
}

fn table_row(series: &Series) -> String {
    let kind = match series.kind {
        FigureKind::Counted => "counted",
        FigureKind::Timed => "timed",
    };
    let cells: Vec<String> = series.points.iter().map(table_cell).collect();
    let fit = match &series.linear_fit {
        None => "- | - | - | -".to_owned(),
        Some(fit) => format!(
            "{} | {} | {:.0}% | {}",
            format_number(fit.slope),
            format_number(fit.constant),
            fit.max_relative_residual * 100.0,
            fit.nonlinear_from.map_or("no".to_owned(), format_number)
        ),
    };
    format!("| {} | {} | {kind} | {} | {fit} |", series.name, series.unit, cells.join(" | "))
}

fn table_cell(measured: &Samples) -> String {
    let (min, max) = (measured.min(), measured.max());
    if min == max {
        return format_number(min);
    }
    format!("{} ({} to {})", format_number(measured.median()), format_number(min), format_number(max))
}

/// Formats a number with about three significant digits.
pub fn format_number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
