//! Clients of both classes behind a front that admits only dispatchers that are ready. Arrivals are drawn ahead, and the
//! latency of each request counts from its drawn arrival.

use crate::http::{Connection, Message, job_request};
use crate::job_id::job_id;
use crate::ledger::{Observation, RequestEnd};
use crate::scenario::request_deadline;
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
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

/// The arrivals of requests: a Poisson process, and a burst at one time. Times are in seconds since the start.
struct Arrivals {
    random: Rand64,
    rate: f64,
    end_s: f64,
    burst_at_s: f64,
    /// Requests of the burst that have not arrived.
    burst_left: usize,
    /// The latest arrival outside the burst.
    latest_s: f64,
}

impl Arrivals {
    fn new(environment: &TestEnvironment, seed: u64) -> Arrivals {
        let scenario = &environment.scenario;
        let dispatchers = scenario.processes as f64;
        Arrivals {
            random: Rand64::new(u128::from(seed)),
            rate: scenario.rate * dispatchers,
            end_s: scenario.seconds,
            burst_at_s: scenario.clients.burst_at_s,
            burst_left: (scenario.clients.burst * dispatchers) as usize,
            latest_s: 0.0,
        }
    }

    /// The time of the next one, in microseconds since the start.
    fn next(&mut self) -> Option<Micros> {
        let next_s = self.latest_s - (1.0 - self.random.rand_float()).ln() / self.rate;
        // The burst arrives between two of the other requests; its draws are not used.
        if self.burst_left > 0 && (next_s.is_nan() || next_s >= self.burst_at_s) {
            self.burst_left -= 1;
            return Some((self.burst_at_s * 1e6) as Micros);
        }
        self.latest_s = next_s;
        // With a rate of 0 the first arrival is at no time.
        if next_s.is_nan() || next_s >= self.end_s {
            return None;
        }
        Some((next_s * 1e6) as Micros)
    }
}

/// How an attempt ended, and the `Retry-After` of a rejection in seconds.
struct AttemptEnd {
    end: RequestEnd,
    retry_after_s: Option<f64>,
}

impl From<RequestEnd> for AttemptEnd {
    fn from(end: RequestEnd) -> AttemptEnd {
        AttemptEnd { end, retry_after_s: None }
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
            run_attempt(environment, dispatcher, has_unsafe_effect, deadline);
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

fn run_attempt(
    environment: &TestEnvironment,
    dispatcher: usize,
    has_unsafe_effect: bool,
    deadline: Micros,
) -> AttemptEnd {
    let number = environment.next_request_id.fetch_add(1, Ordering::SeqCst);
    let id = job_id(dispatcher, number as u64);
    // Before its first byte: what a worker observes of it comes later.
    environment.record(Observation::RequestSent { id: id.clone(), repeatable: !has_unsafe_effect, deadline });
    let class = if has_unsafe_effect { "pay" } else { "look" };
    let attempt = Attempt {
        environment,
        dispatcher,
        id: &id,
        class,
        deadline,
        arrived: environment.clock.now(),
        incarnation: environment.process_histories[dispatcher].incarnation(),
    };
    let attempt_end = attempt.run();
    environment.record(Observation::RequestEnded(id, attempt_end.end));
    attempt_end
}

/// One attempt at one dispatcher.
struct Attempt<'a> {
    environment: &'a TestEnvironment,
    dispatcher: usize,
    id: &'a str,
    class: &'a str,
    deadline: Micros,
    arrived: Micros,
    /// The dispatcher's incarnation at the arrival.
    incarnation: usize,
}

/// What came back on a connection.
enum Exchange {
    /// A response, an end or an error of the connection.
    Ended(io::Result<Option<Message>>, Connection),
    /// The request could not be written.
    NotWritten,
}

impl Attempt<'_> {
    /// Sends it and reads its response. An idle connection that was closed meanwhile costs one more exchange on a new one,
    /// as in any client.
    fn run(&self) -> AttemptEnd {
        let idle = self.environment.client_connections[self.dispatcher].take();
        if let Some(connection) = idle
            && let Some(attempt_end) = self.run_on_idle(connection)
        {
            return attempt_end;
        }
        self.run_on_new()
    }

