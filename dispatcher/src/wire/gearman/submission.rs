//! Handles submissions: queues the job, or joins it to the one with the same unique ID.

use super::job_clients::WaitingClient;
use super::payload::JobParts;
use super::peer::Peer;
use super::replies::{error_reply, reply};
use super::{Gearman, Jobs};
use crate::core::{Payload, clock};
use roselock::{Micros, SECOND};
use roselock_backlog::{CalendarFields, JobNo, NewJob, Rejection, Waiter};
use roselock_gearman::submit::InvalidSubmission;
use roselock_gearman::{Kind, Malformed, Packet, Submission, When};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Maximum length of a unique ID, in bytes.
const MAX_UNIQUE_BYTES: usize = 256;
/// How far ahead a job may be scheduled, in seconds.
const MAX_SCHEDULE_AHEAD_S: u64 = 366 * 86_400;

/// The reason why a submission is rejected. The text is sent to the client.
#[derive(Debug, Error)]
enum SubmitError {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error(transparent)]
    Invalid(#[from] InvalidSubmission),
    #[error("a unique id has at most 256 bytes")]
    UniqueTooLarge,
    #[error("at most {max_bytes} bytes of data")]
    DataTooLarge { max_bytes: usize },
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    #[error("this server is about to end; submit elsewhere, or again later")]
    ShuttingDown,
    #[error("this function is not taken here")]
    UnknownFunction,
    #[error("{}", .0.text())]
    Rejected(Rejection),
}

/// The reason why a scheduled time is rejected. The text is sent to the client.
#[derive(Debug, Error)]
enum ScheduleError {
    #[error("the time is over a year off")]
    EpochTooFar,
    #[error("the next such time is over a year off")]
    NextTooFar,
    #[error("there is no such time")]
    NoSuchTime,
}

impl From<Rejection> for SubmitError {
    fn from(rejection: Rejection) -> SubmitError {
        SubmitError::Rejected(rejection)
    }
}

impl SubmitError {
    /// The code for the ERROR packet.
    fn code(&self) -> &'static str {
        match self {
            SubmitError::Invalid(InvalidSubmission::Kind) => "UNEXPECTED_PACKET",
            SubmitError::Malformed(_)
            | SubmitError::Invalid(InvalidSubmission::Time)
            | SubmitError::Schedule(_) => "INVALID_ARGUMENTS",
            SubmitError::UniqueTooLarge => "UNIQUE_TOO_LARGE",
            SubmitError::DataTooLarge { .. } => "TOO_LARGE",
            SubmitError::ShuttingDown => "SHUTTING_DOWN",
            SubmitError::UnknownFunction | SubmitError::Rejected(Rejection::Closed) => "UNKNOWN_FUNCTION",
            SubmitError::Rejected(_) => "QUEUE_FULL",
        }
    }
}

/// The time by the wall clock, in microseconds since the Unix epoch. It may jump forwards or backwards.
pub fn wall_clock_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// Whether a packet submits a job.
pub fn is_submission(kind: Kind) -> bool {
    use Kind as K;
    matches!(
        kind,
        K::SubmitJob
            | K::SubmitJobBg
            | K::SubmitJobHigh
            | K::SubmitJobHighBg
            | K::SubmitJobLow
            | K::SubmitJobLowBg
            | K::SubmitJobSched
            | K::SubmitJobEpoch
            | K::SubmitReduceJob
            | K::SubmitReduceJobBackground
    )
}

/// Whether a job with `bytes` of data fits into the memory limit.
pub fn has_capacity_for(front: &Gearman, bytes: usize) -> bool {
    front.jobs.lock().backlog.bytes() + bytes <= front.settings.bounds.max_bytes
}

/// Queues a job, or joins it to a pending one with the same function and unique ID. Returns an ERROR packet if the job is
/// rejected; otherwise JOB_CREATED has been queued for sending.
pub fn submit(
    front: &Arc<Gearman>,
    peer: &Arc<Peer>,
    kind: Kind,
    data: Vec<u8>,
    wants_exceptions: bool,
) -> Option<Vec<u8>> {
    let error = try_submit(front, peer, kind, data, wants_exceptions).err()?;
    Some(error_reply(error.code(), &error.to_string()))
}

fn try_submit(
    front: &Arc<Gearman>,
    peer: &Arc<Peer>,
    kind: Kind,
    data: Vec<u8>,
    wants_exceptions: bool,
) -> Result<(), SubmitError> {
    let packet = Packet::parse(kind, &data)?;
    let job = Submission::read(&packet)?;
    // A unique ID of '-' means that the job's data is its unique ID.
    let unique = if job.unique == b"-" { job.data } else { job.unique };
    front.check_sizes(unique, job.data)?;
    let not_before = front.start_time(&job.when)?;
    front.check_not_shutting_down(job.background, not_before)?;
    let function = front.find_or_add_function(job.function).ok_or(SubmitError::UnknownFunction)?;
    let waiter = WaitingClient { peer: peer.clone(), wants_exceptions };
    let submission = CheckedSubmission {
        front,
        peer,
        function,
        priority: job.priority as usize,
        is_background: job.background,
        waiter: (!job.background).then(|| Waiter { client: peer.number, context: waiter }),
    };
    // A job that joins another needs no payload, so the payload is built only afterwards.
    if submission.join_or_check_capacity(unique, data.len())? {
        return Ok(());
    }
    let parts = JobParts::locate(&job, unique, &data);
    let unique = unique.to_vec();
    let payload = front.build_payload(function, data, parts);
    submission.submit(unique, not_before, payload)
}

