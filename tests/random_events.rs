//! Property test: under random valid and invalid events nothing panics, and the driver asserts the rules on every action.

mod common;
use common::driver::{Driver, InFlightAttempt};
use common::*;
use proptest::prelude::*;
use roselock::*;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotStarted,
];

const STATES: [EndpointState; 4] =
    [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Gone];

/// One random step: the kind of event, an index into the candidates, and a quantity such as a duration or a budget.
#[derive(Clone, Copy)]
struct RandomStep {
    kind: u8,
    choice: u8,
    quantity: u16,
}

fn run_steps(settings: Settings, steps: &[(u8, u8, u16)]) {
    let mut driver = Driver::with_workers(settings, 4);
    let mut next_job = 0;
    for &(kind, choice, quantity) in steps {
        run_step(&mut driver, &mut next_job, RandomStep { kind, choice, quantity });
        driver.assert_answered_in_time();
    }
    driver.advance(30 * SECOND);
}

fn run_step(driver: &mut Driver, next_job: &mut u32, step: RandomStep) {
    let in_flight = driver.in_flight();
    let chosen = in_flight.get(step.choice as usize % in_flight.len().max(1)).copied();
    match step.kind % 12 {
        0..=3 => {
            driver.feed(&[random_job(*next_job, step)]);
            *next_job += 1;
        }
        4..=6 => {
            if let Some(sent) = chosen {
                let outcome = OUTCOMES[step.quantity as usize % 8];
                let report = free_slots(f64::from(step.choice % 4) - 0.5);
                driver.feed(&[attempt_ended_with(sent.job, sent.attempt, outcome, report)]);
            }
        }
        7 => {
            if let Some(sent) = chosen {
                driver.feed(&[random_update(sent, step)]);
            }
        }
        8 => {
            let state = STATES[step.choice as usize % 4];
            let started_at = (step.quantity.is_multiple_of(2)).then_some(driver.now);
            driver.feed(&[list_changes(vec![endpoint(u64::from(step.choice) % 5, state, started_at)])]);
        }
        9 => {
            driver.feed(&events_with_unknown_ids(step));
        }
        _ => {
            driver.advance(Micros::from(step.quantity) * 20);
        }
    }
}

fn random_job(job: u32, step: RandomStep) -> Event {
    let hints = [None, Some(f64::NAN), Some(0.0), Some(f64::from(step.quantity) / 1e4)];
    Event::JobArrived(JobRequest {
        work_hint: hints[step.choice as usize / 4 % 4],
        budget: Micros::from(step.quantity) * 200,
        slots: f64::from(step.choice % 3),
        ..request(job, (step.choice % 4) as u16)
    })
}

fn random_update(sent: InFlightAttempt, step: RandomStep) -> Event {
    if step.choice.is_multiple_of(2) {
        return attempt_started(sent.job, sent.attempt);
    }
    // From -0.02 to 1.07, so that values outside of 0 to 1 occur.
    progress(sent.job, sent.attempt, f64::from(step.quantity) / 6e4 - 0.02)
}

/// Events of jobs, attempts, timers and workers that the dispatcher does not know.
fn events_with_unknown_ids(step: RandomStep) -> [Event; 6] {
    const UNKNOWN_JOB: u32 = 1 << 30;
    let attempt = u32::from(step.choice);
    [
        Event::TimerFired(u64::from(step.quantity) << 20),
        attempt_started(UNKNOWN_JOB, attempt),
        Event::StreamAccepted { job: JobId(UNKNOWN_JOB), attempt },
        Event::AttemptEnded {
            job: JobId(UNKNOWN_JOB),
            attempt,
            outcome: Outcome::Error,
            concluded: true,
            report: LoadReport::default(),
        },
        Event::HealthCheckEnded { worker: WorkerId(77), ok: true, report: LoadReport::default() },
        Event::ClientDisconnected(JobId(u32::from(step.quantity))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20261128),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_rules_hold_for_random_events(
        steps in prop::collection::vec(any::<(u8, u8, u16)>(), 1..120),
        hedged_requests: bool,
        cancel: bool,
        reports_start: bool,
    ) {
        let mut settings = settings();
        settings.limits.hedged_requests = hedged_requests;
        settings.limits.cancel = cancel;
        settings.reports_start = reports_start;
        run_steps(settings, &steps);
    }
}
