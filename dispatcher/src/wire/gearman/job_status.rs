//! Replies to status requests for a job.

use super::Gearman;
use super::job_clients::WaitingClient;
use super::replies::reply;
use crate::core::Payload;
use roselock_backlog::Job;
use roselock_gearman::Kind;

/// The status of a job, formatted as packet arguments.
struct StatusArguments {
    is_known: &'static str,
    is_running: &'static str,
    numerator: String,
    denominator: String,
}

impl StatusArguments {
    fn from_job(job: Option<&Job<WaitingClient, Payload>>) -> StatusArguments {
        let (numerator, denominator) = job.map_or((0, 0), |job| job.progress);
        StatusArguments {
            is_known: flag(job.is_some()),
            is_running: flag(job.is_some_and(|job| job.running)),
            numerator: numerator.to_string(),
            denominator: denominator.to_string(),
        }
    }
}

fn flag(is_set: bool) -> &'static str {
    if is_set { "1" } else { "0" }
}

/// Builds the STATUS_RES packet for a job handle.
pub fn by_handle(front: &Gearman, handle: &[u8]) -> Vec<u8> {
    let jobs = front.jobs.lock();
    let job = front.job_no(handle).and_then(|job_no| jobs.backlog.job(job_no));
    let status = StatusArguments::from_job(job);
    let args = [
        handle,
        status.is_known.as_bytes(),
        status.is_running.as_bytes(),
        status.numerator.as_bytes(),
        status.denominator.as_bytes(),
    ];
    reply(Kind::StatusRes, &args)
}

/// Builds the STATUS_RES_UNIQUE packet for a unique ID, with the status of its job and the number of waiting clients.
pub fn by_unique_id(front: &Gearman, unique: &[u8]) -> Vec<u8> {
    let function_count = front.function_registry.load().functions.len();
    let jobs = front.jobs.lock();
    let job_no = (0..function_count).find_map(|function| jobs.backlog.by_unique(function, unique));
    let job = job_no.and_then(|job_no| jobs.backlog.job(job_no));
    let status = StatusArguments::from_job(job);
    let waiters = job.map_or(0, |job| job.waiters.len()).to_string();
    let args = [
        unique,
        status.is_known.as_bytes(),
        status.is_running.as_bytes(),
        status.numerator.as_bytes(),
        status.denominator.as_bytes(),
        waiters.as_bytes(),
    ];
    reply(Kind::StatusResUnique, &args)
}
