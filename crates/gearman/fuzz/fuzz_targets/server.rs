//! The server's worker state under arbitrary sequences of events: each job that was reserved ends exactly once.
#![no_main]

use libfuzzer_sys::fuzz_target;
use roselock_gearman::Kind;
use roselock_gearman::server::{Expiry, Finish, Reservation, Worker};
use std::collections::BTreeSet;

fuzz_target!(|input: &[u8]| {
    let mut worker: Worker<u8, u32> = Worker::default();
    let (mut now, mut last_job) = (0, 0);
    let mut open_jobs: BTreeSet<u32> = BTreeSet::new();
    let handle = |job: &u32| job.to_be_bytes().to_vec();
    let mut end = |open_jobs: &mut BTreeSet<u32>, job: u32| assert!(open_jobs.remove(&job), "{job} ended twice");
    for pair in input.chunks_exact(2) {
        let (event, value) = (pair[0] % 11, pair[1]);
        let function = value % 3;
        match event {
            0 => worker.can_do(function, (value > 127).then_some(50), now),
            1 => worker.cant_do(function).flatten().into_iter().for_each(|job| end(&mut open_jobs, job)),
            2 => {
                last_job += 1;
                open_jobs.insert(last_job);
                match worker.reserve(function, last_job, now + 20) {
                    Reservation::Unavailable(job) | Reservation::Disconnected(job) => end(&mut open_jobs, job),
                    Reservation::Grabbing(_) => assert!(worker.grab(now, handle).is_some()),
                    Reservation::WakeUp | Reservation::Awake => {}
                }
            }
            3 => _ = worker.grab(now, handle),
            4 => _ = worker.wait_for_job(Kind::GrabJob, now + 10),
            5 => _ = worker.pre_sleep(),
            6 => {
                let job = u32::from(value) % (last_job + 1);
                if let Finish::Running(job) = worker.finish(&handle(&job)) {
                    end(&mut open_jobs, job);
                }
            }
            7 => {
                now += i64::from(value);
                if let Some(Expiry::NotGrabbed(job) | Expiry::NotFinished(job)) = worker.expire(now) {
                    end(&mut open_jobs, job);
                }
            }
            8 => worker.cancel_reservation(|job| job % 2 == u32::from(value) % 2).into_iter().for_each(|job| end(&mut open_jobs, job)),
            9 => worker.abandon(|job| job % 2 == u32::from(value) % 2).into_iter().for_each(|job| end(&mut open_jobs, job)),
            _ => worker.take_running().into_iter().for_each(|job| end(&mut open_jobs, job)),
        }
        assert!(open_jobs.len() <= 1, "a worker holds at most one job");
    }
    let disconnected = worker.disconnect();
    disconnected.reserved.into_iter().chain(disconnected.running).for_each(|job| end(&mut open_jobs, job));
    assert!(open_jobs.is_empty());
});
