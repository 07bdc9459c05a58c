//! Jobs and attempts that do not start in time: hedged requests, cancellation, early rejection.

mod common;
use common::driver::{Driver, InFlightAttempt};
use common::*;
use roselock::*;
use std::collections::BTreeSet;

#[test]
fn an_idempotent_job_at_an_unresponsive_worker_is_hedged_and_the_slower_attempt_cancelled() {
    let mut driver = Driver::with_workers(settings(), 2);
    driver.feed(&[job_arrived(1, IDEMPOTENT)]);
    let actions = driver.advance(SECOND);
    assert_eq!(sends(&actions).len(), 1, "hedged while the latency objective can be met");
    driver.feed(&[attempt_started(1, 1)]);
    let actions = driver.feed(&[attempt_ended(1, 1, Outcome::Ok)]);
    assert!(contains_cancel(&actions, 1, 0));
    assert!(driver.is_concluded(1));
}

#[test]
fn an_accepted_stream_is_not_cancelled() {
    let mut settings = settings();
    settings.classes[0].streaming = true;
    let mut driver = Driver::with_workers(settings, 2);
    driver.feed(&[job_arrived(1, IDEMPOTENT)]);
    driver.feed(&[Event::StreamAccepted { job: JobId(1), attempt: 0 }]);
    let mut actions = vec![];
    driver.dispatcher.step(driver.now + 60 * SECOND, &[Event::TimerFired(1)], &mut actions);
    assert!(!actions.iter().any(|action| !matches!(action, Action::Timer { .. })), "{actions:?}");
}

#[test]
fn a_job_without_attainable_value_is_rejected_early_with_retry_after() {
    // Guards against jobs that wait until their clients disconnect, long after their latency objective, and that are then still
    // sent: they have no value by then and take slots from other jobs.
    let mut settings = settings();
    for class in &mut settings.classes {
        class.late_answer_fraction = 0.0;
    }
    settings.limits.retry_after = true;
    settings.limits.max_retry_after = 2 * SECOND;
    settings.limits.max_attempts = 1;
    let mut driver = Driver::with_workers(settings, 1);
    driver.feed(&jobs_arrived(0..6, NON_IDEMPOTENT));
    let in_flight: BTreeSet<u32> = driver.in_flight().iter().map(|sent| sent.job).collect();
    let waiting: Vec<u32> = (0..6).filter(|job| !in_flight.contains(job)).collect();
    assert!(!waiting.is_empty());
    // The latency objective is 0.5 s plus twice the work of 0.2 s; the jobs in flight keep running.
    let actions = driver.advance(2 * SECOND);
    for id in waiting {
        let is_rejection = |action: &Action| matches!(action, Action::Reject { job, retry_after } if job.0 == id && *retry_after > 0);
        assert!(
            actions.iter().any(is_rejection),
            "job {id} is not rejected after 2 s of its budget of 10 s: {actions:?}"
        );
    }
}

/// Guards against queues at full workers while others are idle: a hundred dispatchers act on the same old reports, and half of
/// all jobs waited at full workers. An idempotent job is retried elsewhere, one attempt at a time; a non-idempotent one stays.
#[test]
fn an_idempotent_job_that_does_not_start_at_once_is_retried_elsewhere() {
    let mut driver = Driver::with_workers(settings_without_hedging(), 8);
    driver.feed(&[job_arrived(1, IDEMPOTENT), job_arrived(2, NON_IDEMPOTENT)]);
    let mut tried = BTreeSet::new();
    for round in 0..4 {
        let in_flight = driver.in_flight();
        let sent = in_flight.iter().find(|sent| sent.job == 1).expect("in flight");
        assert!(
            sent.attempt == round && tried.insert(sent.worker),
            "was sent to worker {} before",
            sent.worker
        );
        let actions = driver.advance(SECOND / 5);
        let cancelled = contains_cancel(&actions, 1, round);
        assert_eq!(cancelled, round < 3, "only the last attempt is not cancelled");
        if cancelled {
            assert!(!sends(&actions).iter().any(|(job, _)| *job == 1), "two attempts are in flight at once");
            driver.feed(&[attempt_ended(1, round, Outcome::Cancelled)]);
            driver.advance(SECOND / 50);
        }
    }
    assert!(!driver.log.iter().any(|(_, action)| matches!(action, Action::Cancel { job: JobId(2), .. })));
    // An attempt that has started is not cancelled.
    driver.feed(&[job_arrived(3, IDEMPOTENT)]);
    driver.feed(&[attempt_started(3, 0)]);
    assert!(!contains_cancel(&driver.advance(SECOND / 2), 3, 0));
}

/// Guards against queues of jobs that are already late: when six in ten workers were replaced, a hundred non-idempotent jobs
/// queued at the rest and ran late, which made the jobs queued after them late as well. A running job is not cancelled.
#[test]
fn a_job_queued_at_a_worker_past_its_objective_is_cancelled_if_other_jobs_wait() {
    let mut settings = settings_without_hedging();
    for class in &mut settings.classes {
        class.late_answer_fraction = 0.0;
    }
    let mut driver = Driver::with_workers(settings, 1);
    driver.feed(&jobs_arrived(1..3, NON_IDEMPOTENT));
    driver.feed(&[attempt_started(2, 0)]);
    assert_eq!(driver.in_flight().len(), 2);
    driver.advance(2 * SECOND);
    assert!(!driver.is_concluded(1), "no other job waits for its capacity");
    driver.feed(&[job_arrived(3, NON_IDEMPOTENT)]);
    driver.advance(SECOND / 4);
    assert!(driver.is_concluded(1) && !driver.is_concluded(2));
    assert!(contains_cancel(&driver.actions_since(0), 1, 0));
}

/// Guards against cancelled jobs at workers that no other dispatcher sends to: a Gearman worker has a single dispatcher and grabs
/// its job when it is ready, but the job was cancelled a millisecond after the worker was woken.
#[test]
fn a_single_scheduler_does_not_cancel_an_attempt_that_has_not_started() {
    let mut settings = settings_without_hedging();
    settings.fleet_size = 1;
    let mut driver = Driver::with_workers(settings, 8);
    driver.feed(&[job_arrived(1, IDEMPOTENT)]);
    assert!(!driver.advance(2 * SECOND).iter().any(|action| matches!(action, Action::Cancel { .. })));
}

/// Guards against an estimate of the start delay that stays at its first low value: if the network latency grows, every job
/// would be cancelled before the notice of its start can arrive.
#[test]
fn the_time_allowed_for_a_start_grows_with_the_network_latency() {
    let mut driver = Driver::with_workers(settings_without_hedging(), 2);
    let mut cancelled = vec![];
    for id in 0..200 {
        driver.feed(&[job_arrived(id, IDEMPOTENT)]);
        let latency = if id < 20 { 3_000 } else { 12_000 };
        let actions = driver.advance(latency);
        cancelled.push(actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
        for InFlightAttempt { job, attempt, .. } in driver.in_flight() {
            driver.feed(&[attempt_started(job, attempt), attempt_ended(job, attempt, Outcome::Ok)]);
        }
        driver.advance(SECOND / 50);
    }
    assert!(cancelled[20..40].contains(&true), "the longer latency exceeds the time allowed at first");
    assert!(!cancelled[150..].contains(&true), "{cancelled:?}");
}
