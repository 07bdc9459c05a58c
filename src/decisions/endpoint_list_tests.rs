//! What follows from the endpoint list: care with an unconfirmed one, listed units, and the polls for it.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Job;
use crate::test_support::*;
use std::collections::BTreeSet;

/// Found as payments lost at silent workers of a cached list (rig, `old-silent`): until discovery has
/// answered, each worker is tried by one job that may run twice, and payments wait for one that has answered.
#[test]
fn workers_of_a_cached_list_are_tried_before_they_are_trusted() {
    let mut dispatcher = dispatcher(0);
    dispatcher.discovery.unconfirmed = true;
    dispatcher.settings.classes[0].idempotency = Idempotency::Idempotent;
    let list = complete_list(vec![endpoint(0)]);
    let mut out = vec![];
    dispatcher.step(SECOND, &[list.clone(), arrival(1, 1.0), arrival(2, 1.0)], &mut out);
    assert_eq!(sends(&out).len(), 1, "one is tried");
    let payment = Job { class: 0, deadline: 99 * SECOND, ..Job::default() };
    dispatcher.settings.classes[0].idempotency = Idempotency::NonIdempotent;
    assert!(!dispatcher.may_send(&payment, 0), "it has not answered");
    dispatcher.discovery.poll_schedule.begin_poll(SECOND);
    dispatcher.step(2 * SECOND, &[list], &mut out);
    assert!(dispatcher.may_send(&payment, 0), "the list is confirmed");
}

/// Found by reading: the decisions of Gearman functions don't poll discovery, so with care none of their
/// workers would ever have been sent a non-idempotent job.
#[test]
fn care_with_an_unconfirmed_list_needs_discovery_to_end_it() {
    let is_unconfirmed = |watch_required| {
        let settings = Settings { list_unconfirmed: true, watch_required, ..settings() };
        Dispatcher::new(settings, 1).map(|dispatcher| dispatcher.discovery.unconfirmed)
    };
    assert_eq!([is_unconfirmed(true), is_unconfirmed(false)], [Ok(true), Ok(false)]);
}

/// Found as waits at busy workers in large fleets: of most of them a dispatcher knows by the list only.
#[test]
fn listed_units_that_fall_with_load_show_the_jobs_of_others() {
    for (units, is_sent) in [(6.0, true), (3.0, false)] {
        let mut dispatcher = dispatcher(1);
        dispatcher.settings.units_fall_with_load = true;
        let list = |units| list_changes(vec![Endpoint { units, ..endpoint(0) }]);
        dispatcher.step(SECOND, &[list(6.0)], &mut vec![]);
        let mut out = vec![];
        dispatcher.step(3 * SECOND, &[list(units), arrival(1, 1.0)], &mut out);
        assert_eq!(sends(&out).len(), is_sent as usize, "at half its units it holds a job for each core");
    }
}

/// Dispatchers that come up together.
const FLEET_SIZE: u32 = 100;
/// Polls in a row that time out; the first three are followed by one within the notification deadline, as a
/// service that is down keeps callers waiting, too.
const FAILED_POLLS: usize = 4;

/// When a dispatcher polls discovery for the last time: for the first time, or, where polls fail, after that
/// many. All dispatchers' polls fail at one moment.
fn last_poll_at(index: u32, polls_fail: bool) -> Micros {
    let mut settings = Settings { fleet_size: FLEET_SIZE, instance_index: index, ..settings() };
    settings.watch_required = true;
    settings.safety.poll_interval = 10 * SECOND;
    let mut dispatcher = Dispatcher::new(settings, index as u64).expect("sound settings");
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
        let goes_on = polls_fail && polls.len() <= FAILED_POLLS;
        match timers.pop_first().filter(|_| polls.is_empty() || goes_on) {
            Some((at, token)) => dispatcher.step(at, &[Event::TimerFired(token)], &mut out),
            None if goes_on => {
                let at = 20 * SECOND * polls.len() as Micros;
                let end = WatchEnd { reason: WatchEndReason::Refused, in_sync_until: at };
                dispatcher.step(at, &[Event::WatchEnded(end)], &mut out)
            }
            None => return polls[polls.len() - 1],
        }
    }
}

/// A hundred dispatchers that share nothing come up together and poll discovery, which serves twelve calls a
/// second. Found as 48 of 70 that never had a list again after a release: all polled in one moment, failed
/// together, and came back together.
#[test]
fn dispatchers_that_come_up_together_poll_discovery_in_turn() {
    // At the guess of what a call costs, 12 a second; all of them within the notification deadline, 23 a
    // second.
    let per_second = 12;
    let at_first = 23;
    // A poll that failed has four times as long until the next, and those that failed leave discovery the
    // more time.
    for (polls_fail, most, within) in [(false, at_first + 1, 5), (true, per_second + 4, 36)] {
        let mut polls: Vec<Micros> = (0..FLEET_SIZE).map(|index| last_poll_at(index, polls_fail)).collect();
        polls.sort_unstable();
        let within_a_second =
            |from: &Micros| polls.iter().filter(|at| (0..SECOND).contains(&(*at - from))).count();
        let busiest = polls.iter().map(within_a_second).max();
        assert!(busiest <= Some(most), "{busiest:?} polls in a second, failed before: {polls_fail}");
        assert!(polls[99] - polls[0] <= within * SECOND, "the last one polled within its poll interval");
    }
}
