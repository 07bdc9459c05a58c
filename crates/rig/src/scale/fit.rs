//! Least-squares fit of a line to measured points, and the residuals of the points.

use serde::{Deserialize, Serialize};

/// A figure is linear if no residual is above this share of the mean value.
pub const MAX_LINEAR_RESIDUAL: f64 = 0.1;

/// A measured value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Number of workers in the list.
    pub workers: f64,
    /// Value of the figure.
    pub value: f64,
}

/// The line `slope` x workers + `constant`, and the largest residual of the points that it was fitted to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Increase of the value per worker.
    pub slope: f64,
    /// Value at zero workers.
    pub constant: f64,
    /// Largest absolute residual, as a share of the mean of the absolute values.
    pub largest_residual: f64,
    /// Number of workers of the point with the largest residual.
    pub residual_at: f64,
    /// Whether linearity can be checked, for which at least three sizes are needed.
    pub checked: bool,
}

impl Line {
    /// Value of the line at this number of workers.
    #[must_use]
    pub fn at(&self, workers: f64) -> f64 {
        self.slope * workers + self.constant
    }

    /// Whether all points are close to the line.
    #[must_use]
    pub fn is_linear(&self) -> bool {
        self.largest_residual <= MAX_LINEAR_RESIDUAL
    }
}

/// Fits a line by least squares; `None` if there are fewer than two sizes.
#[must_use]
pub fn fit(points: &[Point]) -> Option<Line> {
    let mut sizes: Vec<f64> = points.iter().map(|point| point.workers).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    if sizes.len() < 2 {
        return None;
    }
    let count = points.len() as f64;
    let mean_workers = points.iter().map(|point| point.workers).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|point| (point.workers - mean_workers).powi(2)).sum();
    let product = |point: &Point| (point.workers - mean_workers) * (point.value - mean_value);
    let covariance: f64 = points.iter().map(product).sum();
    let slope = covariance / variance;
    let constant = mean_value - slope * mean_workers;
    let residual = |point: &Point| (point.value - slope * point.workers - constant).abs();
    let furthest = points.iter().max_by(|a, b| residual(a).total_cmp(&residual(b)))?;
    let scale = points.iter().map(|point| point.value.abs()).sum::<f64>() / count;
    let largest_residual = if scale > 0.0 { residual(furthest) / scale } else { 0.0 };
    let checked = sizes.len() > 2;
    Some(Line { slope, constant, largest_residual, residual_at: furthest.workers, checked })
}
