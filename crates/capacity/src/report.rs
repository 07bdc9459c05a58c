//! The figures of a run by size, with their laws, as a table and as JSON.

use crate::error::CapacityError;
use crate::figure::{Figure, Kind};
use crate::fit::{Law, Point};
use serde::Serialize;
use std::fmt::Write;

/// A figure at one size, over all plays.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measured {
    /// The size.
    pub size: u32,
    /// The value of each play, in their order.
    pub plays: Vec<f64>,
}

impl Measured {
    fn sorted(&self) -> Vec<f64> {
        let mut sorted = self.plays.clone();
        sorted.sort_by(f64::total_cmp);
        sorted
    }

    /// The median of the plays; of two in the middle, the lower.
    pub fn median(&self) -> f64 {
        let sorted = self.sorted();
        sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// The least of the plays.
    pub fn least(&self) -> f64 {
        self.sorted().first().copied().unwrap_or(0.0)
    }

    /// The most of the plays.
    pub fn most(&self) -> f64 {
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
    /// Whether it is the same for the same seed.
    pub kind: Kind,
    /// The measured values by size.
    pub points: Vec<Measured>,
    /// Fitted to the medians; none where there are too few sizes.
    pub law: Option<Law>,
}

impl Series {
    /// The value at a size, if that was played.
    pub fn at(&self, size: u32) -> Option<f64> {
        self.points.iter().find(|p| p.size == size).map(Measured::median)
    }

    fn fit(&mut self) {
        let point = |m: &Measured| Point { size: f64::from(m.size), value: m.median() };
        let points: Vec<Point> = self.points.iter().map(point).collect();
        self.law = Law::fit(&points);
    }
}

/// A run of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Its name.
    pub experiment: &'static str,
    /// What a size counts.
    pub size_is: &'static str,
    /// The seed of the first play; the next one has the next.
    pub seed: u64,
    /// Plays of each size.
    pub plays: u32,
    /// The figures.
    pub series: Vec<Series>,
}

impl Report {
    /// A report without figures.
    pub fn new(experiment: &'static str, size_is: &'static str, seed: u64, plays: u32) -> Report {
        Report { experiment, size_is, seed, plays, series: Vec::new() }
    }

    /// Adds the figures of one play of a size.
    pub fn add(&mut self, size: u32, figures: &[Figure]) {
        for figure in figures {
            let points = self.points_of(figure);
            match points.iter_mut().find(|p| p.size == size) {
                Some(point) => point.plays.push(figure.value),
                None => points.push(Measured { size, plays: vec![figure.value] }),
            }
        }
    }

    fn points_of(&mut self, figure: &Figure) -> &mut Vec<Measured> {
        let index = self.series.iter().position(|s| s.name == figure.name).unwrap_or_else(|| {
            let Figure { name, unit, kind, .. } = *figure;
            self.series.push(Series { name, unit, kind, points: Vec::new(), law: None });
            self.series.len() - 1
        });
        &mut self.series[index].points
    }

    /// Fits each figure to a line.
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

    /// The figures as a table in Markdown: for each size the median, with the least and the largest value if plays differ.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{} by {}; seeds {} to {}, {} plays of each size: median (least to most)\n",
            self.experiment,
            self.size_is,
            self.seed,
            self.seed + u64::from(self.plays.saturating_sub(1)),
            self.plays
        );
        let sizes: Vec<u32> =
            self.series.first().map_or(Vec::new(), |s| s.points.iter().map(|p| p.size).collect());
        let heads: Vec<String> = sizes.iter().map(u32::to_string).collect();
        let _ = writeln!(
            text,
            "| figure | unit | kind | {} | slope | constant | largest residual | bends at |",
            heads.join(" | ")
        );
        let _ = writeln!(text, "|{}", " --- |".repeat(sizes.len() + 7));
        for series in &self.series {
            let _ = writeln!(text, "{}", row(series));
        }
        text
    }
}

fn row(series: &Series) -> String {
    let kind = match series.kind {
        Kind::Counted => "counted",
        Kind::Timed => "timed",
    };
    let cells: Vec<String> = series.points.iter().map(cell).collect();
    let law = match &series.law {
        None => "- | - | - | -".to_owned(),
        Some(law) => format!(
            "{} | {} | {:.0}% | {}",
            number(law.slope),
            number(law.constant),
            law.largest_residual_share * 100.0,
            law.bends_at.map_or("no".to_owned(), number)
        ),
    };
    format!("| {} | {} | {kind} | {} | {law} |", series.name, series.unit, cells.join(" | "))
}

fn cell(measured: &Measured) -> String {
    let (least, most) = (measured.least(), measured.most());
    if least == most {
        return number(least);
    }
    format!("{} ({} to {})", number(measured.median()), number(least), number(most))
}

/// A number with about three significant digits.
pub fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
