//! What a clairvoyant dispatcher of the same capacity would serve, as a reference for the share in time: a fluid queue, first
//! come first served, that knows each worker's capacity and each request's deadline, and spends nothing on a request that it
//! cannot serve in time.

use crate::time::{Micros, SECOND};
use crate::worker_profile::WorkerProfile;

/// Step of the table of the capacity, in microseconds.
const STEP: Micros = SECOND / 100;

/// The jobs that a worker serves up to an age in microseconds, in the fluid: its capacity grows linearly while it warms up.
#[must_use]
pub fn served_by(profile: &WorkerProfile, age: Micros) -> f64 {
    let age_s = age.max(0) as f64 / 1e6;
    let warm_up_s = profile.warm_up_s.max(0.0);
    let warm_rate = profile.slots as f64 / profile.job_s;
    let warming_s = age_s.min(warm_up_s);
    let growth = if warm_up_s > 0.0 {
        (1.0 - profile.cold_capacity_share) * warming_s * warming_s / (2.0 * warm_up_s)
    } else {
        0.0
    };
    warm_rate * (profile.cold_capacity_share * warming_s + growth + (age_s - warming_s))
}

/// The share of requests that would be served within `timeout` of their arrival. Each worker was started at a time, or long
/// ago; all times are in microseconds since the start of the run.
#[must_use]
pub fn share_in_time(
    profile: &WorkerProfile,
    started_at: &[Option<Micros>],
    arrivals: &[Micros],
    timeout: Micros,
) -> f64 {
    let Some(last) = arrivals.iter().max() else { return 1.0 };
    let steps = (last + timeout) / STEP + 2;
    let capacity: Vec<f64> =
        (0..steps).map(|step| capacity_up_to(profile, started_at, step * STEP)).collect();
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_unstable();
    let mut work_done = 0.0_f64;
    let mut served = 0;
    for arrival in &arrivals {
        let starts = capacity[(arrival / STEP) as usize].max(work_done);
        let ends_at = capacity.partition_point(|sum| *sum < starts + 1.0) as Micros * STEP;
        if ends_at - arrival <= timeout {
            work_done = starts + 1.0;
            served += 1;
        }
    }
    f64::from(served) / arrivals.len() as f64
}

/// The jobs that all workers serve from the start of the run up to a time.
fn capacity_up_to(profile: &WorkerProfile, started_at: &[Option<Micros>], at: Micros) -> f64 {
    let long_ago = -((profile.warm_up_s * 1e6) as Micros) - SECOND;
    let served = |started_at: &Option<Micros>| {
        let started_at = started_at.unwrap_or(long_ago);
        served_by(profile, at - started_at) - served_by(profile, -started_at.min(0))
    };
    started_at.iter().map(served).sum()
}
