//! Discovery polls, fleets without ready workers, key affinity, determinism, and the rules under unusual settings.

mod common;
use common::driver::Driver;
use common::*;
use roselock::*;
use std::collections::BTreeSet;

#[test]
fn a_refused_watch_is_requested_again_within_half_the_poll_interval() {
    let mut settings = settings();
    settings.watch_required = true;
    let mut driver = Driver::new(settings);
    driver.feed(&[ready_workers(2)]);
    assert!(driver.advance(SECOND / 5).contains(&Action::WatchEndpoints));
    for _ in 0..6 {
        driver.feed(&[watch_ended(WatchEndReason::Refused, driver.now)]);
        assert!(
            driver.advance(5 * SECOND).contains(&Action::WatchEndpoints),
            "discovery is called again within half the poll interval"
        );
    }
}

#[test]
fn jobs_wait_for_seconds_without_a_ready_worker() {
    let in_state = |state| (0..3).map(|worker| endpoint(worker, state, None)).collect::<Vec<_>>();
    for list in [
        complete_list(vec![]),
        list_changes(in_state(EndpointState::Draining)),
        list_changes(in_state(EndpointState::Gone)),
    ] {
        let mut driver = Driver::with_workers(settings(), 3);
        driver.feed(std::slice::from_ref(&list));
        let mut actions = driver.feed(&(0..4).map(|id| job_arrived(id, id as u16)).collect::<Vec<_>>());
        actions.extend(driver.advance(3 * SECOND));
        assert_eq!(sends(&actions), [], "no worker accepts requests: {list:?}");
        assert!((0..4).all(|id| !driver.is_concluded(id)), "no job is given up");
        let mut actions = driver.feed(&[complete_list(in_state(EndpointState::Ready))]);
        actions.extend(driver.advance(SECOND));
        let sent: BTreeSet<u32> = sends(&actions).iter().map(|(job, _)| *job).collect();
        assert_eq!(sent.len(), 4);
    }
}

#[test]
fn independent_schedulers_send_a_key_to_the_same_worker() {
    let mut settings = settings();
    settings.costs.origin_fetch = 0.1;
    let job_with_key = |key: u64| {
        let key = Some(KeyId(key.wrapping_mul(0x1234_5678_9abc_def1)));
        Event::JobArrived(JobRequest { key, ..request(1, IDEMPOTENT) })
    };
    let mut used = BTreeSet::new();
    for key in 1..20 {
        // The other dispatcher receives the workers in the opposite order and has another seed.
        let mut driver = Driver::with_workers(settings.clone(), 6);
        let mut other = Driver::new(settings.clone());
        other.dispatcher = Dispatcher::new(settings.clone(), 99).expect("valid settings");
        other.feed(&[complete_list((0..6).rev().map(ready).collect())]);
        let sent = sends(&driver.feed(&[job_with_key(key)]));
        assert_eq!(sent, sends(&other.feed(&[job_with_key(key)])));
        used.insert(sent[0].1);
    }
    assert!(used.len() >= 4, "keys spread over the workers: {used:?}");
}

#[test]
fn equal_events_cause_equal_actions_and_instances_are_independent() {
    let run = |with_other_instance: bool| {
        let mut driver = Driver::with_workers(settings(), 5);
        let mut other = Driver::with_workers(settings(), 5);
        for id in 0..200 {
            driver.feed(&[job_arrived(id, (id % 4) as u16)]);
            driver.complete_all(3, Outcome::Error);
            if with_other_instance {
                other.feed(&[job_arrived(id, IDEMPOTENT)]);
                other.complete_all(1, Outcome::ConnectFailed);
            }
            driver.advance(SECOND / 30);
        }
        driver.log
    };
    let alone = run(false);
    assert!(alone.len() > 400);
    assert_eq!(alone, run(true));
}

/// Returns variants of the settings, each without one feature: other dispatchers, costs, cancellation, objectives that grow
/// with the work and idempotency, reports of a start.
fn unusual_settings() -> Vec<Settings> {
    let mut variants = vec![settings(); 5];
    variants[0].fleet_size = 1;
    variants[1].costs = Costs::default();
    variants[2].limits.cancel = false;
    for class in &mut variants[3].classes {
        class.objective_per_work = 0.0;
        class.idempotency = Idempotency::NonIdempotent;
    }
    variants[4].reports_start = false;
    variants
}

#[test]
fn the_rules_hold_under_unusual_settings() {
    for settings in unusual_settings() {
        let mut driver = Driver::with_workers(settings, 1);
        for id in 0..40 {
            driver.feed(&[job_arrived(id, (id % 4) as u16)]);
            if id % 3 == 0 {
                driver.complete_all(9, Outcome::Ok);
            }
            if id == 20 {
                driver.feed(&[complete_list(vec![])]);
            }
            if id == 30 {
                driver.feed(&[ready_workers(1)]);
            }
            driver.advance(SECOND / 5);
        }
        driver.advance(30 * SECOND);
        assert!((0..40).all(|id| driver.is_concluded(id)));
    }
}
