//! Retries after a change of settings.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::test_support::*;

/// Feeds events, then steps for a second.
fn step_for_a_second(dispatcher: &mut Dispatcher, now: &mut Micros, events: &[Event]) -> Vec<Action> {
    let mut out = vec![];
    dispatcher.step(*now, events, &mut out);
    for _ in 0..50 {
        *now += SECOND / 50;
        dispatcher.step(*now, &[], &mut out);
    }
    out
}

/// Guards against applying new settings to a job that was already admitted: a job sent as non-idempotent must
/// not be retried even if its class has become idempotent since.
#[test]
fn a_settings_update_does_not_change_the_idempotency_of_an_admitted_job() {
    let mut dispatcher = dispatcher(2);
    let mut non_idempotent = settings();
    non_idempotent.classes[0].idempotency = Idempotency::NonIdempotent;
    dispatcher.update_settings(&non_idempotent).expect("valid settings");
    let unhinted = |id| {
        let request = JobRequest { work_hint: None, budget: 9 * SECOND, ..request(id, 1.0) };
        Event::JobArrived(request)
    };
    let reset = |id| first_attempt_ended(id, Outcome::Reset, LoadReport::default());
    let mut now = SECOND;
    let mut out = vec![];
    dispatcher.step(now, &[unhinted(1)], &mut out);
    assert_eq!(sends(&out).len(), 1);
    dispatcher.update_settings(&settings()).expect("valid settings");
    let out = step_for_a_second(&mut dispatcher, &mut now, &[reset(1)]);
    assert_eq!(sends(&out).len(), 0, "a job that was non-idempotent on arrival is not sent again");
    assert!(out.iter().any(|action| matches!(action, Action::Fail { job: JobId(1) })));
    // A job that arrives now follows the new settings.
    step_for_a_second(&mut dispatcher, &mut now, &[unhinted(2)]);
    let out = step_for_a_second(&mut dispatcher, &mut now, &[reset(2)]);
    assert_eq!(sends(&out).len(), 1);
}
