//! Clients of both classes behind a load balancer that admits only dispatchers that are ready. Arrival times do not depend
//! on responses, and the latency of each request counts from its scheduled arrival.

mod arrivals;
mod attempt;

use crate::http::Connection;
use crate::ledger::{Observation, RequestEnd};
use crate::scenario::request_timeout;
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use arrivals::Arrivals;
use attempt::AttemptEnd;
use oorandom::Rand64;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Minimum time to the deadline for another attempt, in microseconds.
const MIN_TIME_LEFT: Micros = SECOND / 10;
/// Delay before a retry that does not honour a `Retry-After`, in microseconds.
const RETRY_DELAY: Micros = SECOND / 50;
/// Delay before the next attempt when no dispatcher is admitted, in microseconds.
const NOT_READY_DELAY: Micros = SECOND / 10;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the response to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two health checks of the load balancer, in microseconds.
const HEALTH_CHECK_INTERVAL: Micros = SECOND / 10;

/// Sends requests until the scenario's duration is over.
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

/// Sends a request, with its retries, and records how it ended.
fn run_request(environment: &TestEnvironment, arrived: Micros, has_unsafe_effect: bool, random: &mut Rand64) {
    let clock = &environment.clock;
    let clients = &environment.scenario.clients;
    let deadline = arrived + request_timeout(has_unsafe_effect);
    let mut in_time = false;
    while clock.now() + MIN_TIME_LEFT < deadline {
        let Some(dispatcher) = environment.pick_admitted(random.rand_float()) else {
            // No attempt has been sent, so a retry is always safe.
            clock.sleep_until(clock.now() + NOT_READY_DELAY);
            continue;
        };
        let AttemptEnd { end, retry_after_s } =
            attempt::run(environment, dispatcher, has_unsafe_effect, deadline);
        in_time = end == RequestEnd::Served && clock.now() <= deadline;
        let is_retryable = matches!(end, RequestEnd::Rejected | RequestEnd::NotAccepted);
        if !is_retryable || random.rand_float() >= clients.retry_share {
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

/// Admits an incarnation of a dispatcher once its health check reports that it is ready.
pub fn admit_when_ready(environment: &TestEnvironment, dispatcher: usize, incarnation: usize) {
    let is_current = || environment.incarnations[dispatcher].load(Ordering::SeqCst) == incarnation;
    while !environment.is_stopped() && is_current() {
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
