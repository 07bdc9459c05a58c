//! Clients of both classes behind a front that admits only dispatchers that are ready. Arrivals are drawn ahead, and the
//! latency of each request counts from its drawn arrival.

mod arrivals;
mod attempt;

use crate::http::Connection;
use crate::ledger::{Observation, RequestEnd};
use crate::scenario::request_deadline;
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use arrivals::Arrivals;
use attempt::AttemptEnd;
use oorandom::Rand64;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Least time that must be left for another attempt, in microseconds.
const MIN_TIME_LEFT: Micros = SECOND / 10;
/// Delay of a retry that does not follow a `Retry-After`, in microseconds.
const RETRY_DELAY: Micros = SECOND / 50;
/// Pause until the next attempt of a client that finds no dispatcher ready, in microseconds.
const NOT_READY_DELAY: Micros = SECOND / 10;
/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a health check waits for its response.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two health checks of the front, in microseconds.
const HEALTH_CHECK_INTERVAL: Micros = SECOND / 10;

/// Sends requests until the scenario's time is over.
pub fn send_requests(environment: &Arc<TestEnvironment>, seed: u64) {
    let mut arrivals = Arrivals::new(environment, seed);
    while let Some(arrived) = arrivals.next() {
        environment.clock.sleep_until(arrived);
        let has_unsafe_effect = arrivals.random.rand_float() < environment.scenario.unsafe_share;
        let mut random = Rand64::new(u128::from(arrivals.random.rand_u64()));
        let environment = environment.clone();
        environment.requests_in_flight.fetch_add(1, Ordering::SeqCst);
        may::go!(move || {
            run_request(&environment, arrived, has_unsafe_effect, &mut random);
            environment.requests_in_flight.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// One request with its attempts.
fn run_request(environment: &TestEnvironment, arrived: Micros, has_unsafe_effect: bool, random: &mut Rand64) {
    let clock = &environment.clock;
    let clients = &environment.scenario.clients;
    let deadline = arrived + request_deadline(has_unsafe_effect);
    let mut in_time = false;
    while clock.now() + MIN_TIME_LEFT < deadline {
        let Some(dispatcher) = environment.admitted(random.rand_float()) else {
            // Nothing has run: the request is repeated.
            clock.sleep_until(clock.now() + NOT_READY_DELAY);
            continue;
        };
        let AttemptEnd { end, retry_after_s } =
            attempt::run(environment, dispatcher, has_unsafe_effect, deadline);
        in_time = end == RequestEnd::Served && clock.now() <= deadline;
        let repeatable = matches!(end, RequestEnd::Rejected | RequestEnd::NotAccepted);
        if !repeatable || random.rand_float() >= clients.retry_share {
            break;
        }
        let delay = match retry_after_s {
            Some(seconds) if clients.honours_retry_after => (seconds * 1e6) as Micros,
            _ => RETRY_DELAY,
        };
        clock.sleep_until(clock.now() + delay);
    }
    environment.record(Observation::RequestCompleted { arrived, in_time });
}

/// Admits an incarnation of a dispatcher once its health check says that it is ready.
pub fn admit_when_ready(environment: &TestEnvironment, dispatcher: usize, incarnation: usize) {
    let is_present = || environment.incarnations[dispatcher].load(Ordering::SeqCst) == incarnation;
    while !environment.is_over() && is_present() {
        if is_ready(environment, dispatcher).unwrap_or(false) {
            return environment.admit(dispatcher);
        }
        environment.clock.sleep_until(environment.clock.now() + HEALTH_CHECK_INTERVAL);
    }
}

fn is_ready(environment: &TestEnvironment, dispatcher: usize) -> io::Result<bool> {
    let mut connection = Connection::open(environment.dispatchers[dispatcher].listen, CONNECT_TIMEOUT)?;
    connection.set_read_timeout(HEALTH_CHECK_TIMEOUT)?;
    connection.write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")?;
    Ok(connection.read()?.is_some_and(|response| response.status() == 200))
}
