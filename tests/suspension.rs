//! Workers that an operator suspends and restores.

mod common;
use common::driver::{Driver, InFlightAttempt};
use common::*;
use roselock::*;
use rstest::rstest;

fn suspension_changed(worker: u64, suspended: bool) -> Event {
    Event::SuspensionChanged { worker: WorkerId(worker), suspended }
}

/// Feeds three jobs a round, one for each worker, which run for 0.2 s; returns the worker of each send.
fn run_jobs_in_rounds(driver: &mut Driver, first_job: u32, rounds: u32) -> Vec<u64> {
    let logged = driver.log.len();
    for job in (first_job..first_job + 3 * rounds).step_by(3) {
        driver.feed(&jobs_arrived(job..job + 3, IDEMPOTENT));
        driver.advance(SECOND / 5);
        for InFlightAttempt { job, attempt, .. } in driver.in_flight() {
            driver.feed(&[attempt_started(job, attempt), attempt_ended(job, attempt, Outcome::Ok)]);
        }
        driver.advance(SECOND / 10);
    }
    sends(&driver.actions_since(logged)).into_iter().map(|(_, worker)| worker).collect()
}

#[test]
fn a_suspended_worker_is_sent_no_jobs_until_it_is_restored_whatever_its_listed_state() {
    let mut driver = Driver::with_workers(settings(), 3);
    assert!(run_jobs_in_rounds(&mut driver, 0, 30).contains(&1), "not used before its suspension");
    driver.feed(&[suspension_changed(1, true)]);
    assert!(driver.dispatcher.is_avoided(WorkerId(1)));
    assert!(!run_jobs_in_rounds(&mut driver, 100, 30).contains(&1), "sent to while suspended");
    // Neither a list that has it as ready nor a restart ends the suspension; suspending it again has no effect.
    driver.feed(&[list_changes(vec![ready(1)]), suspension_changed(1, true)]);
    assert!(!run_jobs_in_rounds(&mut driver, 200, 30).contains(&1), "sent to after the list had it as ready");
    let restarted = endpoint(1, EndpointState::Ready, Some(driver.now));
    driver.feed(&[list_changes(vec![restarted])]);
    let endpoints = (0..3).map(|w| endpoint(w, EndpointState::Ready, (w == 1).then_some(driver.now)));
    let complete = complete_list(endpoints.collect());
    driver.feed(&[complete]);
    assert!(!run_jobs_in_rounds(&mut driver, 300, 30).contains(&1), "sent to after its restart");
    driver.feed(&[suspension_changed(1, false)]);
    assert!(!driver.dispatcher.is_avoided(WorkerId(1)));
    let sent = run_jobs_in_rounds(&mut driver, 400, 15).iter().filter(|worker| **worker == 1).count();
    assert!(sent > 0, "not used within 4.5 s of being restored");
}

#[test]
fn a_worker_that_is_suspended_before_it_is_listed_counts_as_draining() {
    let mut driver = Driver::new(settings());
    driver.feed(&[suspension_changed(2, true), ready_workers(3)]);
    assert!(!run_jobs_in_rounds(&mut driver, 0, 30).contains(&2));
    // Restoring a worker that is not suspended has no effect.
    driver.feed(&[suspension_changed(0, false), suspension_changed(2, false)]);
    assert!(run_jobs_in_rounds(&mut driver, 100, 40).contains(&2));
}

/// How the endpoint list takes a worker out of use.
#[derive(Clone, Copy, Debug)]
enum Removal {
    AbsentFromCompleteList,
    AbsentFromCachedList,
    GoneInChanges,
    DrainingInChanges,
    DrainingInCompleteList,
}

impl Removal {
    /// The list that takes worker 1 of three out of use.
    fn list(self) -> Event {
        let others = || vec![ready(0), ready(2)];
        let cached = |endpoints| Event::EndpointList { mode: ListMode::Cached, endpoints };
        let with = |state| [others(), vec![endpoint(1, state, None)]].concat();
        match self {
            Removal::AbsentFromCompleteList => complete_list(others()),
            Removal::AbsentFromCachedList => cached(others()),
            Removal::GoneInChanges => list_changes(vec![endpoint(1, EndpointState::Gone, None)]),
            Removal::DrainingInChanges => list_changes(vec![endpoint(1, EndpointState::Draining, None)]),
            Removal::DrainingInCompleteList => complete_list(with(EndpointState::Draining)),
        }
    }
}

/// How the endpoint list puts a worker back into use.
#[derive(Clone, Copy, Debug)]
enum Return {
    ReadyInChanges,
    ReadyInCompleteList,
    Restarted,
}

