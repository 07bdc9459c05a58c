//! Tests of the clairvoyant reference: its capacity, and the share of requests that it serves in time.

use roselock_rig::clairvoyant::{jobs_served, share_in_time};
use roselock_rig::worker_profile::WorkerProfile;
use roselock_rig::{Micros, SECOND};
use rstest::rstest;

/// With two slots and jobs of 0.25 s, a worker serves 8 jobs per second when warm, 1.2 at the start, and 110.4 jobs in the
/// 24 s of the warm-up.
#[rstest]
fn capacity_grows_while_a_worker_warms_up() {
    let profile = WorkerProfile::default();
    assert!((jobs_served(&profile, 24 * SECOND) - 110.4).abs() < 1e-6);
    assert!((jobs_served(&profile, 25 * SECOND) - 118.4).abs() < 1e-6);
    assert!((jobs_served(&profile, SECOND / 10) - 0.12).abs() < 0.01);
}

/// Guards against an unusable reference: all requests are served if the capacity suffices, and otherwise no more than the
/// capacity.
#[rstest]
#[case::warm(None, 6, 1.0..1.01)]
#[case::warm_and_overloaded(None, 16, 0.5..0.6)]
#[case::cold(Some(0), 1, 0.9..1.01)]
#[case::cold_and_overloaded(Some(0), 8, 0.2..0.45)]
fn share_in_time_follows_the_capacity(
    #[case] started_at: Option<Micros>,
    #[case] per_second: Micros,
    #[case] expected: std::ops::Range<f64>,
) {
    let arrivals: Vec<Micros> = (0..10 * per_second).map(|number| number * SECOND / per_second).collect();
    let share = share_in_time(&WorkerProfile::default(), &[started_at], &arrivals, SECOND);
    assert!(expected.contains(&share), "{share}");
}
