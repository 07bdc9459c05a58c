//! Which workers a dispatcher tries, by its place in the fleet and by how long jobs wait.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::test_support::*;
use std::collections::BTreeSet;

/// Time constant, in microseconds, so long that a sample doesn't age within a test.
const NO_DECAY: f64 = 1e9;

/// A dispatcher of 20 workers, one of a fleet of 20, at whose other local workers jobs wait for
/// `start_delay`.
fn one_of_twenty(index: u32, start_delay: f64) -> Dispatcher {
    let mut dispatcher = dispatcher(20);
    dispatcher.settings.fleet_size = 20;
    dispatcher.settings.instance_index = index;
    dispatcher.rebuild_order();
    dispatcher.placement.start_delays[1].add(start_delay, 10.0, SECOND, NO_DECAY);
    dispatcher
}

/// Found as late answers where as many dispatchers as workers, unseen by each other, sent anywhere.
#[test]
fn dispatchers_settle_on_workers_of_their_own_where_others_keep_them_waiting() {
    let first = |index| {
        let mut out = vec![];
        one_of_twenty(index, 1e6).step(SECOND, &[arrival(1, 1.0)], &mut out);
        sends(&out)[0].1
    };
    let firsts: BTreeSet<u64> = (0..20).map(first).collect();
    assert!(firsts.len() >= 15, "{firsts:?}");
}

/// Found as a zone with few workers where jobs waited three runs, beside idle zones that no job crossed to.
#[test]
fn a_job_crosses_to_another_zone_when_its_own_keeps_jobs_waiting() {
    for (start_delay, crosses) in [(0.0, false), (5e6, true)] {
        let mut dispatcher = dispatcher(4);
        dispatcher.settings.fleet_size = 4;
        dispatcher.settings.costs.cross_zone = 0.05;
        dispatcher.workers[3].listed.zone = ZoneId(1);
        dispatcher.rebuild_order();
        for worker in &mut dispatcher.workers[..3] {
            worker.locality_tier = 1;
        }
        dispatcher.placement.start_delays[1].add(start_delay, 10.0, SECOND, NO_DECAY);
        let mut out = vec![];
        dispatcher.step(SECOND, &[arrival(1, 1.0)], &mut out);
        assert_eq!(sends(&out)[0].1 == 3, crosses, "{start_delay}");
    }
}

/// Found as queues that filled within five seconds and stayed full to the end: sixty dispatchers that each
/// try every worker keep every queue full.
#[test]
fn the_longer_jobs_wait_the_fewer_workers_are_tried() {
    let used = |start_delay| {
        let jobs: Vec<_> = (0..20).map(|id| arrival(id, 1.0)).collect();
        let mut out = vec![];
        one_of_twenty(7, start_delay).step(SECOND, &jobs, &mut out);
        sends(&out).iter().map(|send| send.1).collect::<BTreeSet<_>>().len()
    };
    assert!(used(0.0) >= 5);
    assert_eq!(used(20e6), 2);
}

/// Found as queues of a fleet that shrank: start delays are recorded at starts, so one that only grows showed
/// none.
#[test]
fn a_job_that_has_not_started_bounds_the_start_delay_at_its_worker() {
    let mut dispatcher = dispatcher(1);
    let mut out = vec![];
    dispatcher.step(SECOND, &[arrival(1, 1.0)], &mut out);
    assert_eq!(sends(&out), [(1, 0)]);
    dispatcher.step(4 * SECOND, &[arrival(2, 1.0)], &mut out);
    let start_delay = dispatcher.workers[0].snapshot.start_delay;
    assert!(start_delay >= 3e6, "{start_delay}");
    let update = AttemptUpdate::Started;
    let started = Event::AttemptProgress { job: JobId(1), attempt: 0, update };
    dispatcher.step(5 * SECOND, &[started, arrival(3, 1.0)], &mut out);
    assert!(dispatcher.workers[0].snapshot.start_delay < 4e6, "only what was recorded counts");
}
