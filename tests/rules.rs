//! The numbered safety rules 1 to 7; each test fails without the code that enforces its rule.

mod common;
use common::driver::{Driver, InFlightAttempt};
use common::*;
use roselock::*;
use std::collections::BTreeSet;

#[test]
fn rule_1_a_job_without_workers_is_rejected_once_and_in_time() {
    let mut driver = Driver::new(settings());
    driver.feed(&[job_arrived(1, IDEMPOTENT), job_arrived(2, NON_IDEMPOTENT)]);
    let actions = driver.advance(20 * SECOND);
    let is_answer = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    let answers: Vec<_> = actions.iter().filter(is_answer).collect();
    assert_eq!(answers.len(), 2, "{answers:?}");
    assert!(answers.iter().all(|answer| matches!(answer, Action::Reject { .. })), "nothing may have run");
}

#[test]
fn rule_1_a_job_with_a_budget_of_zero_is_answered() {
    let mut driver = Driver::with_workers(settings(), 1);
    driver.feed(&[Event::JobArrived(JobRequest { budget: 0, ..request(1, NON_IDEMPOTENT) })]);
    driver.advance(8000);
    assert!(driver.is_concluded(1));
}

#[test]
fn rule_1_an_unresponsive_worker_does_not_delay_the_answer() {
    let mut driver = Driver::with_workers(settings(), 1);
    assert_eq!(sends(&driver.feed(&[job_arrived(1, NON_IDEMPOTENT)])), [(1, 0)]);
    let actions = driver.advance(20 * SECOND);
    assert!(actions.contains(&Action::Fail { job: JobId(1) }), "it may have run: no rejection");
}

#[test]
fn rule_1_nothing_is_sent_after_the_final_answer() {
    let mut driver = Driver::with_workers(settings(), 3);
    driver.feed(&[job_arrived(1, IDEMPOTENT)]);
    driver.feed(&[attempt_ended(1, 0, Outcome::Ok)]);
    // Late and repeated events of a concluded job.
    let late_events =
        [attempt_ended(1, 0, Outcome::Error), attempt_started(1, 0), Event::ClientDisconnected(JobId(1))];
    assert_eq!(sends(&driver.feed(&late_events)), []);
    assert_eq!(sends(&driver.advance(20 * SECOND)), []);
}

#[test]
fn rule_2_a_non_idempotent_job_that_may_have_run_fails_without_a_retry() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut driver = Driver::with_workers(settings(), 4);
        driver.feed(&[job_arrived(1, NON_IDEMPOTENT)]);
        let mut actions = driver.feed(&[attempt_ended(1, 0, outcome)]);
        actions.extend(driver.advance(20 * SECOND));
        assert_eq!(sends(&actions), [], "{outcome:?}");
        assert!(actions.contains(&Action::Fail { job: JobId(1) }), "{outcome:?}");
    }
}

#[test]
fn rule_2_a_job_that_never_ran_is_retried() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut driver = Driver::with_workers(settings(), 4);
        driver.feed(&[job_arrived(1, NON_IDEMPOTENT)]);
        let mut actions = driver.feed(&[attempt_ended(1, 0, outcome)]);
        actions.extend(driver.advance(SECOND));
        assert_eq!(sends(&actions).len(), 1, "{outcome:?}");
    }
}

#[test]
fn rule_2_a_retry_with_an_idempotency_key_stays_in_its_cell_and_window() {
    // The driver asserts that retries stay in the cell; workers 2n and 2n + 1 share one.
    let mut driver = Driver::with_workers(settings(), 6);
    driver.feed(&[job_arrived(1, KEYED_BY_CELL)]);
    let first = driver.in_flight()[0].worker;
    let mut actions = driver.feed(&[attempt_ended(1, 0, Outcome::Error)]);
    actions.extend(driver.advance(SECOND));
    let retries = sends(&actions);
    assert!(!retries.is_empty());
    assert!(retries.iter().all(|(_, worker)| worker / 2 == first / 2), "{retries:?}");
    // After the window the job is not sent again, and it fails rather than being rejected, as it may have run.
    let mut driver = Driver::with_workers(settings(), 6);
    driver.feed(&[job_arrived(1, KEYED_BY_CELL)]);
    driver.feed(&[attempt_started(1, 0)]);
    for _ in 0..4 {
        driver.advance(SECOND - 1000);
        driver.feed(&[progress(1, 0, 0.01)]);
    }
    let actions = driver.feed(&[attempt_ended(1, 0, Outcome::Error)]);
    assert!(driver.now - SECOND > KEY_WINDOW);
    assert_eq!(sends(&actions), []);
    assert!(actions.contains(&Action::Fail { job: JobId(1) }));
}

