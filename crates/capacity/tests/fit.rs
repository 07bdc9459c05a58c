//! Lines fitted to points, and growth that is not linear.

use roselock_capacity::fit::{LinearFit, MIN_POINTS, Point};
use rstest::rstest;

const SIZES: [f64; 6] = [60.0, 300.0, 725.0, 1_450.0, 2_900.0, 5_000.0];

fn points(value_at: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES.iter().map(|&size| Point { size, value: value_at(size) }).collect()
}

#[rstest]
fn points_on_a_line_are_fitted_as_linear() {
    let fit = LinearFit::fit(&points(|size| 2.5 * size + 40.0)).expect("a fit");
    assert!((fit.slope - 2.5).abs() < 1e-9 && (fit.constant - 40.0).abs() < 1e-6, "{fit:?}");
    assert!(fit.max_relative_residual < 1e-9 && fit.nonlinear_from.is_none(), "{fit:?}");
    assert!((fit.value_at(100.0) - 290.0).abs() < 1e-6);
}

#[rstest]
fn a_constant_has_no_slope() {
    let fit = LinearFit::fit(&points(|_| 7.0)).expect("a fit");
    assert!(fit.slope.abs() < 1e-9 && fit.nonlinear_from.is_none(), "{fit:?}");
    let zero = LinearFit::fit(&points(|_| 0.0)).expect("a fit");
    assert_eq!((zero.slope, zero.max_relative_residual, zero.nonlinear_from), (0.0, 0.0, None));
}

/// For growth that becomes steeper the fit reports the first size off the line.
#[rstest]
fn the_first_size_off_the_line_is_reported() {
    let fit =
        LinearFit::fit(&points(|size| size + if size > 1_450.0 { 9.0 * (size - 1_450.0) } else { 0.0 }));
    assert_eq!(fit.expect("a fit").nonlinear_from, Some(2_900.0));
}

#[rstest]
fn quadratic_growth_is_not_linear() {
    let fit = LinearFit::fit(&points(|size| size * size)).expect("a fit");
    assert_eq!(fit.nonlinear_from, Some(725.0), "{fit:?}");
}

#[rstest]
fn too_few_points_are_not_fitted() {
    assert_eq!(MIN_POINTS, 4);
    assert!(LinearFit::fit(&points(|size| size)[..3]).is_none());
    assert!(LinearFit::fit(&points(|size| size)[..4]).is_some());
}
