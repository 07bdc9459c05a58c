//! The probabilities behind the payoff.

use crate::api::*;
use crate::state::jobs::Job;
use crate::test_support::*;

/// Found as late answers of short jobs where no hint is given: the mean job still had time, most had none.
#[test]
fn without_hints_the_distribution_of_a_class_says_how_urgent_a_job_is() {
    let mut dispatcher = dispatcher(1);
    dispatcher.now = 4 * SECOND;
    let mut unhinted = Job { work: 3.0, deadline: 60 * SECOND, ..Job::default() };
    // The objective is 1 s and twice the work, which has a median of 1 s and a deviation of a factor of e; 4
    // s have gone, so only a job of over 3 s is still in time.
    let in_time = dispatcher.success_probabilities(&unhinted, 1e6, 0.0).in_time;
    assert!(in_time > 0.05 && in_time < 0.2, "{in_time}");
    unhinted.deadline = 5 * SECOND;
    let before_deadline = dispatcher.success_probabilities(&unhinted, 1e6, 0.0).before_deadline;
    assert!((before_deadline - 0.5).abs() < 0.01, "half of the jobs run for at most 1 s: {before_deadline}");
}
