//! Retries under new settings.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::test_support::*;

/// Takes events, and then steps for a second.
fn step_for_a_second(dispatcher: &mut Dispatcher, now: &mut Micros, events: &[Event]) -> Vec<Action> {
    let mut out = vec![];
    dispatcher.step(*now, events, &mut out);
    for _ in 0..50 {
        *now += SECOND / 50;
        dispatcher.step(*now, &[], &mut out);
    }
    out
}

/// Guards against a job that new settings reach half way: it was sent as a non-idempotent one, and is not
/// retried though its class is idempotent from now on.
#[test]
fn a_job_keeps_the_idempotency_that_it_arrived_with() {
    let mut dispatcher = dispatcher(2);
    let mut non_idempotent = settings();
    non_idempotent.classes[0].idempotency = Idempotency::NonIdempotent;
    dispatcher.update_settings(&non_idempotent).expect("sound settings");
    let unhinted = |id| {
        let request = JobRequest { work_hint: None, budget: 9 * SECOND, ..request(id, 1.0) };
        Event::JobArrived(request)
    };
    let reset = |id| first_attempt_ended(id, Outcome::Reset, LoadReport::default());
    let mut now = SECOND;
    let mut out = vec![];
    dispatcher.step(now, &[unhinted(1)], &mut out);
    assert_eq!(sends(&out).len(), 1);
    dispatcher.update_settings(&settings()).expect("sound settings");
    let out = step_for_a_second(&mut dispatcher, &mut now, &[reset(1)]);
    assert_eq!(sends(&out).len(), 0, "it was sent again");
    assert!(out.iter().any(|action| matches!(action, Action::Fail { job: JobId(1) })));
    // One that arrives now follows the new settings.
    step_for_a_second(&mut dispatcher, &mut now, &[unhinted(2)]);
    let out = step_for_a_second(&mut dispatcher, &mut now, &[reset(2)]);
    assert_eq!(sends(&out).len(), 1);
}
