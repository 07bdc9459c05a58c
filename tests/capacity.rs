//! Estimates of a worker's free capacity: load reports, reservations, and the jobs' requirements.

mod common;
use common::driver::{Driver, InFlightAttempt};
use common::*;
use roselock::*;
use std::collections::BTreeSet;

#[test]
fn the_report_of_a_rejection_does_not_count_the_reservation_of_the_rejected_job() {
    let mut driver = Driver::with_workers(settings(), 1);
    driver.feed(&[job_arrived(1, IDEMPOTENT)]);
    let actions = driver.feed(&[attempt_ended_with(1, 0, Outcome::Rejected, free_slots(0.0))]);
    assert_eq!(sends(&actions), [], "no free slot: the job waits");
    assert!(
        !sends(&driver.advance(5 * SECOND)).is_empty(),
        "the estimate returns to the usual capacity as the report ages"
    );
}

#[test]
fn the_report_with_an_answer_still_counts_the_slot_that_the_answer_frees() {
    let mut driver = Driver::with_workers(settings(), 1);
    driver.feed(&[job_arrived(1, IDEMPOTENT)]);
    driver.feed(&[attempt_started(1, 0)]);
    driver.feed(&[attempt_ended_with(1, 0, Outcome::Ok, free_slots(0.96))]);
    // One slot is free (0.96: reports are noisy), and the report still counted the finished job's slot as taken: two may be sent.
    assert_eq!(sends(&driver.feed(&jobs_arrived(2..4, IDEMPOTENT))).len(), 2);
}

#[test]
fn a_backlog_is_not_sent_as_a_whole_to_one_idle_worker() {
    let mut driver = Driver::new(settings());
    driver.feed(&jobs_arrived(0..20, IDEMPOTENT));
    let actions = driver.feed(&[ready_workers(1)]);
    assert!((1..=3).contains(&sends(&actions).len()), "{:?}", sends(&actions));
}

#[test]
fn required_kind_slots_and_memory_are_respected() {
    let mut settings = settings();
    settings.classes[0].kind = Some(KindId(1));
    let mut driver = Driver::new(settings);
    let other_kind = Endpoint { kind: KindId(1), ..ready(1) };
    driver.feed(&[complete_list(vec![ready(0), other_kind])]);
    assert_eq!(sends(&driver.feed(&[job_arrived(1, IDEMPOTENT)])), [(1, 1)]);
    let report = LoadReport { free_memory: Some(0.5), ..free_slots(3.0) };
    driver.feed(&[attempt_ended_with(1, 0, Outcome::Ok, report)]);
    let needs =
        |id, slots, memory| Event::JobArrived(JobRequest { slots, memory, ..request(id, IDEMPOTENT) });
    assert_eq!(sends(&driver.feed(&[needs(2, 5.0, 0.1)])), [], "needs more slots than the worker has");
    assert_eq!(sends(&driver.feed(&[needs(3, 1.0, 0.9)])), [], "needs more memory than is free");
    assert_eq!(sends(&driver.feed(&[needs(4, 2.0, 0.4)])), [(4, 1)]);
}

#[test]
fn a_late_start_counts_as_a_report_of_no_free_slot() {
    let mut driver = Driver::with_workers(settings(), 1);
    driver.feed(&[job_arrived(1, NON_IDEMPOTENT)]);
    driver.feed(&[attempt_started(1, 0)]);
    driver.feed(&[attempt_ended_with(1, 0, Outcome::Ok, free_slots(3.0))]);
    driver.feed(&[job_arrived(2, NON_IDEMPOTENT)]);
    driver.advance(SECOND / 2);
    driver.feed(&[attempt_started(2, 0)]);
    assert_eq!(
        sends(&driver.feed(&[job_arrived(3, NON_IDEMPOTENT)])),
        [],
        "the delay shows that other schedulers fill the worker"
    );
    let mut actions = driver.feed(&[attempt_ended(2, 0, Outcome::Ok)]);
    actions.extend(driver.advance(9 * SECOND));
    assert_eq!(sends(&actions), [(3, 0)], "the observation expires");
}