#[test]
fn rule_2_no_hedged_request_is_sent_where_the_limits_forbid_it() {
    let mut settings = settings();
    settings.limits.hedged_requests = false;
    let mut driver = Driver::with_workers(settings, 4);
    driver.feed(&[job_arrived(1, IDEMPOTENT)]);
    assert_eq!(sends(&driver.advance(9 * SECOND)), []);
}

#[test]
fn rule_3_nothing_is_sent_to_a_draining_or_gone_worker() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut driver = Driver::with_workers(settings(), 1);
        driver.feed(&[list_changes(vec![endpoint(0, state, None)])]);
        assert_eq!(sends(&driver.feed(&[job_arrived(1, IDEMPOTENT)])), []);
        assert_eq!(sends(&driver.advance(5 * SECOND)), []);
        // The job is sent once the worker is ready again.
        assert_eq!(sends(&driver.feed(&[list_changes(vec![ready(0)])])), [(1, 0)]);
    }
    // A worker that a complete list omits is gone as well; a failed call to the discovery service changes no state.
    let mut driver = Driver::with_workers(settings(), 2);
    driver.feed(&[complete_list(vec![ready(1)])]);
    driver.feed(&[watch_ended(WatchEndReason::Refused, driver.now)]);
    assert_eq!(sends(&driver.feed(&[job_arrived(1, IDEMPOTENT)])), [(1, 1)]);
}

/// Builds a driver with a cached list under a lease and a job that waits until the list may be used.
fn driver_with_cached_list_under_lease() -> Driver {
    let mut settings = settings();
    settings.watch_required = true;
    settings.list_lease_enabled = true;
    let mut driver = Driver::new(settings);
    driver.feed(&[Event::EndpointList { mode: ListMode::Cached, endpoints: vec![ready(1)] }]);
    assert_eq!(sends(&driver.feed(&[job_arrived(1, IDEMPOTENT)])), []);
    assert_eq!(sends(&driver.advance(SECOND)), []);
    driver
}

/// Guards against a send to a worker whose drain counts as notified, whether the notice was received or not. A cached list is not
/// used before the discovery service has answered or was found to be down, and no list is used once its watch has been closed for
/// too long.
#[test]
fn rule_3_nothing_is_sent_while_the_list_lease_is_expired() {
    // An empty watch event confirms the list; once the watch is closed, the list may be used for 6 s.
    let mut driver = driver_with_cached_list_under_lease();
    let empty_change = list_changes(vec![]);
    assert_eq!(sends(&driver.feed(std::slice::from_ref(&empty_change))), [(1, 1)]);
    driver.feed(&[attempt_ended(1, 0, Outcome::Ok)]);
    driver.advance(10 * SECOND);
    let in_sync_until = driver.now - 2 * SECOND;
    driver.feed(&[watch_ended(WatchEndReason::TimedOut, in_sync_until)]);
    driver.advance(in_sync_until + 6 * SECOND - SECOND / 10 - driver.now);
    assert_eq!(sends(&driver.feed(&[job_arrived(2, IDEMPOTENT)])), [(2, 1)]);
    driver.feed(&[attempt_ended(2, 0, Outcome::Ok)]);
    driver.advance(SECOND / 5);
    assert_eq!(sends(&driver.feed(&[job_arrived(3, IDEMPOTENT)])), []);
    assert_eq!(sends(&driver.feed(&[empty_change])), [(3, 1)]);
    // A discovery service that is down (refuses the call) does not stop dispatch: the cached list is used.
    let mut driver = driver_with_cached_list_under_lease();
    let refused = watch_ended(WatchEndReason::Refused, driver.now);
    assert_eq!(sends(&driver.feed(&[refused])), [(1, 1)]);
}