    /// None if the connection had ended before the request arrived.
    fn run_on_idle(&self, connection: Connection) -> Option<AttemptEnd> {
        match self.exchange(connection) {
            Exchange::NotWritten => None,
            Exchange::Ended(response, _) if has_ended(&response) => None,
            Exchange::Ended(response, connection) => Some(self.conclude(response, connection, true)),
        }
    }

    fn run_on_new(&self) -> AttemptEnd {
        let environment = self.environment;
        let history = &environment.process_histories[self.dispatcher];
        if !history.accepts_new_connections(environment.clock.now()) {
            return RequestEnd::NotAccepted.into();
        }
        let address = environment.dispatchers[self.dispatcher].listen;
        let opened = Connection::open(address, CONNECT_TIMEOUT);
        let Some(connection) = environment.check_resources(opened) else {
            return RequestEnd::NotAccepted.into();
        };
        match self.exchange(connection) {
            Exchange::NotWritten => RequestEnd::NotAccepted.into(),
            // Beside idle clients a new connection may be closed unread.
            Exchange::Ended(response, _)
                if has_ended(&response) && environment.scenario.clients.idle_connections > 0 =>
            {
                RequestEnd::NotAccepted.into()
            }
            Exchange::Ended(response, connection) => self.conclude(response, connection, false),
        }
    }

    fn exchange(&self, mut connection: Connection) -> Exchange {
        let clock = &self.environment.clock;
        let budget_s = (self.deadline - clock.now()) as f64 / 1e6;
        if connection.write(&job_request(self.id, self.class, &format!("{budget_s:.3}"))).is_err() {
            return Exchange::NotWritten;
        }
        let timeout = (self.deadline + SECOND - clock.now()).max(1);
        let _ = connection.set_read_timeout(Duration::from_micros(timeout as u64));
        let response = connection.read();
        Exchange::Ended(response, connection)
    }

    /// How the attempt ended; keeps the connection if it stays open.
    fn conclude(
        &self,
        response: io::Result<Option<Message>>,
        connection: Connection,
        reused: bool,
    ) -> AttemptEnd {
        let history = &self.environment.process_histories[self.dispatcher];
        match response {
            Ok(Some(response)) => {
                let attempt_end = self.conclude_response(&response);
                if response.keeps_alive() {
                    self.environment.client_connections[self.dispatcher].put(connection);
                }
                attempt_end
            }
            _ if history.may_leave_unanswered(self.incarnation, self.arrived) => RequestEnd::Failed.into(),
            other => self.lost(loss_reason(&other, reused)),
        }
    }

    fn conclude_response(&self, response: &Message) -> AttemptEnd {
        let id = self.id;
        match response.status() {
            200 if response.body == format!("made-{id}").as_bytes() => RequestEnd::Served.into(),
            200 => self.lost("answered with what no worker made for it"),
            429 | 503 => {
                let retry_after_s = response.header("retry-after").and_then(|value| value.parse().ok());
                AttemptEnd { end: RequestEnd::Rejected, retry_after_s }
            }
            _ => RequestEnd::Failed.into(),
        }
    }

    fn lost(&self, reason: &'static str) -> AttemptEnd {
        self.environment.record(Observation::LossReason(self.id.to_owned(), reason));
        RequestEnd::Lost.into()
    }
}

/// Whether the connection ended while the request was on its way.
fn has_ended(response: &io::Result<Option<Message>>) -> bool {
    match response {
        Ok(message) => message.is_none(),
        Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
    }
}

/// What happened to a connection on which no complete response came.
fn loss_reason(response: &io::Result<Option<Message>>, reused: bool) -> &'static str {
    use io::ErrorKind::{TimedOut, UnexpectedEof, WouldBlock};
    match (response, reused) {
        (Ok(_), false) => "a new connection ended",
        (Ok(_), true) => "a kept connection ended",
        (Err(error), _) if matches!(error.kind(), TimedOut | WouldBlock) => "nothing came",
        (Err(error), _) if error.kind() == UnexpectedEof => "the answer was cut off",
        (Err(_), false) => "a new connection broke",
        (Err(_), true) => "a kept connection broke",
    }
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
