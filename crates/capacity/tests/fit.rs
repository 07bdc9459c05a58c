//! Lines through points, and laws that are none.

use roselock_capacity::fit::{FEWEST, Law, Point};
use rstest::rstest;

const SIZES: [f64; 6] = [60.0, 300.0, 725.0, 1_450.0, 2_900.0, 5_000.0];

fn points(law: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES.iter().map(|&size| Point { size, value: law(size) }).collect()
}

#[rstest]
fn a_line_is_fitted_without_a_bend() {
    let law = Law::fit(&points(|size| 2.5 * size + 40.0)).expect("a law");
    assert!((law.slope - 2.5).abs() < 1e-9 && (law.constant - 40.0).abs() < 1e-6, "{law:?}");
    assert!(law.largest_residual_share < 1e-9 && law.bends_at.is_none(), "{law:?}");
    assert!((law.at(100.0) - 290.0).abs() < 1e-6);
}

#[rstest]
fn a_constant_has_no_slope() {
    let law = Law::fit(&points(|_| 7.0)).expect("a law");
    assert!(law.slope.abs() < 1e-9 && law.bends_at.is_none(), "{law:?}");
    let nothing = Law::fit(&points(|_| 0.0)).expect("a law");
    assert_eq!((nothing.slope, nothing.largest_residual_share, nothing.bends_at), (0.0, 0.0, None));
}

/// A law with a bend reports the size at which it begins.
#[rstest]
fn a_bent_law_reports_where_it_bends() {
    let law = Law::fit(&points(|size| size + if size > 1_450.0 { 9.0 * (size - 1_450.0) } else { 0.0 }));
    assert_eq!(law.expect("a law").bends_at, Some(2_900.0));
}

/// A quadratic law is not linear.
#[rstest]
fn a_quadratic_law_is_not_linear() {
    let law = Law::fit(&points(|size| size * size)).expect("a law");
    assert_eq!(law.bends_at, Some(725.0), "{law:?}");
}

#[rstest]
fn too_few_points_have_no_law() {
    assert_eq!(FEWEST, 4);
    assert!(Law::fit(&points(|size| size)[..3]).is_none());
    assert!(Law::fit(&points(|size| size)[..4]).is_some());
}
