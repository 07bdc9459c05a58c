//! A clairvoyant scheduler of the same capacity, as a reference for the share of requests served in time: a fluid queue in
//! FIFO order that knows each worker's capacity and each request's deadline, and spends no capacity on a request that it
//! cannot serve in time.

use crate::time::{Micros, SECOND};
use crate::worker_profile::WorkerProfile;

/// Resolution of the table of cumulative capacity, in microseconds.
const CAPACITY_STEP: Micros = SECOND / 100;

/// The number of jobs that a worker serves up to an age in microseconds, in the fluid model: its capacity grows linearly
/// while it warms up.
#[must_use]
pub fn jobs_served(profile: &WorkerProfile, age: Micros) -> f64 {
    let age_s = age.max(0) as f64 / 1e6;
    let warm_up_s = profile.warm_up_s.max(0.0);
    let warm_rate = profile.slots as f64 / profile.job_s;
    let time_warming_s = age_s.min(warm_up_s);
    let growth = if warm_up_s > 0.0 {
        (1.0 - profile.cold_capacity_share) * time_warming_s * time_warming_s / (2.0 * warm_up_s)
    } else {
        0.0
    };
    warm_rate * (profile.cold_capacity_share * time_warming_s + growth + (age_s - time_warming_s))
}

/// The share of requests that would be served within `timeout` of their arrival. A worker without a start time is warm when
/// the run starts; all times are in microseconds since the start of the run.
#[must_use]
pub fn share_in_time(
    profile: &WorkerProfile,
    started_at: &[Option<Micros>],
    arrivals: &[Micros],
    timeout: Micros,
) -> f64 {
    let Some(last) = arrivals.iter().max() else { return 1.0 };
    let steps = (last + timeout) / CAPACITY_STEP + 2;
    let capacity: Vec<f64> =
        (0..steps).map(|step| cumulative_capacity(profile, started_at, step * CAPACITY_STEP)).collect();
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_unstable();
    let mut allocated_jobs = 0.0_f64;
    let mut served = 0;
    for arrival in &arrivals {
        let jobs_before = capacity[(arrival / CAPACITY_STEP) as usize].max(allocated_jobs);
        let ends_at = capacity.partition_point(|sum| *sum < jobs_before + 1.0) as Micros * CAPACITY_STEP;
        if ends_at - arrival <= timeout {
            allocated_jobs = jobs_before + 1.0;
            served += 1;
        }
    }
    f64::from(served) / arrivals.len() as f64
}

/// The number of jobs that all workers can serve from the start of the run up to a time.
fn cumulative_capacity(profile: &WorkerProfile, started_at: &[Option<Micros>], at: Micros) -> f64 {
    let warm_start = -((profile.warm_up_s * 1e6) as Micros) - SECOND;
    let served = |started_at: &Option<Micros>| {
        let started_at = started_at.unwrap_or(warm_start);
        jobs_served(profile, at - started_at) - jobs_served(profile, -started_at.min(0))
    };
    started_at.iter().map(served).sum()
}
