//! Least-squares lines through measured points, and the size from which the growth is no longer linear.

use serde::Serialize;

/// The fewest points for which linearity is assessed.
pub const MIN_POINTS: usize = 4;
/// The largest residual of a point that counts as on the line, as a fraction of its value.
pub const MAX_RELATIVE_RESIDUAL: f64 = 0.15;
/// The fewest leading points to which a line is fitted in the search for the first nonlinear size.
const MIN_PREFIX_POINTS: usize = 3;
/// The smallest denominator of a relative residual, as a fraction of the largest value.
const MIN_RESIDUAL_SCALE: f64 = 0.01;

/// A measured value at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// `slope x size + constant`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// Growth per unit of size.
    pub slope: f64,
    /// The value at size 0.
    pub constant: f64,
    /// The largest residual of a point, as a fraction of its value.
    #[serde(rename = "largest_residual_share")]
    pub max_relative_residual: f64,
    /// The first size off the line through the sizes before it; none if all points are within [`MAX_RELATIVE_RESIDUAL`].
    #[serde(rename = "bends_at")]
    pub nonlinear_from: Option<f64>,
}

impl LinearFit {
    /// The value of the line at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.slope * size + self.constant
    }

    /// Fits a line to points sorted by size; none if there are fewer than [`MIN_POINTS`].
    pub fn fit(points: &[Point]) -> Option<LinearFit> {
        if points.len() < MIN_POINTS {
            return None;
        }
        let fit = least_squares(points);
        let nonlinear_from = if fit.max_relative_residual > MAX_RELATIVE_RESIDUAL {
            Some(first_nonlinear_size(points))
        } else {
            None
        };
        Some(LinearFit { nonlinear_from, ..fit })
    }
}

/// The size of the first point that is not collinear with those before it.
fn first_nonlinear_size(points: &[Point]) -> f64 {
    let nonlinear =
        |count: &usize| least_squares(&points[..*count]).max_relative_residual > MAX_RELATIVE_RESIDUAL;
    let first = (MIN_PREFIX_POINTS..=points.len()).find(nonlinear).unwrap_or(points.len());
    points[first - 1].size
}

fn least_squares(points: &[Point]) -> LinearFit {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
    let variance: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let constant = mean_value - slope * mean_size;
    let largest = points.iter().map(|p| p.value.abs()).fold(0.0, f64::max);
    let relative_residual = |p: &Point| {
        let residual = (p.value - slope * p.size - constant).abs();
        let scale = p.value.abs().max(MIN_RESIDUAL_SCALE * largest);
        if scale > 0.0 { residual / scale } else { 0.0 }
    };
    let max_relative_residual = points.iter().map(relative_residual).fold(0.0, f64::max);
    LinearFit { slope, constant, max_relative_residual, nonlinear_from: None }
}
