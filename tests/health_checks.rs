//! Health checks that refresh an old load report before a send.

mod common;
use common::driver::Driver;
use common::*;
use roselock::*;

#[test]
fn an_old_report_is_refreshed_by_a_health_check_where_permitted() {
    let mut driver = Driver::with_workers(settings_with_health_checks(), 2);
    driver.advance(5 * SECOND);
    let actions = driver.feed(&[job_arrived(1, NON_IDEMPOTENT)]);
    assert!(!health_checks(&actions).is_empty() && sends(&actions).is_empty(), "{actions:?}");
    // Worker 0 is full, worker 1 is not.
    let mut actions = driver.feed(&[health_check_answered(0, 0.0), health_check_answered(1, 2.0)]);
    actions.extend(driver.advance(SECOND / 10));
    assert_eq!(sends(&actions), [(1, 1)]);
    // A health check without an answer delays the job by less than 0.5 s.
    driver.advance(20 * SECOND);
    let mut actions = driver.feed(&[job_arrived(2, NON_IDEMPOTENT)]);
    actions.extend(driver.advance(SECOND / 2));
    assert_eq!(sends(&actions).len(), 1);
}

#[test]
fn a_job_waits_for_one_health_check_at_a_time() {
    let mut driver = Driver::with_workers(settings_with_health_checks(), 3);
    driver.advance(5 * SECOND);
    let first = health_checks(&driver.feed(&[job_arrived(1, IDEMPOTENT)]));
    assert_eq!(first.len(), 1, "each health check has a cost");
    driver.advance(4000);
    let next = health_checks(&driver.feed(&[health_check_answered(first[0], 0.0)]));
    assert!(next.len() == 1 && next != first, "the first is full: the next best worker is checked");
}

/// Guards against sends on the basis of the old report while its worker is being checked: in a slowdown of all workers, most
/// sends went to workers that were last reported as full.
#[test]
fn no_job_is_sent_to_a_worker_during_its_health_check() {
    let mut driver = Driver::with_workers(settings_with_health_checks(), 1);
    driver.feed(&[health_check_answered(0, 3.0)]);
    driver.advance(5 * SECOND);
    let actions = driver.feed(&jobs_arrived(1..4, IDEMPOTENT));
    assert_eq!(health_checks(&actions).len(), 1);
    assert_eq!(sends(&actions), []);
    let actions = driver.feed(&[health_check_answered(0, 0.0)]);
    assert_eq!(sends(&actions), []);
    assert_eq!(sends(&driver.feed(&[health_check_answered(0, 3.0)])).len(), 3);
}
