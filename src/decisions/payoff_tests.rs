//! The success probabilities that the payoff is computed from.

use crate::api::*;
use crate::state::jobs::Job;
use crate::test_support::*;

/// Regression test: without hints, short jobs were answered late, because a job of mean work still had time
/// where most jobs had none.
#[test]
fn without_a_hint_success_probabilities_follow_the_work_distribution_of_the_class() {
    let mut dispatcher = dispatcher(1);
    dispatcher.now = 4 * SECOND;
    let mut unhinted = Job { work: 3.0, deadline: 60 * SECOND, ..Job::default() };
    // The objective is 1 s plus twice the work, whose median is 1 s and whose standard deviation is a factor
    // of e. After 4 s only a job with more than 3 s of work can run and still meet it.
    let within_objective = dispatcher.success_probabilities(&unhinted, 1e6, 0.0).within_objective;
    assert!(within_objective > 0.05 && within_objective < 0.2, "{within_objective}");
    unhinted.deadline = 5 * SECOND;
    let before_deadline = dispatcher.success_probabilities(&unhinted, 1e6, 0.0).before_deadline;
    assert!((before_deadline - 0.5).abs() < 0.01, "half of the jobs run for at most 1 s: {before_deadline}");
}
