//! A line through measured points by least squares, and how far the points are from it.

use serde::{Deserialize, Serialize};

/// A law whose largest residual is above this share of the mean is not linear.
pub const LINEAR_WITHIN: f64 = 0.1;

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Workers in the list.
    pub workers: f64,
    /// The value.
    pub value: f64,
}

/// `slope` x workers + `constant`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// What one more worker adds.
    pub slope: f64,
    /// What is left without workers.
    pub constant: f64,
    /// The largest distance of a point from the line, as a share of the mean of the values.
    pub largest_residual: f64,
    /// The number of workers of that point.
    pub residual_at: f64,
    /// Whether the points can show that a law is not linear: there are three sizes or more.
    pub checked: bool,
}

impl Line {
    /// The value of the line at a number of workers.
    #[must_use]
    pub fn at(&self, workers: f64) -> f64 {
        self.slope * workers + self.constant
    }

    /// Whether the points follow the line.
    #[must_use]
    pub fn is_linear(&self) -> bool {
        self.largest_residual <= LINEAR_WITHIN
    }
}

/// The line with the least squares of residuals; none with fewer than two sizes.
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
