//! The endpoint list: trials of workers on an unconfirmed list, listed units, and the discovery polls.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::test_support::*;
use std::collections::BTreeSet;

/// Regression test (`old-silent` in the rig): non-idempotent jobs were lost at unresponsive workers of a
/// cached list. Until the discovery service has answered, each worker is tried with one job that may run
/// twice, and non-idempotent jobs wait for a worker that has answered.
#[test]
fn a_worker_on_an_unconfirmed_list_is_tried_with_one_idempotent_job_first() {
    let mut dispatcher = dispatcher(0);
    dispatcher.discovery.unconfirmed = true;
    dispatcher.settings.classes[0].idempotency = Idempotency::Idempotent;
    let list = complete_list(vec![endpoint(0)]);
    let mut out = vec![];
    dispatcher.step(SECOND, &[list.clone(), arrival(1, 1.0), arrival(2, 1.0)], &mut out);
    assert_eq!(sends(&out).len(), 1, "only one trial job is sent");
    let non_idempotent_job = Job { class: 0, deadline: 99 * SECOND, ..Job::default() };
    dispatcher.settings.classes[0].idempotency = Idempotency::NonIdempotent;
    assert!(!dispatcher.may_send(&non_idempotent_job, 0), "it has not answered");
    dispatcher.discovery.poll_schedule.begin_poll(SECOND);
    dispatcher.step(2 * SECOND, &[list], &mut out);
    assert!(dispatcher.may_send(&non_idempotent_job, 0), "the list is confirmed");
}

/// Guards against treating a list as unconfirmed where the discovery service is not polled, as in the
/// decision logic of Gearman functions: nothing would ever confirm it, and no worker would be sent a
/// non-idempotent job.
#[test]
fn a_list_counts_as_unconfirmed_only_where_discovery_is_polled() {
    let is_unconfirmed = |watch_required| {
        let settings = Settings { list_unconfirmed: true, watch_required, ..settings() };
        Dispatcher::new(settings, 1).map(|dispatcher| dispatcher.discovery.unconfirmed)
    };
    assert_eq!([is_unconfirmed(true), is_unconfirmed(false)], [Ok(true), Ok(false)]);
}

/// Regression test: in a large fleet a dispatcher knows most workers from the list only, and its jobs waited
/// at busy ones.
#[test]
fn listed_units_that_fall_with_load_reduce_the_free_slots() {
    for (units, is_sent) in [(6.0, true), (3.0, false)] {
        let mut dispatcher = dispatcher(1);
        dispatcher.settings.units_fall_with_load = true;
        let list = |units| list_changes(vec![Endpoint { units, ..endpoint(0) }]);
        dispatcher.step(SECOND, &[list(6.0)], &mut vec![]);
        let mut out = vec![];
        dispatcher.step(3 * SECOND, &[list(units), arrival(1, 1.0)], &mut out);
        assert_eq!(
            sends(&out).len(),
            is_sent as usize,
            "a worker listed with half its units holds one job per core"
        );
    }
}

/// Number of dispatchers that start at the same time.
const FLEET_SIZE: u32 = 100;
/// Consecutive polls that time out. Each of the first three is followed by another within the notification
/// deadline, since a service that is down also keeps its callers waiting.
const FAILED_POLLS: usize = 4;

/// Time of a dispatcher's first poll of the discovery service or, if `polls_fail`, of the poll after
/// [`FAILED_POLLS`] failures. The polls of all dispatchers fail at the same time.
fn last_poll_at(index: u32, polls_fail: bool) -> Micros {
    let mut settings = Settings { fleet_size: FLEET_SIZE, instance_index: index, ..settings() };
    settings.watch_required = true;
    settings.safety.poll_interval = 10 * SECOND;
    let mut dispatcher = Dispatcher::new(settings, index as u64).expect("valid settings");
    let mut polls = vec![];
    let mut timers = BTreeSet::new();
    let mut out = vec![];
    dispatcher.step(0, &[], &mut out);
    loop {
        for action in out.drain(..) {
            match action {
                Action::Timer { delay, token } => _ = timers.insert((dispatcher.now + delay, token)),
                Action::WatchEndpoints => polls.push(dispatcher.now),
                _ => {}
            }
        }
        let continues = polls_fail && polls.len() <= FAILED_POLLS;
        match timers.pop_first().filter(|_| polls.is_empty() || continues) {
            Some((at, token)) => dispatcher.step(at, &[Event::TimerFired(token)], &mut out),
            None if continues => {
                let at = 20 * SECOND * polls.len() as Micros;
                let end = WatchEnd { reason: WatchEndReason::Refused, in_sync_until: at };
                dispatcher.step(at, &[Event::WatchEnded(end)], &mut out)
            }
            None => return polls[polls.len() - 1],
        }
    }
}

/// Regression test: after a release, 48 of 70 dispatchers never received a list again, because all polled at
/// the same moment, failed together and retried together. Here a hundred dispatchers that share no state
/// start at once and poll the discovery service, which serves twelve calls a second.
#[test]
fn dispatchers_that_start_together_spread_their_discovery_polls() {
    // The assumed duration of a call allows 12 polls a second. The first polls of all dispatchers have to fit
    // into the notification deadline, which takes 23 a second.
    let per_second = 12;
    let at_first = 23;
    // The delay after a failed poll is four times as long, so failed polls leave the discovery service more
    // time.
    for (polls_fail, max_per_second, within) in [(false, at_first + 1, 5), (true, per_second + 4, 36)] {
        let mut polls: Vec<Micros> = (0..FLEET_SIZE).map(|index| last_poll_at(index, polls_fail)).collect();
        polls.sort_unstable();
        let within_a_second =
            |from: &Micros| polls.iter().filter(|at| (0..SECOND).contains(&(*at - from))).count();
        let busiest = polls.iter().map(within_a_second).max();
        assert!(
            busiest <= Some(max_per_second),
            "{busiest:?} polls in a second, failed before: {polls_fail}"
        );
        assert!(
            polls[99] - polls[0] <= within * SECOND,
            "the last dispatcher polled within its poll interval"
        );
    }
}