impl Return {
    /// The list that has worker 1 of three as ready.
    fn list(self, now: Micros) -> Event {
        match self {
            Return::ReadyInChanges => list_changes(vec![ready(1)]),
            Return::ReadyInCompleteList => complete_list(vec![ready(0), ready(1), ready(2)]),
            Return::Restarted => list_changes(vec![endpoint(1, EndpointState::Ready, Some(now))]),
        }
    }
}

/// Which calls of an operator precede the removal of a worker, and which follow it.
#[derive(Clone, Copy, Debug)]
enum Calls {
    SuspendThenRestoreAfter,
    BothBefore,
    BothAfter,
    BothBeforeAndBothAfter,
}

impl Calls {
    /// For each call whether it suspends the worker: those before the removal, and those after it.
    fn before_and_after(self) -> (&'static [bool], &'static [bool]) {
        match self {
            Calls::SuspendThenRestoreAfter => (&[true], &[false]),
            Calls::BothBefore => (&[true, false], &[]),
            Calls::BothAfter => (&[], &[true, false]),
            Calls::BothBeforeAndBothAfter => (&[true, false], &[true, false]),
        }
    }
}

/// Guards against requests to a worker that discovery has removed (review/3): `RESTORE` put a worker that was absent
/// from a complete list back into use. Only the endpoint list does that.
#[rstest]
fn a_removed_worker_is_sent_no_jobs_until_it_is_listed_again_whatever_an_operator_calls(
    #[values(
        Removal::AbsentFromCompleteList,
        Removal::AbsentFromCachedList,
        Removal::GoneInChanges,
        Removal::DrainingInChanges,
        Removal::DrainingInCompleteList
    )]
    removal: Removal,
    #[values(
        Calls::SuspendThenRestoreAfter,
        Calls::BothBefore,
        Calls::BothAfter,
        Calls::BothBeforeAndBothAfter
    )]
    calls: Calls,
    #[values(Return::ReadyInChanges, Return::ReadyInCompleteList, Return::Restarted)] comes_back: Return,
) {
    let mut driver = Driver::with_workers(settings(), 3);
    assert!(run_jobs_in_rounds(&mut driver, 0, 30).contains(&1), "not used before its removal");
    let (before, after) = calls.before_and_after();
    let call = |driver: &mut Driver, suspended: &bool| driver.feed(&[suspension_changed(1, *suspended)]);
    for suspended in before {
        call(&mut driver, suspended);
    }
    driver.feed(&[removal.list()]);
    assert!(!run_jobs_in_rounds(&mut driver, 100, 10).contains(&1), "sent to after its removal");
    for (suspended, first_job) in after.iter().zip([150, 200]) {
        call(&mut driver, suspended);
        assert!(!run_jobs_in_rounds(&mut driver, first_job, 10).contains(&1), "sent to after a call");
    }
    // While it is suspended, it does not come back into use by the list alone.
    call(&mut driver, &true);
    driver.feed(&[comes_back.list(driver.now)]);
    assert!(!run_jobs_in_rounds(&mut driver, 300, 10).contains(&1), "sent to while suspended");
    call(&mut driver, &false);
    assert!(run_jobs_in_rounds(&mut driver, 400, 15).contains(&1), "not used after it was listed again");
}

/// Guards against a poll schedule that treats the time of a suspension as the time of an answer from the
/// discovery service.
#[test]
fn a_suspension_does_not_count_as_an_answer_from_discovery() {
    let next_poll_delay = |with_suspension: bool| {
        let mut settings = settings();
        settings.watch_required = true;
        settings.fleet_size = 100;
        settings.instance_index = 7;
        settings.safety.poll_interval = 10 * SECOND;
        let mut dispatcher = Dispatcher::new(settings, 3).expect("valid settings");
        let mut actions = Vec::new();
        dispatcher.step(0, &[ready_workers(3)], &mut actions);
        let (_, token) = last_timer(&actions).expect("a timer for the first poll");
        dispatcher.step(SECOND, &[Event::TimerFired(token)], &mut actions);
        if with_suspension {
            let events = [suspension_changed(1, true), suspension_changed(1, false)];
            dispatcher.step(SECOND + 1000, &events, &mut actions);
        }
        actions.clear();
        let refused = watch_ended(WatchEndReason::Refused, 3 * SECOND);
        dispatcher.step(3 * SECOND, &[refused], &mut actions);
        let (delay, _) = last_timer(&actions).expect("a timer for the next poll");
        delay
    };
    assert_eq!(next_poll_delay(true), next_poll_delay(false));
}

/// Returns the delay and the token of the last timer that is set.
fn last_timer(actions: &[Action]) -> Option<(Micros, u64)> {
    actions.iter().rev().find_map(|action| match action {
        Action::Timer { delay, token } => Some((*delay, *token)),
        _ => None,
    })
}
