//! Slow start across a fleet of dispatchers that share no state.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::estimates::RunningMean;
use crate::state::jobs::Job;
use crate::test_support::*;
use std::collections::BTreeSet;

/// Start time of the workers in these tests.
const STARTED_AT: Micros = SECOND;
/// Work of each job, in seconds at speed 1.
const WORK: f64 = 0.3;

/// The endpoint of a worker that has just started.
fn just_started_endpoint(worker: u64) -> Endpoint {
    Endpoint { started_at: Some(STARTED_AT), ..endpoint(worker) }
}

/// Minimum fraction of its capacity that a worker has at the given age.
fn min_capacity_fraction(age: Micros, safety: &Safety) -> f64 {
    0.3 + 0.7 * age as f64 / safety.slow_start_window as f64
}

/// Whether dispatcher `index` of 41 may send a job to a worker of the given age.
fn one_of_41_may_send(index: u32, age: Micros) -> bool {
    let mut dispatcher = member(index, 41, dispatcher(3));
    dispatcher.work.classes[0].mean_work.mean = WORK;
    dispatcher.step(STARTED_AT, &[list_changes(vec![just_started_endpoint(9)])], &mut vec![]);
    dispatcher.step(STARTED_AT + age, &[], &mut vec![]);
    let job = Job { need: [1.0, 0.0], work: WORK, deadline: 99 * SECOND, ..Job::default() };
    dispatcher.may_send(&job, 3)
}

/// Regression test: jobs queued at old workers while new ones were idle, because no job fitted into one
/// forty-first of the slow-start budget.
#[test]
fn the_number_of_dispatchers_that_may_send_to_a_worker_in_slow_start_follows_its_budget() {
    let safety = dispatcher(1).settings.safety;
    let window = safety.overload_window;
    let mut all_senders = BTreeSet::new();
    for age in (3..19).map(|half| half * SECOND / 2) {
        // Counts all dispatchers that may send within one overload window; each rotation period has others.
        let mut senders = BTreeSet::new();
        for at in (0..=6).map(|i| age - window * i / 6) {
            senders.extend((0..41).filter(|index| one_of_41_may_send(*index, at)));
        }
        let seconds = window as f64 / SECOND as f64;
        let min_fraction = min_capacity_fraction(age - window, &safety);
        let budget = safety.overload_multiple * min_fraction * 2.0 * seconds / WORK;
        assert!(senders.len() as f64 <= budget, "{senders:?} of {budget} at {age}");
        assert!(senders.len() as f64 >= 0.4 * budget, "only {senders:?} of {budget} at {age}");
        all_senders.extend(senders);
    }
    assert!(all_senders.len() >= 25, "the senders do not rotate: {all_senders:?}");
    assert_eq!((0..41).filter(|index| one_of_41_may_send(*index, 11 * SECOND)).count(), 41);
}

/// Regression test (`long-aim` in the rig): a class was not served at all until a worker had warmed up,
/// because its work was assumed to equal its latency objective, which exceeds any slow-start budget. Until
/// the work of the class has been measured, one job at a time is sent as a trial.
#[test]
fn a_worker_in_slow_start_is_sent_one_job_at_a_time_of_a_class_without_measured_work() {
    let mut dispatcher = dispatcher(0);
    dispatcher.work.classes[0].mean_work = RunningMean { mean: 9.0, samples: 1.0 };
    let unhinted = |id| Event::JobArrived(JobRequest { work_hint: None, ..request(id, 1.0) });
    let list = complete_list(vec![just_started_endpoint(0)]);
    let mut out = vec![];
    dispatcher.step(SECOND, &[list, unhinted(1), unhinted(2)], &mut out);
    assert_eq!(sends(&out).len(), 1);
    let mut later = vec![];
    dispatcher.step(SECOND + 2 * dispatcher.settings.safety.overload_window, &[], &mut later);
    assert_eq!(sends(&later).len(), 0, "the first is still in flight");
    dispatcher.work.classes[0].mean_work.samples = 2.0;
    let measured = Job { work: 9.0, deadline: 999 * SECOND, ..Job::default() };
    dispatcher.workers[0].bookings.free([1.0, 0.0], false, SECOND);
    assert!(!dispatcher.may_send(&measured, 0), "no trial of a class whose work has been measured");
    dispatcher.work.classes[0].mean_work.samples = 1.0;
    assert!(dispatcher.may_send(&measured, 0));
}

