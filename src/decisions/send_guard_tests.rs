//! The send guard in isolation, without the earlier decisions that keep forbidden sends from reaching it.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::test_support::*;

/// A dispatcher that holds a job whose only attempt has ended with `outcome`.
fn with_ended_attempt(idempotency: Idempotency, outcome: Outcome) -> Dispatcher {
    let mut dispatcher = dispatcher(3);
    dispatcher.settings.classes[0].idempotency = idempotency;
    dispatcher.step(SECOND, &[arrival(1, 1.0)], &mut vec![]);
    let attempts = &mut dispatcher.jobs.get_mut(JobId(1)).expect("known").attempts;
    assert_eq!(attempts.len(), 1);
    attempts[0].in_flight = false;
    attempts[0].never_ran = outcome.never_ran(false);
    dispatcher
}

#[test]
fn the_send_guard_prevents_a_second_run_of_a_non_idempotent_job() {
    for (outcome, is_allowed) in
        [(Outcome::Error, false), (Outcome::Timeout, false), (Outcome::Rejected, true)]
    {
        let dispatcher = with_ended_attempt(Idempotency::NonIdempotent, outcome);
        assert_eq!(dispatcher.may_send(job(&dispatcher, 1), 2), is_allowed, "{outcome:?}");
        let dispatcher = with_ended_attempt(Idempotency::Idempotent, outcome);
        assert!(dispatcher.may_send(job(&dispatcher, 1), 2));
    }
}

#[test]
fn the_send_guard_refuses_sends_to_a_draining_worker() {
    let mut dispatcher = with_ended_attempt(Idempotency::Idempotent, Outcome::Error);
    dispatcher.workers[2].ready = false;
    assert!(!dispatcher.may_send(job(&dispatcher, 1), 2));
    assert!(dispatcher.may_send(job(&dispatcher, 1), 1));
}
