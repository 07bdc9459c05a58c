//! Any order of events at a worker's half of a connection: each job that was reserved ends once.
#![no_main]

use libfuzzer_sys::fuzz_target;
use roselock_gearman::Kind;
use roselock_gearman::server::{Expiry, Finish, Reservation, Worker};
use std::collections::BTreeSet;

fuzz_target!(|input: &[u8]| {
    let mut worker: Worker<u8, u32> = Worker::default();
    let (mut now, mut next) = (0, 0);
    let mut open: BTreeSet<u32> = BTreeSet::new();
    let handle = |job: &u32| job.to_be_bytes().to_vec();
    let mut end = |open: &mut BTreeSet<u32>, job: u32| assert!(open.remove(&job), "{job} ended twice");
    for pair in input.chunks_exact(2) {
        let (what, with) = (pair[0] % 11, pair[1]);
        let function = with % 3;
        match what {
            0 => worker.can_do(function, (with > 127).then_some(50), now),
            1 => worker.cant_do(function).flatten().into_iter().for_each(|j| end(&mut open, j)),
            2 => {
                next += 1;
                open.insert(next);
                match worker.reserve(function, next, now + 20) {
                    Reservation::Unavailable(job) | Reservation::Disconnected(job) => end(&mut open, job),
                    Reservation::Grabbing(_) => assert!(worker.grab(now, handle).is_some()),
                    Reservation::WakeUp | Reservation::Awake => {}
                }
            }
            3 => _ = worker.grab(now, handle),
            4 => _ = worker.wait_for_job(Kind::GrabJob, now + 10),
            5 => _ = worker.pre_sleep(),
            6 => {
                let job = u32::from(with) % (next + 1);
                if let Finish::Running(job) = worker.finish(&handle(&job)) {
                    end(&mut open, job);
                }
            }
            7 => {
                now += i64::from(with);
                if let Some(Expiry::NotGrabbed(job) | Expiry::NotFinished(job)) = worker.expire(now) {
                    end(&mut open, job);
                }
            }
            8 => worker.cancel_reservation(|j| j % 2 == u32::from(with) % 2).into_iter().for_each(|j| end(&mut open, j)),
            9 => worker.abandon(|j| j % 2 == u32::from(with) % 2).into_iter().for_each(|j| end(&mut open, j)),
            _ => worker.take_running().into_iter().for_each(|j| end(&mut open, j)),
        }
        assert!(open.len() <= 1, "a worker holds one job");
    }
    let had = worker.disconnect();
    had.reserved.into_iter().chain(had.running).for_each(|j| end(&mut open, j));
    assert!(open.is_empty());
});