/// A send by one dispatcher of the fleet.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FleetSend {
    at: Micros,
    worker: u64,
    /// Index of the dispatcher.
    sender: usize,
}

/// Start and end events of the attempts in flight; each runs for 0.3 s.
fn worker_events(dispatcher: &Dispatcher, now: Micros) -> Vec<Event> {
    let mut events = vec![];
    for (&id, job) in dispatcher.jobs.by_id.iter().filter(|(_, job)| job.any_in_flight()) {
        let attempt = job.attempts.len() as u32 - 1;
        match job.attempts[attempt as usize].started_at {
            None => events.push(Event::AttemptProgress { job: id, attempt, update: AttemptUpdate::Started }),
            Some(started_at) if now - started_at >= 300_000 => events.push(Event::AttemptEnded {
                job: id,
                attempt,
                outcome: Outcome::Ok,
                concluded: true,
                report: LoadReport::default(),
            }),
            Some(_) => {}
        }
    }
    events
}

/// Simulates seven seconds of dispatcher `index` of a hundred with 20 workers that have just started, and
/// returns its sends. The first ten dispatchers have 7 jobs a second each, the others one every three
/// seconds.
fn simulate_one_of_100(index: usize) -> Vec<FleetSend> {
    let mut dispatcher = member(index as u32, 100, dispatcher(0));
    dispatcher.work.classes[0].mean_work.mean = WORK;
    dispatcher.settings.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut out = vec![];
    dispatcher.step(STARTED_AT, &[complete_list((0..20).map(just_started_endpoint).collect())], &mut out);
    let gap = if index < 10 { SECOND / 7 } else { 3 * SECOND };
    let mut due = SECOND + gap * (1 + index as Micros % 10) / 10;
    let mut next_id = 0;
    let mut sent = vec![];
    for now in (SECOND..8 * SECOND).step_by(20_000) {
        let mut events = worker_events(&dispatcher, now);
        if now >= due {
            due += gap;
            next_id += 1;
            events.push(arrival(next_id, WORK));
        }
        out.clear();
        dispatcher.step(now, &events, &mut out);
        sent.extend(sends(&out).iter().map(|send| FleetSend { at: now, worker: send.1, sender: index }));
    }
    sent
}

/// Regression test: jobs were rejected while workers were idle, because each worker had a separate set of
/// senders and most of these had no jobs for it. Ten of a hundred dispatchers that share no state have most
/// of the traffic, and all twenty workers have just started. Over the whole fleet, no worker may be sent more
/// than its budget.
#[test]
fn busy_dispatchers_of_a_large_fleet_use_all_workers_in_slow_start_within_their_budgets() {
    let safety = settings().safety;
    let mut sent: Vec<FleetSend> = (0..100).flat_map(simulate_one_of_100).collect();
    sent.sort_unstable();
    for worker in 0..20 {
        let sent_at: Vec<Micros> =
            sent.iter().filter(|send| send.worker == worker).map(|send| send.at).collect();
        for (i, from) in sent_at.iter().enumerate() {
            let jobs = sent_at[i..].iter().take_while(|at| *at - from <= safety.overload_window).count();
            let seconds = safety.overload_window as f64 / SECOND as f64;
            let min_fraction = min_capacity_fraction(from - STARTED_AT, &safety);
            let budget = safety.overload_multiple * min_fraction * 2.0 * seconds;
            assert!(
                jobs as f64 * WORK <= budget,
                "{jobs} jobs to {worker} from {from}, its budget is {budget} s of work"
            );
        }
    }
    let busy = sent.iter().filter(|send| send.sender < 10).count() as f64;
    assert!(busy >= 0.6 * 7.0 * 10.0 * 7.0, "only {busy} jobs of the busy dispatchers were sent");
}