impl Gearman {
    fn check_sizes(&self, unique: &[u8], data: &[u8]) -> Result<(), SubmitError> {
        if unique.len() > MAX_UNIQUE_BYTES {
            return Err(SubmitError::UniqueTooLarge);
        }
        let max_bytes = self.settings.max_job_bytes;
        if data.len() > max_bytes {
            return Err(SubmitError::DataTooLarge { max_bytes });
        }
        Ok(())
    }

    /// Rejects jobs that would be lost because the process is shutting down.
    fn check_not_shutting_down(
        &self,
        is_background: bool,
        not_before: Option<Micros>,
    ) -> Result<(), SubmitError> {
        let is_draining = self.inbox.shutdown_requested_at().is_some();
        let outlives_process = is_background || not_before.is_some();
        if self.is_drained.load(Ordering::SeqCst) || (is_draining && outlives_process) {
            return Err(SubmitError::ShuttingDown);
        }
        Ok(())
    }

    /// When a job may start, by the wall clock; `None` if immediately.
    fn start_time(&self, when: &When) -> Result<Option<Micros>, ScheduleError> {
        let now = wall_clock_now();
        match *when {
            When::Now => Ok(None),
            When::Epoch(seconds) => {
                if seconds > (now / SECOND) as u64 + MAX_SCHEDULE_AHEAD_S {
                    return Err(ScheduleError::EpochTooFar);
                }
                Ok(Some(seconds as Micros * SECOND).filter(|time| *time > now))
            }
            When::Sched { minute, hour, day, month, weekday } => {
                let fields = CalendarFields { minute, hour, day, month, weekday };
                let next = fields.next(now, &self.settings.time_zone).ok_or(ScheduleError::NoSuchTime)?;
                if next > now + MAX_SCHEDULE_AHEAD_S as Micros * SECOND {
                    return Err(ScheduleError::NextTooFar);
                }
                Ok(Some(next))
            }
        }
    }
}

/// A submission whose arguments have been validated.
struct CheckedSubmission<'a> {
    front: &'a Arc<Gearman>,
    peer: &'a Arc<Peer>,
    function: usize,
    /// 0 (high) to 2 (low).
    priority: usize,
    is_background: bool,
    /// The client, if it waits for the result.
    waiter: Option<Waiter<WaitingClient>>,
}

impl CheckedSubmission<'_> {
    /// Joins a job with the same unique ID and returns true, or checks that there is capacity for a new job and returns
    /// false.
    fn join_or_check_capacity(&self, unique: &[u8], bytes: usize) -> Result<bool, SubmitError> {
        let mut jobs = self.front.jobs.lock();
        if let Some(job_no) = jobs.backlog.by_unique(self.function, unique) {
            self.join(&mut jobs, job_no)?;
            return Ok(true);
        }
        jobs.backlog.check_capacity(self.function, self.priority, bytes)?;
        Ok(false)
    }

    fn join(&self, jobs: &mut Jobs, job_no: JobNo) -> Result<(), SubmitError> {
        jobs.backlog.join(job_no, self.priority, self.is_background, self.waiter.clone())?;
        self.send_created(job_no);
        Ok(())
    }

    fn submit(
        &self,
        unique: Vec<u8>,
        not_before: Option<Micros>,
        payload: Payload,
    ) -> Result<(), SubmitError> {
        let new = NewJob {
            function: self.function,
            priority: self.priority,
            unique,
            background: self.is_background,
            waiter: self.waiter.clone(),
            not_before,
            bytes: payload.raw.capacity(),
            payload: Arc::new(payload),
        };
        let mut jobs = self.front.jobs.lock();
        // A job with the same unique ID may have been queued since the first check.
        if let Some(job_no) = jobs.backlog.by_unique(self.function, &new.unique) {
            return self.join(&mut jobs, job_no);
        }
        let job_no = jobs.backlog.submit(new, clock::now())?;
        // Sent while the jobs are locked, so that JOB_CREATED precedes every other packet about the job.
        self.send_created(job_no);
        let should_notify = self.front.should_notify_event_loop(&mut jobs);
        drop(jobs);
        self.front.notify_event_loop_if(should_notify);
        Ok(())
    }

    fn send_created(&self, job_no: JobNo) {
        self.peer.send(reply(Kind::JobCreated, &[self.front.job_handle(job_no).as_bytes()]));
    }
}