#[test]
fn a_delayed_report_is_corrected_for_jobs_started_after_its_measurement() {
    // Guards against double use of a slot: where reports are half a second old on the mean (portal-norte), the slot of a job
    // that started since the measurement is still reported as free, and a second job would be sent to wait there.
    let sent = [true, false].map(|delayed| {
        let mut driver = Driver::with_workers(settings(), 1);
        let report = LoadReport { delayed, ..free_slots(1.0) };
        let health_check = Event::HealthCheckEnded { worker: WorkerId(0), ok: true, report };
        driver.feed(std::slice::from_ref(&health_check));
        assert_eq!(sends(&driver.feed(&[job_arrived(1, IDEMPOTENT)])), [(1, 0)]);
        driver.feed(&[attempt_started(1, 0)]);
        driver.advance(20_000);
        driver.feed(&[health_check]);
        sends(&driver.feed(&[job_arrived(2, IDEMPOTENT)])).len()
    });
    assert_eq!(sent, [0, 1]);
}

/// Feeds a job of a tenant and returns the worker that it is sent to first. Worker 0 rejects the jobs of tenant 0 although it
/// reports free slots.
fn first_worker_for_tenant(driver: &mut Driver, id: u32, tenant: u16) -> u64 {
    let job = JobRequest { tenant: Some(TenantId(tenant)), ..request(id, IDEMPOTENT) };
    let worker = sends(&driver.feed(&[Event::JobArrived(job)]))[0].1;
    let rejects = worker == 0 && tenant == 0;
    let outcome = if rejects { Outcome::Rejected } else { Outcome::Ok };
    driver.feed(&[attempt_ended_with(id, 0, outcome, free_slots(4.0))]);
    driver.advance(SECOND / 10);
    for InFlightAttempt { job, attempt, .. } in driver.in_flight() {
        driver.feed(&[attempt_ended(job, attempt, Outcome::Ok)]);
    }
    worker
}

#[test]
fn a_tenant_rejected_beside_free_slots_is_sent_elsewhere_and_other_tenants_are_not() {
    // Guards against repeated sends to workers that reject a tenant although they have capacity: 75% of one tenant's attempts
    // were rejected, and 0.7% of the other tenant's.
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 1e3 }, Tenant { quota_per_s: 1e3 }];
    let mut driver = Driver::with_workers(settings, 2);
    let rejected = (0..40).filter(|id| first_worker_for_tenant(&mut driver, *id, 0) == 0).count();
    assert!(rejected <= 1, "{rejected} of 40");
    let accepted = (40..80).filter(|id| first_worker_for_tenant(&mut driver, *id, 1) == 0).count();
    assert!(accepted >= 5, "{accepted} of 40: the other tenant is still sent there");
}

/// Guards against CPU time above its limit in fleets of hundreds of workers, where every job would be compared with all of them.
#[test]
fn only_part_of_a_large_fleet_is_considered_until_those_workers_are_full() {
    let mut driver = Driver::with_workers(settings(), 200);
    let mut used = BTreeSet::new();
    for id in 0..100 {
        let sent = sends(&driver.feed(&[job_arrived(id, NON_IDEMPOTENT)]));
        driver.feed(&[attempt_started(id, 0), attempt_ended(id, 0, Outcome::Ok)]);
        used.extend(sent.iter().map(|(_, worker)| *worker));
    }
    assert!(used.len() <= 16, "{used:?}");
    let mut actions = driver.feed(&jobs_arrived(100..200, NON_IDEMPOTENT));
    for _ in 0..200 {
        actions.extend(driver.advance(SECOND / 20));
    }
    let used: BTreeSet<u64> = sends(&actions).iter().map(|(_, worker)| *worker).collect();
    assert!(used.len() > 16, "{used:?}");
}

/// Guards against jobs that wait while workers are free: workers in slow start that only other dispatchers may send to took all
/// places among the considered workers, and the warm workers after them were not considered.
#[test]
fn slow_start_workers_of_other_schedulers_do_not_displace_warm_workers() {
    let mut settings = settings_without_hedging();
    settings.fleet_size = 100;
    let mut driver = Driver::new(settings);
    let started_at = |worker: u64| (worker < 40).then_some(SECOND / 2);
    let endpoints = (0..48).map(|worker| endpoint(worker, EndpointState::Ready, started_at(worker)));
    driver.feed(&[complete_list(endpoints.collect())]);
    driver.feed(&jobs_arrived(0..8, NON_IDEMPOTENT));
    driver.advance(SECOND / 10);
    assert_eq!(driver.in_flight().len(), 8, "{:?}", driver.in_flight());
}