/// A job and the time at which it was sent.
struct SentJob {
    sent_at: Micros,
    job: u32,
}

/// Feeds a job every 25 ms for 15 s and lets each run for 0.2 s, its work; returns the sends.
fn send_for_15_seconds(driver: &mut Driver) -> Vec<SentJob> {
    let mut sent: Vec<SentJob> = vec![];
    for id in 0..600 {
        let mut actions = driver.feed(&[job_arrived(id, IDEMPOTENT)]);
        for InFlightAttempt { job, attempt, .. } in driver.in_flight() {
            match sent.iter().find(|earlier| earlier.job == job) {
                None => actions.extend(driver.feed(&[attempt_started(job, attempt)])),
                // Ends the run after 0.2 s, its work at speed 1.
                Some(earlier) if earlier.sent_at + SECOND / 5 <= driver.now => {
                    actions.extend(driver.feed(&[attempt_ended(job, attempt, Outcome::Ok)]));
                }
                Some(_) => {}
            }
        }
        actions.extend(driver.advance(SECOND / 40));
        for (job, _) in sends(&actions) {
            sent.push(SentJob { sent_at: driver.now, job });
        }
    }
    sent
}

#[test]
fn rule_4_a_worker_in_slow_start_is_sent_at_most_this_schedulers_share() {
    let settings = settings();
    let overload_window = settings.safety.overload_window;
    let fleet_size = settings.fleet_size as f64;
    let mut driver = Driver::new(settings);
    let started_at = driver.now;
    driver.feed(&[complete_list(vec![endpoint(0, EndpointState::Ready, Some(started_at))])]);
    let sent = send_for_15_seconds(&mut driver);
    // In slow start a worker with two slots at speed 1 accepts 3 x 0.3 x 2 x 1.5 s of work before it fails from overload. One of
    // two dispatchers may send half of it.
    let early: Vec<_> = sent.iter().filter(|send| send.sent_at <= started_at + overload_window).collect();
    assert!(!early.is_empty());
    let bound = 3.0 * 0.3 * 2.0 * 1.5 / fleet_size;
    assert!(early.len() as f64 * 0.2 <= bound, "{} jobs of 0.2 s over {bound} s", early.len());
    assert!(
        sent.iter().any(|send| send.sent_at > started_at + 10 * SECOND),
        "the worker is used without this bound after slow start"
    );
}

#[test]
fn rule_4_many_short_jobs_count_with_the_mean_work_of_their_class() {
    // Guards against an overload of a worker in slow start by jobs with short hints: some twenty in a second, 10.4 s after the
    // worker's start, were 5.4 times its capacity (falaj-north), as workers count each job with the mean work of its class.
    let mut driver = Driver::new(settings());
    driver.feed(&jobs_arrived(0..100, IDEMPOTENT));
    driver.feed(&(0..100).map(|id| Event::ClientDisconnected(JobId(id))).collect::<Vec<_>>());
    let started_at = driver.now;
    driver.feed(&[complete_list(vec![endpoint(0, EndpointState::Ready, Some(started_at))])]);
    for id in 1000..1060 {
        let short = JobRequest { work_hint: Some(0.01), ..request(id, IDEMPOTENT) };
        driver.feed(&[Event::JobArrived(short)]);
        for InFlightAttempt { job, attempt, .. } in driver.in_flight() {
            driver.feed(&[attempt_started(job, attempt)]);
            driver.advance(SECOND / 100);
            driver.feed(&[attempt_ended(job, attempt, Outcome::Ok)]);
        }
        driver.advance(SECOND / 80);
    }
    assert!(driver.now - started_at <= 2 * SECOND);
    let sent = sends(&driver.actions_since(0)).len();
    // Meanwhile the estimated mean work of the class falls to about 0.13 s.
    assert!(sent > 0 && sent as f64 * 0.13 <= 3.0 * 0.3 * 2.0 * 2.0 / 2.0, "{sent} jobs");
}

