//! Candidate selection by the dispatcher's position in the fleet and by the start delays.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::test_support::*;
use std::collections::BTreeSet;

/// Time constant, in microseconds, that is long enough for a sample not to age within a test.
const NO_DECAY: f64 = 1e9;

/// Dispatcher `index` of a fleet of 20 with 20 workers; jobs wait for `start_delay` microseconds at the local
/// workers outside its own share.
fn one_of_twenty(index: u32, start_delay: f64) -> Dispatcher {
    let mut dispatcher = dispatcher(20);
    dispatcher.settings.fleet_size = 20;
    dispatcher.settings.instance_index = index;
    dispatcher.rebuild_order();
    dispatcher.placement.start_delays[1].add(start_delay, 10.0, SECOND, NO_DECAY);
    dispatcher
}

/// Regression test: with as many dispatchers as workers, each sending to any worker without seeing the
/// others' jobs, answers were late.
#[test]
fn dispatchers_prefer_distinct_workers_when_start_delays_are_high() {
    let first = |index| {
        let mut out = vec![];
        one_of_twenty(index, 1e6).step(SECOND, &[arrival(1, 1.0)], &mut out);
        sends(&out)[0].1
    };
    let firsts: BTreeSet<u64> = (0..20).map(first).collect();
    assert!(firsts.len() >= 15, "{firsts:?}");
}

/// Regression test: jobs waited for three run times in a zone with few workers although other zones were
/// idle.
#[test]
fn a_job_is_sent_to_another_zone_when_local_start_delays_are_high() {
    for (start_delay, crosses) in [(0.0, false), (5e6, true)] {
        let mut dispatcher = dispatcher(4);
        dispatcher.settings.fleet_size = 4;
        dispatcher.settings.costs.cross_zone = 0.05;
        dispatcher.workers[3].endpoint.zone = ZoneId(1);
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

/// Regression test: sixty dispatchers that each tried every worker filled all queues within five seconds and
/// kept them full to the end.
#[test]
fn fewer_workers_are_tried_as_start_delays_grow() {
    let used = |start_delay| {
        let jobs: Vec<_> = (0..20).map(|id| arrival(id, 1.0)).collect();
        let mut out = vec![];
        one_of_twenty(7, start_delay).step(SECOND, &jobs, &mut out);
        sends(&out).iter().map(|send| send.1).collect::<BTreeSet<_>>().len()
    };
    assert!(used(0.0) >= 5);
    assert_eq!(used(20e6), 2);
}

/// Regression test: start delays are recorded when a job starts, so queues that only grew, as in a fleet that
/// had shrunk, showed no delay.
#[test]
fn the_wait_of_an_unstarted_job_is_a_lower_bound_of_the_start_delay() {
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
    assert!(dispatcher.workers[0].snapshot.start_delay < 4e6, "only recorded start delays count");
}
