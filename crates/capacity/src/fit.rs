//! Straight lines fitted to measured points, and the point from which on the growth is no longer linear.

use serde::Serialize;

/// The fewest points that show whether growth is linear.
pub const FEWEST: usize = 4;
/// The largest residual of a point on the line, as a fraction of its value.
pub const TOLERANCE: f64 = 0.15;
/// The fewest points to which a line is fitted in the search for a bend.
const BEGINNING: usize = 3;
/// The smallest scale of a relative residual, as a fraction of the largest value.
const FLOOR: f64 = 0.01;

/// A measured value at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// What was measured there.
    pub value: f64,
}

/// `slope x size + constant`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Law {
    /// Growth with each unit of size.
    pub slope: f64,
    /// What is there at size 0.
    pub constant: f64,
    /// The largest distance of a point from the line, as a share of the point's value.
    pub largest_residual_share: f64,
    /// The size from which on the law is another one; none where all points are within [`TOLERANCE`] of the line.
    pub bends_at: Option<f64>,
}

impl Law {
    /// The value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.slope * size + self.constant
    }

    /// The law of some points, sorted by size; none where they are fewer than [`FEWEST`].
    pub fn fit(points: &[Point]) -> Option<Law> {
        if points.len() < FEWEST {
            return None;
        }
        let whole = line(points);
        let bends_at = if whole.largest_residual_share > TOLERANCE { Some(bend(points)) } else { None };
        Some(Law { bends_at, ..whole })
    }
}

/// The size of the first point that does not lie on a line with those before it.
fn bend(points: &[Point]) -> f64 {
    let off = |count: &usize| line(&points[..*count]).largest_residual_share > TOLERANCE;
    let first = (BEGINNING..=points.len()).find(off).unwrap_or(points.len());
    points[first - 1].size
}

fn line(points: &[Point]) -> Law {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
    let variance: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let constant = mean_value - slope * mean_size;
    let largest = points.iter().map(|p| p.value.abs()).fold(0.0, f64::max);
    let share = |p: &Point| {
        let residual = (p.value - slope * p.size - constant).abs();
        let scale = p.value.abs().max(FLOOR * largest);
        if scale > 0.0 { residual / scale } else { 0.0 }
    };
    let largest_residual_share = points.iter().map(share).fold(0.0, f64::max);
    Law { slope, constant, largest_residual_share, bends_at: None }
}
