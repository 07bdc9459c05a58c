//! The server's state of a worker's connection: reservation, grabbing, timeouts and disconnection.

use roselock_gearman::Kind;
use roselock_gearman::server::{Disconnected, Expiry, Finish, Reservation, Worker};

type TestWorker = Worker<u8, u32>;

fn handle(job: &u32) -> Vec<u8> {
    format!("H:{job}").into_bytes()
}

fn sleeping_worker() -> TestWorker {
    let mut worker = TestWorker::default();
    worker.can_do(1, Some(1000), 0);
    assert!(!worker.pre_sleep());
    worker
}

#[test]
fn a_sleeping_worker_is_woken_once_and_holds_one_job() {
    let mut worker = sleeping_worker();
    assert_eq!(worker.reserve(1, 7, 50), Reservation::WakeUp);
    assert_eq!(worker.reserve(1, 8, 50), Reservation::Unavailable(8));
    assert_eq!(worker.grab(10, handle), Some(&7));
    assert_eq!(worker.grab(10, handle), None);
    assert_eq!(worker.reserve(1, 8, 50), Reservation::Unavailable(8));
    assert_eq!(worker.finish(b"H:8"), Finish::Unknown);
    assert_eq!(worker.finish(b"H:7"), Finish::Running(7));
    assert_eq!(worker.finish(b"H:7"), Finish::Unknown);
    assert_eq!(worker.reserve(1, 8, 50), Reservation::Awake);
}

/// After its time limit the job is abandoned, and the worker gets no other job until it has reported the end of this one.
#[test]
fn a_worker_past_its_time_limit_stays_busy_until_it_reports() {
    let mut worker = sleeping_worker();
    worker.reserve(1, 7, 50);
    worker.grab(10, handle);
    assert_eq!((worker.next_deadline(), worker.expire(1009)), (Some(1010), None));
    assert_eq!(worker.expire(1010), Some(Expiry::NotFinished(7)));
    assert_eq!(worker.reserve(1, 8, 50), Reservation::Unavailable(8));
    assert_eq!(worker.running(b"H:7"), None);
    assert_eq!(worker.finish(b"H:7"), Finish::Abandoned);
    assert!(worker.is_free_for(1));
}

/// A worker that is woken and does not grab its job in time loses the job, and gets no other until it sends a packet.
#[test]
fn an_unresponsive_worker_gets_no_job() {
    let mut worker = sleeping_worker();
    worker.reserve(1, 7, 50);
    assert_eq!(worker.expire(50), Some(Expiry::NotGrabbed(7)));
    assert_eq!(worker.reserve(1, 8, 99), Reservation::Unavailable(8));
    assert_eq!(worker.grab(60, handle), None);
    assert_eq!(worker.reserve(1, 8, 99), Reservation::Awake);
}

/// A grab packet with a delayed response is answered with the job that is reserved in the meantime, or with NO_JOB at the
/// deadline, but not with both.
#[test]
fn a_delayed_grab_is_answered_once() {
    let mut worker = sleeping_worker();
    assert!(worker.wait_for_job(Kind::GrabJobUniq, 30));
    assert!(!worker.wait_for_job(Kind::GrabJob, 30));
    assert_eq!(worker.reserve(1, 7, 50), Reservation::Grabbing(Kind::GrabJobUniq));
    assert_eq!(worker.grab(10, handle), Some(&7));
    assert!(!worker.wait_for_job(Kind::GrabJob, 40));
    assert_eq!(worker.finish(b"H:7"), Finish::Running(7));
    assert!(worker.wait_for_job(Kind::GrabJob, 40));
    assert_eq!((worker.expire(39), worker.expire(40), worker.expire(41)), (None, Some(Expiry::NoJob), None));
}

#[test]
fn unregistering_returns_the_reserved_job() {
    let mut worker = sleeping_worker();
    worker.can_do(2, None, 5);
    worker.reserve(1, 7, 50);
    assert_eq!(worker.cant_do(2), Some(None));
    assert_eq!(worker.cant_do(1), Some(Some(7)));
    assert_eq!(worker.cant_do(1), None);
    assert_eq!(worker.reserve(1, 7, 50), Reservation::Unavailable(7));
    let expected = Disconnected { functions: vec![1, 2], reserved: None, running: None };
    assert_eq!(worker.disconnect(), expected);
    assert_eq!(worker.reserve(2, 7, 50), Reservation::Disconnected(7));
}