#[test]
fn rule_5_retries_stay_within_the_retry_budget() {
    // Guards against retries beyond the budget: 4 were sent in 5 s, where the 10 requests admitted allowed 3.5. Here every first
    // attempt fails to connect, so every job is due for a retry at once.
    let mut settings = settings();
    settings.safety.retry_budget = Some(RetryBudget { min_retries: 2.0, ratio: 0.15, window: 5 * SECOND });
    let mut driver = Driver::with_workers(settings, 12);
    let mut admitted = vec![];
    for id in 0..60 {
        admitted.push(driver.now);
        driver.feed(&[job_arrived(id, IDEMPOTENT)]);
        for InFlightAttempt { job, attempt, .. } in driver.in_flight() {
            let outcome = if attempt == 0 { Outcome::ConnectFailed } else { Outcome::Ok };
            driver.feed(&[attempt_ended(job, attempt, outcome)]);
        }
        driver.advance(SECOND / 3);
    }
    let retries = retry_times(&driver);
    assert!(retries.len() > 4, "the budget is used");
    for end in &retries {
        let in_window = |at: &&Micros| **at > end - 5 * SECOND && **at <= *end;
        let retried = retries.iter().filter(in_window).count();
        let requests = admitted.iter().filter(in_window).count();
        assert!(
            retried as f64 <= 2.0 + 0.15 * requests as f64,
            "{retried} in 5 s where {requests} were admitted"
        );
    }
}

/// Returns the times at which attempts beyond each job's first were sent.
fn retry_times(driver: &Driver) -> Vec<Micros> {
    let mut seen = BTreeSet::new();
    let mut times = vec![];
    for (at, action) in &driver.log {
        if let Action::Send { job, .. } = action
            && !seen.insert(job.0)
        {
            times.push(*at);
        }
    }
    times
}

#[test]
fn rule_6_where_a_rejected_job_may_have_run_a_non_idempotent_one_fails_and_a_keyed_one_stays_in_its_cell() {
    let mut settings = settings();
    settings.safety.rejection_may_have_run = true;
    let mut driver = Driver::with_workers(settings.clone(), 4);
    driver.feed(&[job_arrived(1, NON_IDEMPOTENT)]);
    let mut actions = driver.feed(&[attempt_ended(1, 0, Outcome::Rejected)]);
    assert!(
        actions.contains(&Action::Fail { job: JobId(1) }),
        "fails at once instead of being rejected: {actions:?}"
    );
    actions.extend(driver.advance(20 * SECOND));
    assert_eq!(sends(&actions), []);
    let mut driver = Driver::with_workers(settings, 6);
    driver.feed(&[job_arrived(1, KEYED_BY_CELL)]);
    let first = driver.in_flight()[0].worker;
    let mut actions = driver.feed(&[attempt_ended(1, 0, Outcome::Rejected)]);
    actions.extend(driver.advance(SECOND));
    let retries = sends(&actions);
    assert!(!retries.is_empty() && retries.iter().all(|(_, worker)| worker / 2 == first / 2), "{actions:?}");
}

#[test]
fn rule_7_idle_connections_to_a_draining_worker_are_closed_on_the_drain_notice_and_after_each_attempt() {
    let mut settings = settings();
    settings.safety.drain_close_timeout = Some(SECOND);
    for outcome in [Outcome::Ok, Outcome::Cancelled] {
        let mut driver = Driver::with_workers(settings.clone(), 1);
        driver.feed(&[job_arrived(1, IDEMPOTENT)]);
        driver.feed(&[attempt_ended(1, 0, Outcome::Ok)]);
        driver.feed(&[job_arrived(2, NON_IDEMPOTENT)]);
        let close = Action::CloseIdleConnections(WorkerId(0));
        let draining = list_changes(vec![endpoint(0, EndpointState::Draining, None)]);
        assert!(driver.feed(&[draining]).contains(&close));
        assert!(driver.feed(&[attempt_ended(2, 0, outcome)]).contains(&close), "{outcome:?}");
    }
}
