//! Answers to clients that ask for the status of a job.

use super::Gearman;
use super::job_clients::WaitingClient;
use super::replies::reply;
use crate::core::Payload;
use roselock_backlog::Job;
use roselock_gearman::Kind;

/// The status of a job, as the arguments of its packet.
struct StatusArguments {
    is_known: &'static str,
    is_running: &'static str,
    numerator: String,
    denominator: String,
}

impl StatusArguments {
    fn of(job: Option<&Job<WaitingClient, Payload>>) -> StatusArguments {
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

/// STATUS_RES for a job handle.
pub fn by_handle(front: &Gearman, handle: &[u8]) -> Vec<u8> {
    let jobs = front.jobs.lock();
    let job = front.job_no(handle).and_then(|job_no| jobs.backlog.job(job_no));
    let status = StatusArguments::of(job);
    let args = [
        handle,
        status.is_known.as_bytes(),
        status.is_running.as_bytes(),
        status.numerator.as_bytes(),
        status.denominator.as_bytes(),
    ];
    reply(Kind::StatusRes, &args)
}

/// STATUS_RES_UNIQUE for a unique id: the status of its job, and how many clients wait for that.
pub fn by_unique_id(front: &Gearman, unique: &[u8]) -> Vec<u8> {
    let functions = front.functions.load().all.len();
    let jobs = front.jobs.lock();
    let job_no = (0..functions).find_map(|function| jobs.backlog.by_unique(function, unique));
    let job = job_no.and_then(|job_no| jobs.backlog.job(job_no));
    let status = StatusArguments::of(job);
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
