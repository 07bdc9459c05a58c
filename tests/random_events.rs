//! Random events, valid and invalid: the driver asserts the rules on every action, and nothing panics.

mod common;
use common::driver::{Driver, InFlight};
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

/// One drawn move: its kind, which of the candidates it takes, and a quantity.
#[derive(Clone, Copy)]
struct Move {
    kind: u8,
    choice: u8,
    quantity: u16,
}

fn play(settings: Settings, moves: &[(u8, u8, u16)]) {
    let mut driver = Driver::with_workers(settings, 4);
    let mut next_job = 0;
    for &(kind, choice, quantity) in moves {
        play_move(&mut driver, &mut next_job, Move { kind, choice, quantity });
        driver.assert_answered_in_time();
    }
    driver.advance(30 * SECOND);
}

fn play_move(driver: &mut Driver, next_job: &mut u32, drawn: Move) {
    let in_flight = driver.in_flight();
    let chosen = in_flight.get(drawn.choice as usize % in_flight.len().max(1)).copied();
    match drawn.kind % 12 {
        0..=3 => {
            driver.feed(&[drawn_job(*next_job, drawn)]);
            *next_job += 1;
        }
        4..=6 => {
            if let Some(sent) = chosen {
                let outcome = OUTCOMES[drawn.quantity as usize % 8];
                let report = free_slots(f64::from(drawn.choice % 4) - 0.5);
                driver.feed(&[attempt_ended_with(sent.job, sent.attempt, outcome, report)]);
            }
        }
        7 => {
            if let Some(sent) = chosen {
                driver.feed(&[drawn_update(sent, drawn)]);
            }
        }
        8 => {
            let state = STATES[drawn.choice as usize % 4];
            let started_at = (drawn.quantity.is_multiple_of(2)).then_some(driver.now);
            driver.feed(&[list_changes(vec![endpoint(u64::from(drawn.choice) % 5, state, started_at)])]);
        }
        9 => {
            driver.feed(&events_of_unknown_origin(drawn));
        }
        _ => {
            driver.advance(Micros::from(drawn.quantity) * 20);
        }
    }
}

fn drawn_job(job: u32, drawn: Move) -> Event {
    let hints = [None, Some(f64::NAN), Some(0.0), Some(f64::from(drawn.quantity) / 1e4)];
    Event::JobArrived(JobRequest {
        work_hint: hints[drawn.choice as usize / 4 % 4],
        budget: Micros::from(drawn.quantity) * 200,
        slots: f64::from(drawn.choice % 3),
        ..request(job, (drawn.choice % 4) as u16)
    })
}

fn drawn_update(sent: InFlight, drawn: Move) -> Event {
    if drawn.choice.is_multiple_of(2) {
        return attempt_started(sent.job, sent.attempt);
    }
    // From just below 0 to just above 1.
    progress(sent.job, sent.attempt, f64::from(drawn.quantity) / 6e4 - 0.02)
}

/// Events of jobs, attempts, timers and workers that never were.
fn events_of_unknown_origin(drawn: Move) -> [Event; 6] {
    const UNKNOWN_JOB: u32 = 1 << 30;
    let attempt = u32::from(drawn.choice);
    [
        Event::TimerFired(u64::from(drawn.quantity) << 20),
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
        Event::ClientDisconnected(JobId(u32::from(drawn.quantity))),
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
        moves in prop::collection::vec(any::<(u8, u8, u16)>(), 1..120),
        hedged_requests: bool,
        cancel: bool,
        reports_start: bool,
    ) {
        let mut settings = settings();
        settings.limits.hedged_requests = hedged_requests;
        settings.limits.cancel = cancel;
        settings.reports_start = reports_start;
        play(settings, &moves);
    }
}
